/** The gRPC protocol between processes: generated messages and services, conversions, channel options and credentials. */
export * as agentProtocol from './generated/agent.js';
export * as exchangeProtocol from './generated/exchange.js';
export * as directoryProtocol from './generated/directory.js';
export * as fleetProtocol from './generated/fleet.js';
export * as ordersProtocol from './generated/orders.js';
export * as peerProtocol from './generated/peer.js';
export * as spreadProtocol from './generated/spread.js';
export * as votersProtocol from './generated/voters.js';
export * from './announcements.js';
export * from './channel-options.js';
export * from './credentials.js';
export * from './entry-announcements.js';

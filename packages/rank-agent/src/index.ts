/** The agent on a target's VM: reports the target's load, applies orders to its rank, and rebalances its group's expert map. */
export * from './engine-client.js';
export * from './fenced-engine-client.js';
export * from './group-engine-clients.js';
export * from './remote-engine-client.js';
export * from './map-rebalancer.js';
export * from './map-switch.js';
export * from './map-version-allocator.js';
export * from './outside-holder.js';
export * from './rank-agent.js';
export * from './rank-request-handler.js';

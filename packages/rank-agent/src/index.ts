/** The agent on a target's VM: measures its load and carries out orders for its rank. */
export * from './engine-door.js';
export * from './rank-agent.js';

/** The agent on a target's VM: measures its load, carries out orders for its rank, and keeps its group's expert map. */
export * from './engine-door.js';
export * from './fenced-door.js';
export * from './group-doors.js';
export * from './remote-engine.js';
export * from './map-keeper.js';
export * from './map-switch.js';
export * from './map-versions.js';
export * from './rank-agent.js';
export * from './standstill-clock.js';

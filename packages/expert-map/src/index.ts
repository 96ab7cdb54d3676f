/** Plans the placement of experts on ranks and activates expert maps, so that all ranks use the same map in each step. */
export * from './expert-map.js';
export * from './planner/count-history.js';
export * from './planner/even-share.js';
export * from './planner/forecast.js';
export * from './planner/planner.js';
export * from './planner/repacking.js';
export * from './planner/skew.js';
export * from './planner/stage-choice.js';
export * from './planner/staged-plan.js';
export * from './activation/coordinator-core.js';
export type * from './activation/orders.js';
export * from './activation/rank-core.js';

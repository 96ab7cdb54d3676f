/** Control process: the replicated configuration document, target reports, and the service that daemons follow. */
export * from './document-group.js';
export * from './document-state-machine.js';
export type {DomainOrderResult} from './domain-orders.js';
export * from './fleet-control.js';
export {namedLeader} from './leader-access.js';
export * from './replacement.js';

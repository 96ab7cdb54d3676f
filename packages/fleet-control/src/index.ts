/** Control processes: the replicated document, reports of targets, and what other daemons follow. */
export * from './document-group.js';
export * from './document-machine.js';
export * from './fleet-control.js';
export * from './replacement.js';

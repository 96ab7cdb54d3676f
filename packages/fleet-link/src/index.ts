/** Communication between daemons: streams between control processes and all other daemons, and unary calls. */
export * from './control-links.js';
export * from './document-transfer.js';
export * from './link-calls.js';
export * from './link-client.js';
export * from './link-selection.js';
export * from './link-server.js';
export * from './link-service.js';
export * from './incomplete-messages.js';
export * from './listen.js';
export {maxMessageValues, messageValues} from './message-values.js';
export * from './messages.js';
export * from './open-calls.js';
export * from './primary-link.js';

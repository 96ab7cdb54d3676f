/** What daemons tell each other: streams between control and every other daemon, and calls with an answer. */
export * from './control-links.js';
export * from './link-calls.js';
export * from './link-client.js';
export * from './link-server.js';
export * from './link-service.js';
export * from './listen.js';
export * from './messages.js';

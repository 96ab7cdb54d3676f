/** The entry: answers callers, places their requests on targets and streams the answers. */
export * from './call-dialect.js';
export * from './caller-server.js';
export * from './document-follower.js';
export * from './gateway.js';

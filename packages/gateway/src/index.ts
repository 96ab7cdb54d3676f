/** The entry role: accepts requests from callers, forwards them to targets and streams the responses back. */
export * from './caller-server.js';
export * from './document-follower.js';
export * from './gateway.js';
export * from './header-codec.js';

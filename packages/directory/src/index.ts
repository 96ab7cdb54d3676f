/** Directory of the targets and entries that have announced themselves, with a lease for each announcement. */
export * from './directory.js';
export * from './entry-addresses.js';
export * from './lease-table.js';
export * from './rendezvous.js';
export * from './subset.js';

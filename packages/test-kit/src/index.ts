/** What tests of several packages need: free ports, waiting for a condition, repeatable numbers. */
export * from './free-ports.js';
export * from './seeded-random.js';
export * from './wait-until.js';

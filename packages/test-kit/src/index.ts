/** Test utilities shared by several packages: free ports, polling for a condition, reproducible random numbers and texts. */
export * from './free-ports.js';
export * from './incompressible-text.js';
export * from './seeded-random.js';
export * from './wait-until.js';

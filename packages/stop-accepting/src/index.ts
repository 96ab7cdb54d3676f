/** The end of a listener at a planned stop. */
export * from './stop-accepting.js';

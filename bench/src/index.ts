/** The form of an experiment and of its report. */
export * from './experiment.js';

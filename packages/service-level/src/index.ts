/** Service-level objectives, their burn rates and the report on them. */
export * from './burn-rate.js';
export * from './html-report.js';
export * from './objectives.js';
export * from './recorder.js';
export * from './report.js';
export * from './shares-html.js';
export * from './shares-report.js';

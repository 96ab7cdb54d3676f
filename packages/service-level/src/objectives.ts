/** Service-level objectives, and the windows over which burn rates are computed. */

/** The request property that an objective measures. */
export type ObjectiveKind = 'firstToken' | 'tokenGap' | 'answeredWhole' | 'deadlineMet' | 'notRefused';

/** A service-level objective: the minimum share of good requests. */
export type Objective = {
	readonly kind: ObjectiveKind;
	/** Minimum share of good requests; below 1. */
	readonly target: number;
	/** Upper limit of a good value, for `firstToken` and `tokenGap`. */
	readonly thresholdMs?: number;
};

/** The objectives required by users: 95 % of requests within the latency thresholds, and almost all answers complete. */
export const defaultObjectives: readonly Objective[] = [
	{kind: 'firstToken', target: 0.95, thresholdMs: 1700},
	{kind: 'tokenGap', target: 0.95, thresholdMs: 34},
	{kind: 'answeredWhole', target: 0.999},
	{kind: 'deadlineMet', target: 0.99},
	{kind: 'notRefused', target: 0.99},
];

/** Length of a window in minutes. */
export type WindowMinutes = 5 | 60 | 360;

/** All windows, from the shortest to the longest. */
export const windows: readonly WindowMinutes[] = [5, 60, 360];

/** Fast burn, which needs immediate attention: both the short and the long window exceed this burn rate. */
export const fastBurn = {shortMinutes: 5, longMinutes: 60, rate: 14.4} as const;

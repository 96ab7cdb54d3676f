/**
Number of requests that the ranks of a group may write at the same time so that the pauses between events stay within the objective, by the engine's
published figures and the skew of the group's expert load. It stands in while no pass of the group was measured.

Load that this answers: demand that moves between experts every few seconds, at an arrival rate near the capacity of the group.
*/

import type {EngineProfile} from '@rattanspring/desired-state';
import {copySlowdown} from '@rattanspring/types';

/** Share of the objective that a pass may take; the rest is for the way to the caller and for what the formula leaves out. */
export const passShare = 0.92;

/** Fewest writers of a rank: a group that is slower than any limit can compensate still serves. */
const minWriters = 1;

/** Writers that each rank may have on average, at a peak over mean of the experts' load; not rounded. While the load is uneven, weights are copied. */
export function writersWithin(engine: EngineProfile, pauseObjectiveMs: number, skew: number): number {
	return Math.max(minWriters, ((pauseObjectiveMs * passShare / copySlowdown) - fixedPassMs(engine)) / writerMs(engine, skew));
}

/** Time that each writer of a rank adds to a pass, its share of the prompts included. */
export function writerMs(engine: EngineProfile, skew: number): number {
	const {stepsPerPass, perSequenceMs, contextMsPerThousandTokens, usualPromptTokens, usualAnswerTokens, expertShare} = engine;
	const eventsPerAnswer = Math.max(1, usualAnswerTokens / stepsPerPass);
	const contextMs = contextMsPerThousandTokens * usualPromptTokens / 1000;
	return ((stepsPerPass * (perSequenceMs + contextMs)) + (promptMsOf(engine) / eventsPerAnswer)) * (1 - expertShare + (expertShare * skew));
}

/** Time of a pass that doesn't depend on the number of writers. */
export function fixedPassMs(engine: EngineProfile): number {
	return (engine.stepsPerPass * engine.stepMs) + (promptMsOf(engine) * (1 - engine.expertShare));
}

function promptMsOf({usualPromptTokens, promptTokensPerSecond}: EngineProfile): number {
	return usualPromptTokens / promptTokensPerSecond * 1000;
}

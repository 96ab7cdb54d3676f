/** How much work a request is, so that shares are shares of what targets do and not of the number of requests. */

/** Published figures of an engine that decide what a request costs. */
export type WorkRates = {
	readonly promptTokensPerSecond: number;
	/** Time that one more request adds to each step, which writes one token of its answer. */
	readonly perSequenceMs: number;
	readonly usualPromptTokens: number;
	readonly usualAnswerTokens: number;
};

/** Sizes of a request as far as they are known. */
export type RequestSize = {readonly promptTokens?: number; readonly answerTokens?: number};

/** Milliseconds of a target's time that a request takes; 1 at a service without an engine. */
export function workOf({promptTokens, answerTokens}: RequestSize, rates: WorkRates | undefined): number {
	if (!rates) {
		return 1;
	}

	const readingMs = (promptTokens ?? rates.usualPromptTokens) / Math.max(1, rates.promptTokensPerSecond) * 1000;
	return readingMs + ((answerTokens ?? rates.usualAnswerTokens) * rates.perSequenceMs);
}

/** What an entry tells the others about a target whose requests go wrong at it. */

import type {TargetLifetime} from '@rattanspring/target-table';

/** What became of a request: failed is an error, a wrong answer or a broken connection; hung is no first event in time; slow is one many times later than usual. */
export type OutcomeKind = 'answered' | BadOutcome;
export type BadOutcome = 'failed' | 'hung' | 'slow';

/** An entry's word that a target does much worse than others of its service. */
export type Accusation = TargetLifetime & {
	/** Node ID of the entry. */
	readonly entry: string;
	/** What most of the requests came to. */
	readonly kind: BadOutcome;
	/** Time for which it still counts: a duration, since clocks differ between VMs. */
	readonly timeLeftMs: number;
};

/** Time for which an accusation counts, unless it is renewed. */
export const accusationValidityMs = 10_000;

/** Longest list and text that are read. */
const maxAccusations = 1000;
const maxTextLength = 200;

const badOutcomes: ReadonlySet<unknown> = new Set<BadOutcome>(['failed', 'hung', 'slow']);

/** A value that another daemon has sent is not a list of accusations. */
export class MalformedAccusationError extends TypeError {
	override readonly name = 'MalformedAccusationError';
}

/** Reads a list that another daemon has sent; throws `MalformedAccusationError` if it is none or too long. */
export function readAccusations(value: unknown): Accusation[] {
	if (!Array.isArray(value) || value.length > maxAccusations) {
		throw new MalformedAccusationError('The message has no list of accusations, or one that is too long.');
	}

	return value.map(item => readAccusation(item));
}

function readAccusation(value: unknown): Accusation {
	const {targetId, bornMs, entry, kind, timeLeftMs} = (value ?? {}) as Partial<Accusation>;
	if (!isShortText(targetId) || !isShortText(entry) || !isFiniteNumber(bornMs) || !isFiniteNumber(timeLeftMs) || timeLeftMs < 0 || !badOutcomes.has(kind)) {
		throw new MalformedAccusationError('The message has an accusation without a target, entry, kind or time.');
	}

	return {
		targetId, bornMs, entry, kind: kind!, timeLeftMs: Math.min(timeLeftMs, accusationValidityMs),
	};
}

function isShortText(value: unknown): value is string {
	return typeof value === 'string' && value.length > 0 && value.length <= maxTextLength;
}

function isFiniteNumber(value: unknown): value is number {
	return typeof value === 'number' && Number.isFinite(value);
}

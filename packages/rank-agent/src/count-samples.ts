/**
Expert counts between agents. Counts only grow, so an agent sends the differences to an earlier sample of the same coordinator. Samples are
numbered by the agent that takes them; if it no longer has the named one, or a count has decreased, it sends the counts themselves.
*/

import {randomInt} from 'node:crypto';
import type {RankReply} from '@rattanspring/fleet-link';
import {decodeNumbers, encodeNumbers, isCompactable} from './compact-numbers.js';
import type {ExpertCounts} from './engine-client.js';

/** Samples that an agent keeps: the last one whose answer arrived, and one whose answer may have been lost. */
const keptSamples = 2;

/** The first sample has a random number, so that no sample from before a restart is mistaken for a later one. */
const firstNumberRange = 2 ** 47;

/** No sample has this number: a request that names it asks for the counts themselves. */
export const noBase = 0;

/** Expected bytes of a difference, and of an answer of which nothing is known. */
const bytesPerDifference = 2;
const unknownAnswerBytes = 8192;

/** What an answer says beside its attachment. */
type SampleHead = Omit<ExpertCounts, 'counts'> & {
	/** Number of this sample. */
	readonly sample: number;
	/** Number of the sample that the attached differences start from; absent if the counts themselves are attached. */
	readonly base?: number;
};

/** The samples that an agent has sent. */
export class SentSamples {
	#next = randomInt(1, firstNumberRange);
	readonly #samples = new Map<number, readonly number[]>();

	/** The answer to a request for the differences to a sample. */
	reply({counts, ...rest}: ExpertCounts, base: number): RankReply {
		if (!counts.every(count => isCompactable(count))) {
			return {answer: {counts, ...rest}};
		}

		const differences = differencesTo(this.#samples.get(base), counts);
		const head: SampleHead = {...rest, sample: this.#keep(counts), ...(differences && {base})};
		return {answer: head, attachment: encodeNumbers(differences ?? counts)};
	}

	#keep(counts: readonly number[]): number {
		const sample = this.#next++;
		this.#samples.set(sample, counts);
		this.#samples.delete(sample - keptSamples);
		return sample;
	}
}

/** The last sample that arrived from each agent, by the address of its target. */
export class ReceivedSamples {
	readonly #samples = new Map<string, {readonly sample: number; readonly counts: readonly number[]}>();

	/** Number of the last sample, from which the next answer may start, and the bytes to expect of that answer. */
	last(targetAddress: string): {readonly base: number; readonly expectedBytes: number} {
		const last = this.#samples.get(targetAddress);
		return last ? {base: last.sample, expectedBytes: last.counts.length * bytesPerDifference} : {base: noBase, expectedBytes: unknownAnswerBytes};
	}

	/** Decodes an answer; undefined if it is damaged. The next request then asks for the counts themselves. */
	receive(targetAddress: string, {answer, attachment}: RankReply): ExpertCounts | undefined {
		const last = this.#samples.get(targetAddress);
		this.#samples.delete(targetAddress);
		if (!attachment) {
			return isExpertCounts(answer) ? answer : undefined;
		}

		const values = decodeNumbers(attachment);
		if (!isSampleHead(answer) || !values) {
			return undefined;
		}

		const {sample, base, ...rest} = answer;
		const counts = base === undefined ? values : (base === last?.sample ? sums(last.counts, values) : undefined);
		if (!counts) {
			return undefined;
		}

		this.#samples.set(targetAddress, {sample, counts});
		return {...rest, counts};
	}

	/** Forgets the samples of all other targets. */
	retain(targetAddresses: ReadonlySet<string>): void {
		for (const targetAddress of this.#samples.keys()) {
			if (!targetAddresses.has(targetAddress)) {
				this.#samples.delete(targetAddress);
			}
		}
	}
}

/** The differences; undefined if there is no base or a count has decreased. */
function differencesTo(base: readonly number[] | undefined, counts: readonly number[]): number[] | undefined {
	if (base?.length !== counts.length) {
		return undefined;
	}

	const differences = counts.map((count, index) => count - base[index]);
	return differences.every(difference => difference >= 0) ? differences : undefined;
}

function sums(base: readonly number[], differences: readonly number[]): number[] | undefined {
	return base.length === differences.length ? base.map((count, index) => count + differences[index]) : undefined;
}

function isSampleHead(value: unknown): value is SampleHead {
	const head = value as Partial<SampleHead> | undefined;
	return hasStepAndEpoch(head) && isNumber(head.sample) && (head.base === undefined || isNumber(head.base));
}

function isExpertCounts(value: unknown): value is ExpertCounts {
	const answer = value as Partial<ExpertCounts> | undefined;
	return hasStepAndEpoch(answer) && Array.isArray(answer.counts) && answer.counts.every(count => isNumber(count));
}

function hasStepAndEpoch<Value extends Partial<Omit<ExpertCounts, 'counts'>>>(value: Value | null | undefined): value is Value & Omit<ExpertCounts, 'counts'> {
	return isNumber(value?.step) && isNumber(value.epoch) && (value.pace === undefined || isNumber(value.pace));
}

function isNumber(value: unknown): value is number {
	return typeof value === 'number' && Number.isFinite(value);
}

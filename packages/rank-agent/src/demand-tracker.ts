/**
The demand for each expert of a group, from the selection counts of its ranks. Counts grow from sample to sample; the differences are the
demand in between. A rank whose counts are missing costs accuracy, not the sample.
*/

import type {ExpertCounts} from './engine-client.js';

/** Why a sample was not usable. */
export type UnusableSample = 'countsMissing' | 'tooFewSelections';

/** Fewest expert selections that make a usable sample of the demand. */
const minSelections = 2000;

/** Smallest share of the ranks whose counts make a usable sample. */
const minAnswerShare = 0.5;

/** In a formation with fewer steps than this, the total counts are recent enough to be a sample. */
const newFormationMaxSteps = 60;

/** Bounds of the newest sample's weight in the moving average, and the noise of the average that the weight aims at, as a share of the selections. */
const maxNewestWeight = 0.35;
const minNewestWeight = 0.08;
const aimedNoise = 0.08;

/** Share of a set's selections that has to move to other experts to count as a sudden change; and how much more than the noise of a sample that has to be. */
const suddenChangeShare = 0.2;
const noiseFactor = 2.5;

/** Weight of the newest estimate of the noise in its moving average. */
const newestNoiseWeight = 0.3;

/** Number of sudden changes whose intervals are averaged, and the bounds of the expected time until the next one. */
const rememberedChanges = 5;
const minHorizonMs = 1500;
const maxHorizonMs = 8000;

/** Counts of one rank, by set and expert. */
type RankCounts = readonly number[];

/** Tracks the demand in one formation of a group after another. */
export class DemandTracker {
	#formation = '';
	#previous: Array<RankCounts | undefined> = [];
	#paces: number[] = [];
	/** Paces as the agents of the ranks have told them. */
	#toldPaces: readonly number[] = [];
	/** Moving average of the samples, by set and expert. */
	#average: Float64Array[] = [];
	/** Share of the selections of a sample that chance moves to other experts. */
	#noise = 0;
	#changedAtMs: number[] = [];
	#unansweredChangeAtMs: number | undefined;

	/** Expected loads, by set and expert. */
	get loads(): number[][] {
		return this.#average.map(shares => [...shares]);
	}

	/** Time that each rank takes per token, relative to the published time. */
	get paces(): readonly number[] {
		return this.#paces;
	}

	/** When the demand changed suddenly, if the map may not fit it yet. */
	get unansweredChangeAtMs(): number | undefined {
		return this.#unansweredChangeAtMs;
	}

	/** Records that the map fits the present demand, by a switch or as it was. */
	markAnswered(): void {
		this.#unansweredChangeAtMs = undefined;
	}

	/** Time for which the demand is expected to stay as it is: the mean time between its last sudden changes, or the time since the last one if that is longer. */
	horizonMs(nowMs: number): number {
		const first = this.#changedAtMs.at(0);
		const last = this.#changedAtMs.at(-1);
		if (first === undefined || last === undefined || first === last) {
			return maxHorizonMs;
		}

		const meanMs = (last - first) / (this.#changedAtMs.length - 1);
		return Math.min(maxHorizonMs, Math.max(minHorizonMs, meanMs, nowMs - last));
	}

	/** Records the pace of a rank. */
	observePace(rank: number, pace: number): void {
		this.#paces[rank] = pace;
	}

	/** Records the paces that the agents of the ranks have told; returns whether any has changed. One that has not changed does not replace what was read since. */
	tellPaces(paces: readonly number[]): boolean {
		let isChanged = false;
		for (const [rank, pace] of paces.entries()) {
			if (pace !== (this.#toldPaces[rank] ?? 1)) {
				this.#paces[rank] = pace;
				isChanged = true;
			}
		}

		this.#toldPaces = paces;
		return isChanged;
	}

	/** Adds the answers of the ranks that were asked, in the order of all ranks; returns the reason if they make no sample. */
	observe(formation: string, sets: number, answers: ReadonlyArray<ExpertCounts | undefined>, nowMs: number, askedCount = answers.length): UnusableSample | undefined {
		const known = answers.flatMap(answer => answer ? [answer] : []);
		const isEqualLength = known.every(({counts}) => counts.length === known[0].counts.length);
		if (known.length === 0 || known.length < askedCount * minAnswerShare || !isEqualLength) {
			return 'countsMissing';
		}

		if (this.#formation !== formation) {
			this.#startFormation(formation, answers);
		}

		const halves = this.#selectionsSince(answers, known[0].counts.length);
		const selections = halves[0].map((count, index) => count + halves[1][index]);
		if (selections.reduce((sum, count) => sum + count, 0) < minSelections) {
			return 'tooFewSelections';
		}

		for (const [rank, answer] of answers.entries()) {
			this.#previous[rank] = answer?.counts ?? this.#previous[rank];
			this.#paces[rank] = answer?.pace ?? this.#paces[rank] ?? 1;
		}

		const noise = noiseOf(halves, sets);
		this.#noise += (noise - this.#noise) * (this.#average.length === 0 ? 1 : newestNoiseWeight);
		this.#addSample(sharesBySet(selections, sets), nowMs);
		return undefined;
	}

	#startFormation(formation: string, answers: ReadonlyArray<ExpertCounts | undefined>): void {
		const isNew = answers.every(answer => answer === undefined || answer.step < newFormationMaxSteps);
		this.#formation = formation;
		this.#previous = answers.map(answer => isNew ? answer?.counts.map(() => 0) : answer?.counts);
		this.#paces = answers.map((_, rank) => this.#toldPaces[rank] ?? 1);
		this.#average = [];
	}

	/** Selections since the previous counts of each rank, for every other rank that answered. A rank without previous counts contributes nothing yet. */
	#selectionsSince(answers: ReadonlyArray<ExpertCounts | undefined>, length: number): [Float64Array, Float64Array] {
		const halves: [Float64Array, Float64Array] = [new Float64Array(length), new Float64Array(length)];
		let counted = 0;
		for (const [rank, answer] of answers.entries()) {
			const previous = this.#previous[rank];
			if (answer && previous?.length !== length) {
				this.#previous[rank] = answer.counts;
			} else if (answer && previous) {
				const selections = halves[counted++ % 2];
				for (let index = 0; index < length; index++) {
					selections[index] += Math.max(0, answer.counts[index] - previous[index]);
				}
			}
		}

		return halves;
	}

	/** Adds a sample to the average, or replaces the average by it if the demand has changed suddenly. The noisier the sample, the less it counts. */
	#addSample(sample: Float64Array[], nowMs: number): void {
		const noise = this.#noise;
		const isFirst = this.#average.length === 0;
		const limit = Math.max(suddenChangeShare, noise * noiseFactor);
		const isSudden = isFirst || this.#average.some((loads, set) => movedShare(loads, sample[set]) > limit);
		const weight = Math.min(maxNewestWeight, Math.max(minNewestWeight, 2 * ((aimedNoise / noise) ** 2)));
		this.#average = isSudden ? sample : this.#average.map((loads, set) => loads.map((load, expert) => load + (weight * (sample[set][expert] - load))));
		if (isSudden) {
			this.#unansweredChangeAtMs ??= nowMs;
			this.#changedAtMs = isFirst ? this.#changedAtMs : [...this.#changedAtMs, nowMs].slice(-rememberedChanges);
		}
	}
}

/** Noise of a whole sample: the difference between two halves of it is about twice as large. */
function noiseOf([first, second]: readonly [Float64Array, Float64Array], sets: number): number {
	const left = sharesBySet(first, sets);
	const right = sharesBySet(second, sets);
	const differences = left.map((shares, set) => movedShare(shares, right[set]));
	return differences.reduce((sum, difference) => sum + difference, 0) / Math.max(1, sets) / 2;
}

/** Share of the selections of a set that went to other experts. */
function movedShare(before: Float64Array, after: Float64Array): number {
	let difference = 0;
	for (const [expert, share] of after.entries()) {
		difference += Math.abs(share - before[expert]);
	}

	return difference / 2;
}

/** Share of each expert in the selections of its set. */
function sharesBySet(selections: Float64Array, sets: number): Float64Array[] {
	const perSet = selections.length / sets;
	return Array.from({length: sets}, (_, set) => {
		const counts = selections.subarray(set * perSet, (set + 1) * perSet);
		const sum = counts.reduce((total, count) => total + count, 0);
		return counts.map(count => count / Math.max(1, sum));
	});
}

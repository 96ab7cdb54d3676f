/**
A group of ranks that run in lockstep: a step can begin once every rank of the formation has begun the previous one, and
lasts as long as its slowest rank takes. Each rank counts tokens per expert.
*/

/** The tokens and speed of a rank in one step, according to the expert map in use. */
export type RankWork = {
	/** Tokens processed by the expert replicas on this rank, per layer and expert. */
	readonly layers: ReadonlyArray<ReadonlyMap<number, number>>;
	/** Speed relative to a nominal rank. */
	readonly speed: number;
};

export type RankGroupOptions = {
	readonly rankCount: number;
	/** Time that a nominal rank takes for one token in one layer. */
	readonly tokenTimeMs: number;
	/** Time of a step that does not depend on the experts. */
	readonly fixedStepMs: number;
};

/** The counts of a rank since they were last read. */
export type RankCounts = {readonly steps: number; readonly layers: ReadonlyArray<ReadonlyMap<number, number>>};

/** The formation of a rank and the latest step that it has begun. */
type RankPosition = {readonly formation: number; readonly begunStep: number};

/** Models the lockstep of the group. It does not wait: it only computes how long steps last. */
export class RankGroup {
	readonly #options: RankGroupOptions;
	readonly #positions: Array<RankPosition | undefined>;
	readonly #counts: Array<{steps: number; layers: Array<Map<number, number>>}>;

	constructor(options: RankGroupOptions) {
		this.#options = options;
		this.#positions = Array.from({length: options.rankCount}, () => undefined);
		this.#counts = Array.from({length: options.rankCount}, () => ({steps: 0, layers: []}));
	}

	/** Whether a rank can begin a step, which requires that all ranks of the formation have begun the previous step. */
	canBegin(formation: number, step: number): boolean {
		return step === 0 || this.#positions.every(position => position?.formation === formation && position.begunStep >= step - 1);
	}

	/** Records that a rank begins a step. */
	begin(rank: number, formation: number, step: number): void {
		this.#positions[rank] = {formation, begunStep: step};
	}

	/** Records that the process of a rank has ended; the formation can begin no further step. */
	end(rank: number): void {
		this.#positions[rank] = undefined;
		this.#counts[rank] = {steps: 0, layers: []};
	}

	/** Adds the tokens of a step to the counts and returns its duration. Layers run one after another, so the slowest rank of each layer determines the time of that layer. */
	stepMs(work: readonly RankWork[]): number {
		const layerCount = work[0].layers.length;
		let totalMs = this.#options.fixedStepMs;
		for (let layer = 0; layer < layerCount; layer++) {
			totalMs += Math.max(...work.map(({layers, speed}) => total(layers[layer]) / speed)) * this.#options.tokenTimeMs;
		}

		for (const [rank, {layers}] of work.entries()) {
			this.#count(rank, layers);
		}

		return totalMs;
	}

	/** Returns the counts of a rank and resets them. */
	takeCounts(rank: number): RankCounts {
		const counts = this.#counts[rank];
		this.#counts[rank] = {steps: 0, layers: []};
		return counts;
	}

	#count(rank: number, layers: ReadonlyArray<ReadonlyMap<number, number>>): void {
		const counts = this.#counts[rank];
		counts.steps++;
		for (const [layer, tokens] of layers.entries()) {
			counts.layers[layer] ??= new Map();
			for (const [expert, count] of tokens) {
				counts.layers[layer].set(expert, (counts.layers[layer].get(expert) ?? 0) + count);
			}
		}
	}
}

function total(tokens: ReadonlyMap<number, number>): number {
	let sum = 0;
	for (const count of tokens.values()) {
		sum += count;
	}

	return sum;
}

/**
A group of ranks in lock-step: a step begins once every rank of the formation has begun the one before, and lasts as
long as its slowest rank. Ranks count tokens per expert.
*/

/** A rank's tokens and speed in one step, as the map in force gives them. */
export type RankWork = {
	/** Tokens of the replicas on this rank, for each layer and expert that it holds. */
	readonly layers: ReadonlyArray<ReadonlyMap<number, number>>;
	/** Speed against a nominal rank. */
	readonly speed: number;
};

/** Options of a group. */
export type RankGroupOptions = {
	readonly rankCount: number;
	/** Time of one token of one layer on a nominal rank. */
	readonly tokenTimeMs: number;
	/** Time of a step apart from the experts. */
	readonly fixedStepMs: number;
};

/** What a rank counted since it was last asked. */
export type RankCounts = {readonly steps: number; readonly layers: ReadonlyArray<ReadonlyMap<number, number>>};

/** Which ranks stand at which step of which formation. */
type Position = {readonly formation: number; readonly begunStep: number};

/** The group's lock-step. Takes no time of its own: it tells how long steps last. */
export class RankGroup {
	readonly #options: RankGroupOptions;
	readonly #positions: Array<Position | undefined>;
	readonly #counts: Array<{steps: number; layers: Array<Map<number, number>>}>;

	constructor(options: RankGroupOptions) {
		this.#options = options;
		this.#positions = Array.from({length: options.rankCount}, () => undefined);
		this.#counts = Array.from({length: options.rankCount}, () => ({steps: 0, layers: []}));
	}

	/** Whether a rank may begin a step: all ranks of the formation have begun the one before. */
	canBegin(formation: number, step: number): boolean {
		return step === 0 || this.#positions.every(position => position?.formation === formation && position.begunStep >= step - 1);
	}

	/** A rank begins a step. */
	begin(rank: number, formation: number, step: number): void {
		this.#positions[rank] = {formation, begunStep: step};
	}

	/** A rank's process ends; the formation cannot step on. */
	end(rank: number): void {
		this.#positions[rank] = undefined;
		this.#counts[rank] = {steps: 0, layers: []};
	}

	/** Counts a step's tokens and returns how long it lasts. Layers wait for each other, so each layer's slowest rank counts. */
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

	/** Returns a rank's counts and starts counting afresh. */
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

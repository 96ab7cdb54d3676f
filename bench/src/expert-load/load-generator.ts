/**
Generates seeded expert load. Each layer mixes a few topics, each with its own Zipf popularity of experts. The mix follows the
time of day, popularity drifts as a random walk, topics are replaced at given windows (as when a menu changes), and windows and steps have noise.
*/

import type {LayerLoads, RankProfile} from '@rattanspring/expert-map';
import {Random} from './random.js';

/** Dimensions of an expert-parallel group. */
export type ExpertGroupSize = {
	readonly ranks: number;
	readonly experts: number;
	readonly layers: number;
	/** Slots per layer beyond one for each expert. */
	readonly spareSlots: number;
};

/** Parameters of the generated load. */
export type LoadOptions = {
	readonly seed: number;
	readonly size: ExpertGroupSize;
	/** Token-to-expert assignments per layer and step. */
	readonly tokensPerStep?: number;
	readonly topics?: number;
	readonly windowsPerDay?: number;
	/** Range from which the Zipf exponent of each layer is drawn. */
	readonly zipfExponents?: readonly [number, number];
	/** Drift of an expert's popularity per window, as the standard deviation of its logarithm. */
	readonly driftPerWindow?: number;
	/** Noise in the popularity of a single window, as the standard deviation of its logarithm. */
	readonly windowNoise?: number;
	/** Windows at whose start one topic is replaced in all layers. */
	readonly topicReplacements?: readonly number[];
	/** A rank with reduced speed from `fromWindow` up to, but not including, `toWindow`. */
	readonly slowRank?: {readonly rank: number; readonly speed: number; readonly fromWindow: number; readonly toWindow: number};
};

/** Ranks on one VM. */
const ranksPerVm = 8;

/** Number of failure domains over which the VMs of a group are spread. */
const failureDomains = 3;

/** Amplitude with which the time of day changes the weight of a topic. */
const timeOfDayStrength = 0.6;

type LayerState = {readonly exponent: number; readonly topics: Float64Array[]; readonly drift: Float64Array};

/** Generates the windows of load in sequence. */
export class LoadGenerator {
	readonly #options: Required<Omit<LoadOptions, 'slowRank'>> & Pick<LoadOptions, 'slowRank'>;
	readonly #random: Random;
	readonly #layers: LayerState[];
	#window = -1;

	constructor(options: LoadOptions) {
		this.#options = {
			tokensPerStep: options.size.ranks * 512, topics: 5, windowsPerDay: 240, zipfExponents: [0.3, 0.8], driftPerWindow: 0.01, windowNoise: 0.02, topicReplacements: [], ...options,
		};
		this.#random = new Random(options.seed);
		this.#layers = Array.from({length: options.size.layers}, () => this.#newLayer());
	}

	/** Advances to the next window and returns its mean tokens per step. */
	nextWindow(): LayerLoads {
		this.#window++;
		const {topicReplacements, topics} = this.#options;
		if (topicReplacements.includes(this.#window)) {
			const replaced = this.#random.integer(0, topics - 1);
			for (const layer of this.#layers) {
				layer.topics[replaced] = this.#newTopic(layer.exponent);
			}
		}

		return this.#layers.map(layer => this.#loadsOf(layer));
	}

	/** Draws the tokens of one step from their means. */
	step(means: Float64Array): Float64Array {
		return means.map(mean => this.#random.poisson(mean));
	}

	/** Profiles of the ranks in the current window. */
	ranks(): RankProfile[] {
		const {size, slowRank} = this.#options;
		const slots = size.experts + size.spareSlots;
		return Array.from({length: size.ranks}, (_, rank) => {
			const vm = Math.floor(rank / ranksPerVm);
			const isSlow = slowRank?.rank === rank && this.#window >= slowRank.fromWindow && this.#window < slowRank.toWindow;
			return {
				vm: `vm-${vm}`,
				failureDomain: `domain-${vm % failureDomains}`,
				speed: isSlow ? slowRank.speed : 1,
				slotsPerLayer: Math.floor(slots / size.ranks) + (rank < slots % size.ranks ? 1 : 0),
			};
		});
	}

	/** Draws whether the report of a rank is lost. */
	isLost(probability: number): boolean {
		return this.#random.uniform() < probability;
	}

	#newLayer(): LayerState {
		const [minimum, maximum] = this.#options.zipfExponents;
		const exponent = minimum + ((maximum - minimum) * this.#random.uniform());
		return {
			exponent,
			topics: Array.from({length: this.#options.topics}, () => this.#newTopic(exponent)),
			drift: new Float64Array(this.#options.size.experts),
		};
	}

	#newTopic(exponent: number): Float64Array {
		const {experts} = this.#options.size;
		const popularity = new Float64Array(experts);
		let total = 0;
		for (const [place, expert] of this.#random.permutation(experts).entries()) {
			popularity[expert] = (place + 1) ** -exponent;
			total += popularity[expert];
		}

		return popularity.map(value => value / total);
	}

	#loadsOf({topics, drift}: LayerState): Float64Array {
		const {tokensPerStep, driftPerWindow, windowNoise, windowsPerDay} = this.#options;
		const loads = new Float64Array(drift.length);
		let total = 0;
		for (const [topic, popularity] of topics.entries()) {
			const phase = 2 * Math.PI * ((this.#window / windowsPerDay) + (topic / topics.length));
			const weight = 1 + (timeOfDayStrength * Math.sin(phase));
			for (const [expert, value] of popularity.entries()) {
				loads[expert] += weight * value;
			}
		}

		for (const expert of loads.keys()) {
			drift[expert] += driftPerWindow * this.#random.normal();
			loads[expert] *= Math.exp(drift[expert] + (windowNoise * this.#random.normal()));
			total += loads[expert];
		}

		return loads.map(load => load * tokensPerStep / total);
	}
}

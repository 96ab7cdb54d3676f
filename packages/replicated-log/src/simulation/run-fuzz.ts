/** Stateful fuzzer of a simulated group. */

import fc from 'fast-check';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {defaultReplicaOptions, type ReplicaOptions} from '../options.js';
import {groupCommands} from './fuzz-commands.js';
import {SimulatedGroup} from './simulated-group.js';

/** The generator returns signed 32-bit integers. */
const minGeneratorValue = -(2 ** 31);
const generatorRange = 2 ** 32;

export type FuzzOptions = {
	readonly seed: number;
	readonly runs: number;
	readonly maxCommands?: number;
	/** Maximum clock rate error; above the replicas' configured bound, stale reads are expected. */
	readonly clockDrift?: number;
	readonly replica?: Partial<ReplicaOptions>;
	/** Whether members begin with the identities of a quorum only. */
	readonly hasAbsentVoters?: boolean;
};

/** Statistics of a run. */
export type FuzzStatistics = {runs: number; commands: number; committedEntries: number; confirmedReads: number; terms: number};

/** Runs random command sequences, each on a new group; throws with the shrunk failing sequence. */
export function runFuzz({seed, runs, maxCommands = 120, clockDrift = defaultReplicaOptions.clockDriftBound, replica = {}, hasAbsentVoters = false}: FuzzOptions): FuzzStatistics {
	const figures: FuzzStatistics = {
		runs: 0, commands: 0, committedEntries: 0, confirmedReads: 0, terms: 0,
	};
	const property = fc.property(fc.integer(), fc.constantFrom(1, 3, 5), groupCommands(maxCommands, clockDrift), (groupSeed, voters, commands) => {
		const model = {commands: 0};
		const group = new SimulatedGroup({
			voters, random: seededRandom(groupSeed), hasAbsentVoters, replica: {trailingEntries: 5, maxEntriesPerMessage: 4, ...replica},
		});
		group.advanceUntil(() => group.leader !== undefined);
		fc.modelRun(() => ({model, real: group}), commands);
		group.requireProgress();
		figures.runs++;
		figures.commands += model.commands;
		figures.committedEntries += group.oracle.committedCount;
		figures.confirmedReads += group.oracle.confirmedReads;
		figures.terms += group.leader?.state?.voteState.term ?? 0;
	});
	fc.assert(property, {seed, numRuns: runs});
	return figures;
}

/** Creates a seeded generator of random numbers in [0, 1). */
export function seededRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed);
	return () => (generator.next() - minGeneratorValue) / generatorRange;
}

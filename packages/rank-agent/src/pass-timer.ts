/**
Measures the duration of a group's passes from the step counter of one rank, which the agent reads anyway: all ranks run each pass together. What counts
is the time between the first sightings of two steps, divided by the passes in between.

Load that this answers: passes that take longer than published, because of uneven demand, copies, long prompts or a slow rank.
*/

import type {RankPlace} from '@rattanspring/target-table';
import type {EngineState} from './engine-client.js';

/** Time over which passes are averaged, and fewest passes that make a measurement: the time of a sighting is only known to the interval of the reads. */
const windowMs = 700;
const minPasses = 3;

/** After a longer pause between two reads, as of a suspended VM, the passes in between say nothing about the present. */
const maxReadGapMs = 1500;

/** Number of ranks of a group whose agents report passes: enough for a median and for some to survive a lost VM, and independent of the size of the group. */
const reportingRanks = 6;

/** Whether the agent of a rank reports passes. The positions are spread evenly. */
export function reportsPasses({rank, size}: Pick<RankPlace, 'rank' | 'size'>): boolean {
	return rank % Math.ceil(size / reportingRanks) === 0;
}

type Sighting = {readonly step: number; readonly atMs: number};

/** Measures the passes of one rank's group. */
export class PassTimer {
	/** When each step was first seen. */
	#sightings: Sighting[] = [];
	#readAtMs = Number.NEGATIVE_INFINITY;
	/** Formation and map of the sightings: passes with another map last differently. */
	#key = '';

	/** Records a state that was just read. Pauses of a switch, of an idle or of a broken group are no passes. */
	observe(state: EngineState, nowMs: number): void {
		const {rankPlace, mapVersion, step} = state;
		const key = `${rankPlace?.group} ${rankPlace?.epoch} ${mapVersion}`;
		const last = this.#sightings.at(-1);
		const isContinuous = key === this.#key && nowMs - this.#readAtMs < maxReadGapMs && step >= (last?.step ?? 0);
		this.#key = key;
		this.#readAtMs = nowMs;
		if (!isRunning(state)) {
			this.#sightings = [];
		} else if (!isContinuous) {
			this.#sightings = [{step, atMs: nowMs}];
		} else if (step !== last?.step) {
			this.#sightings.push({step, atMs: nowMs});
			this.#dropOld(nowMs);
		}
	}

	/** Duration of a pass; undefined while too few were seen. The present pass lasts at least as long as it has been seen. */
	passMs(nowMs: number): number | undefined {
		const first = this.#sightings.at(0);
		const last = this.#sightings.at(-1);
		if (!first || !last) {
			return undefined;
		}

		const passes = last.step - first.step;
		const measuredMs = passes >= minPasses ? (last.atMs - first.atMs) / passes : 0;
		const passMs = Math.max(measuredMs, nowMs - last.atMs);
		return measuredMs > 0 || passMs > windowMs ? passMs : undefined;
	}

	#dropOld(nowMs: number): void {
		while (this.#sightings.length > 2) {
			const [, second] = this.#sightings;
			if (nowMs - second.atMs < windowMs || this.#sightings.at(-1)!.step - second.step < minPasses) {
				return;
			}

			this.#sightings.shift();
		}
	}
}

function isRunning({active, rankPlace, armed, heldStep}: EngineState): boolean {
	return active > 0 && rankPlace?.isOpen === true && armed === undefined && heldStep === undefined;
}

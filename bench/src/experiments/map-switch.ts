/** Step delays that map switches cause in a group of 64 ranks, and whether ranks ever use different maps in one step under faults. */

import {Experiment, type ExperimentOptions, type ExperimentResult} from '../experiment.js';
import {type FaultOptions, type MapSwitchFigures, MapSwitchSimulation} from '../map-switch/map-switch-simulation.js';

const rankCount = 64;
const switchesWithFaults = 10_000;
const switchesWithoutFaults = 500;

const noFaults: FaultOptions = {
	loss: 0, duplicate: 0, late: 0, replaceCoordinator: 0, restartRank: 0,
};
const faults: FaultOptions = {
	loss: 0.002, duplicate: 0.01, late: 0.002, replaceCoordinator: 0.1, restartRank: 0.05,
};

const microsecondsPerMs = 1000;

class MapSwitch extends Experiment {
	get summary(): string {
		return 'steps delayed by a switch of maps, and steps on different maps under faults';
	}

	async run({seed, log}: ExperimentOptions): Promise<ExperimentResult> {
		log('map-switch: without faults');
		const faultFree = new MapSwitchSimulation({
			seed, rankCount, switches: switchesWithoutFaults, faults: noFaults,
		}).run();
		log('map-switch: with faults');
		const faultInjected = new MapSwitchSimulation({
			seed, rankCount, switches: switchesWithFaults, faults,
		}).run();
		return {
			figures: {...rowOf('withoutFaults', faultFree), ...rowOf('withFaults', faultInjected)},
			bounds: [
				{figure: 'withoutFaults.mixedSteps', atMost: 0, source: 'brief: one expert map per step'},
				{figure: 'withFaults.mixedSteps', atMost: 0, source: 'brief: one expert map per step'},
				{figure: 'withFaults.switches', atLeast: switchesWithFaults, source: 'issue 6'},
			],
		};
	}
}

function rowOf(name: string, figures: MapSwitchFigures): Record<string, number> {
	const {delaysUs, ...counts} = figures;
	const row = {
		...counts,
		delayedStepsPerSwitch: counts.delayedSteps / counts.switches,
		delayMsMedian: delaysUs.getValueAtPercentile(50) / microsecondsPerMs,
		delayMsP99: delaysUs.getValueAtPercentile(99) / microsecondsPerMs,
		delayMsMax: delaysUs.maxValue / microsecondsPerMs,
		delayMsPerSwitch: delaysUs.mean * counts.delayedSteps / counts.switches / microsecondsPerMs,
	};
	return Object.fromEntries(Object.entries(row).map(([key, value]) => [`${name}.${key}`, value]));
}

const mapSwitch = new MapSwitch();

export default mapSwitch;

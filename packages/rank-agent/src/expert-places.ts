/** What the desired state says of the experts of a service's engines. */

import type {Route, Service} from '@rattanspring/desired-state';

/** Places of experts on the ranks of a group, and what their work costs. */
export type ExpertPlaces = {
	readonly placesPerRank: number;
	readonly newPerRank: number;
	readonly stepMs: number;
	readonly perSequenceMs: number;
	readonly expertShare: number;
	/** Time of a step below which streams are on time with any map. */
	readonly easyStepMs: number;
};

/** Part of the longest pause that is on time which a pass may take without a thought for the map. */
const easyPassShare = 0.55;

/** The places of a service with experts. */
export function expertPlaces({name, engine}: Service, routes: readonly Route[]): ExpertPlaces | undefined {
	if (!engine) {
		return undefined;
	}

	const pauses = routes.flatMap(({split, pauseObjectiveMs}) => pauseObjectiveMs !== undefined && split.some(({service}) => service === name) ? [pauseObjectiveMs] : []);
	return {
		placesPerRank: engine.placesPerRank,
		newPerRank: engine.newPlacesPerRank,
		stepMs: engine.stepMs,
		perSequenceMs: engine.perSequenceMs,
		expertShare: engine.expertShare,
		easyStepMs: pauses.length === 0 ? 0 : Math.min(...pauses) * easyPassShare / Math.max(1, engine.stepsPerPass),
	};
}

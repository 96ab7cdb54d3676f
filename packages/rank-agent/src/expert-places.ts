/** What the desired state says of the experts of a service's engines. */

import type {EngineProfile} from '@rattanspring/desired-state';

/** Places of experts on the ranks of a group, and what their work costs. */
export type ExpertPlaces = {
	readonly placesPerRank: number;
	readonly newPerRank: number;
	readonly stepMs: number;
	readonly perSequenceMs: number;
	readonly expertShare: number;
};

/** The places of engines with experts. */
export function expertPlaces(engine: EngineProfile): ExpertPlaces {
	return {
		placesPerRank: engine.placesPerRank,
		newPerRank: engine.newPlacesPerRank,
		stepMs: engine.stepMs,
		perSequenceMs: engine.perSequenceMs,
		expertShare: engine.expertShare,
	};
}

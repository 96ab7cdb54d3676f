/**
Among targets that are equally good, an entry prefers those to which it has a kept connection: a new one costs the target time. Load this answers: many targets, to each of
which one entry sends less often than the target keeps an idle connection. The preference is smaller than one prompt's prefill, so that it never sends a request behind a
prompt, and it ends where it could pile requests up.
*/

/** Score in favour of an idle target with a kept connection: less than one prefill pass. */
const connectionGain = 0.8;

/** Input of the preference. */
export type ConnectionPreferenceInput = {
	readonly hasConnection: boolean;
	/** Requests of this entry at the target. */
	readonly inFlight: number;
	/** Requests at the target, and the number up to which targets count as equally loaded. */
	readonly busy: number;
	readonly lowLoad: number;
};

/** Score in favour of a target: none if this entry has a request there, and the less the more the target has to do. */
export function connectionPreference({hasConnection, inFlight, busy, lowLoad}: ConnectionPreferenceInput): number {
	return hasConnection && inFlight === 0 && lowLoad > 0 ? connectionGain * Math.max(0, 1 - (busy / lowLoad)) : 0;
}

/** Which targets name a limit. The newest message about a lifetime of a target counts. */

import type {TargetLifetime} from '@rattanspring/target-table';

/** The limit of a target, in requests a second of all entries together. */
export type TargetLimit = TargetLifetime & {
	/** What the target names; absent if it names none any more. */
	readonly perSecond?: number;
	/** What its service allows it while it is cold; absent if it is not cold. */
	readonly coldPerSecond?: number;
};

/** Changes of a limit by less than this share are not passed on. */
const minChangeShare = 0.02;

/** Targets that are kept; the one whose limit changed longest ago is forgotten first. */
const defaultMaxTargets = 10_000;

/** Limits by target ID. */
export class LimitTable {
	readonly #maxTargets: number;
	readonly #limits = new Map<string, TargetLimit>();

	constructor({maxTargets = defaultMaxTargets}: {readonly maxTargets?: number} = {}) {
		this.#maxTargets = maxTargets;
	}

	/** The limit of a lifetime of a target; undefined if there is none. */
	perSecondOf({targetId, bornMs}: TargetLifetime): number | undefined {
		const known = this.#limits.get(targetId);
		return known?.bornMs === bornMs ? known.perSecond : undefined;
	}

	/** Records a limit; returns whether it differs from the known one. */
	set(limit: TargetLimit): boolean {
		const {targetId, bornMs, perSecond} = limit;
		const known = this.#limits.get(targetId);
		const isOutdated = known !== undefined && known.bornMs > bornMs;
		if (isOutdated || isClose(this.perSecondOf(limit), perSecond)) {
			return false;
		}

		this.#limits.delete(targetId);
		this.#limits.set(targetId, {targetId, bornMs, perSecond});
		if (this.#limits.size > this.#maxTargets) {
			this.#limits.delete(this.#limits.keys().next().value!);
		}

		return true;
	}

	/** The limits in force. */
	get all(): TargetLimit[] {
		return [...this.#limits.values()].filter(({perSecond}) => perSecond !== undefined);
	}
}

/** Throws if the value, which another daemon has sent, is not a limit. */
export function readTargetLimit(value: unknown): TargetLimit {
	const {perSecond} = (value ?? {}) as Partial<TargetLimit>;
	const lifetime = readLifetime(value);
	if (!lifetime || !isRate(perSecond)) {
		throw new TypeError('The message has no limit of a target.');
	}

	return {...lifetime, ...(perSecond !== undefined && {perSecond})};
}

/** The lifetime of a target in a value that another daemon has sent; undefined if there is none. */
export function readLifetime(value: unknown): TargetLifetime | undefined {
	const {targetId, bornMs} = (value ?? {}) as Partial<TargetLifetime>;
	return typeof targetId === 'string' && typeof bornMs === 'number' ? {targetId, bornMs} : undefined;
}

/** Whether a value that another daemon has sent is a rate, or absent. */
export function isRate(value: unknown): value is number | undefined {
	return value === undefined || (typeof value === 'number' && Number.isFinite(value) && value >= 0);
}

function isClose(known: number | undefined, current: number | undefined): boolean {
	return known === undefined || current === undefined ? known === current : Math.abs(known - current) <= known * minChangeShare;
}

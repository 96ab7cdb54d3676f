/** Answers the calls of entries for permits, as far as this control process ranks first for a target. */

import type {NodeCard} from '@rattanspring/fleet-link';
import {
	AuthorityRank, PermitAuthority, type PermitDecision, readPermitRequest,
} from '@rattanspring/target-limits';

/** Options of the permits. */
export type PermitsOptions = {
	readonly nowMs: () => number;
	readonly ownAddress: string;
	readonly seeds: () => readonly string[];
	/** The daemons that are known now. */
	readonly nodes: () => Iterable<NodeCard>;
	/** Whether this process is shutting down: the others count it as gone, and one of them ranks first in its place. */
	readonly isLeaving: () => boolean;
};

/** The permits of one control process. */
export class Permits {
	readonly #options: PermitsOptions;
	readonly #authority = new PermitAuthority();
	readonly #rank: AuthorityRank;

	constructor(options: PermitsOptions) {
		const {nowMs, ownAddress, seeds} = options;
		this.#options = options;
		this.#rank = new AuthorityRank({ownAddress, seeds, startedAtMs: nowMs()});
	}

	/** Throws if the request is none. */
	take(request: unknown): PermitDecision {
		const {count, ...limit} = readPermitRequest(request);
		const nowMs = this.#options.nowMs();
		return this.#authority.take(limit, {count, isFirst: !this.#options.isLeaving() && this.#rank.isFirst(limit.targetId, nowMs)}, nowMs);
	}

	/** Looks which other control processes are known; to be called when that changes, and now and then. */
	refreshRank(): void {
		const {nodes, ownAddress, nowMs} = this.#options;
		const others = [...nodes()].flatMap(({role, linkAddress, isLeaving}) => role === 'control' && linkAddress !== undefined && linkAddress !== ownAddress ? [{address: linkAddress, isLeaving}] : []);
		this.#rank.update(others, nowMs());
	}
}

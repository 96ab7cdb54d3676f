/** The processes that ask the leader to join the group. Each asks again as long as it is not a voter. */

import type {Voter} from '@rattanspring/replicated-log';

/** Time without a request after which a process is no longer a candidate. */
const candidateLifetimeMs = 2500;

/** Processes that may ask at once, and the longest name and address of one: whoever reaches the port can ask. */
const maxCandidates = 256;
const maxNameLength = 512;

type Candidate = Voter & {lastAskedAtMs: number};

export class CandidateTable {
	readonly #candidates = new Map<string, Candidate>();

	/** Records a join request; returns false if there is no room for it, so that its process has to ask again. */
	add({voterId, address}: Voter, nowMs: number): boolean {
		const known = this.#candidates.get(voterId);
		if (known) {
			known.lastAskedAtMs = nowMs;
			return true;
		}

		const hasRoom = this.current(nowMs).length < maxCandidates && isName(voterId) && isName(address);
		if (hasRoom) {
			this.#candidates.set(voterId, {voterId, address, lastAskedAtMs: nowMs});
		}

		return hasRoom;
	}

	/** Processes that asked recently, in the order in which they first asked. */
	current(nowMs: number): Voter[] {
		for (const [voterId, {lastAskedAtMs}] of this.#candidates) {
			if (nowMs - lastAskedAtMs > candidateLifetimeMs) {
				this.#candidates.delete(voterId);
			}
		}

		return [...this.#candidates.values()].map(({voterId, address}) => ({voterId, address}));
	}

	/** Whether a process asked recently. */
	has(voterId: string, nowMs: number): boolean {
		return this.current(nowMs).some(candidate => candidate.voterId === voterId);
	}
}

function isName(value: unknown): boolean {
	return typeof value === 'string' && value.length <= maxNameLength;
}

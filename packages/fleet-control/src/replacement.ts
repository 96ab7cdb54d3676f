/**
Which voter a newcomer takes the place of. A voter that comes back at its address under another identity has lost its
disk, so its old identity can never vote again. At a new address a newcomer replaces a voter that has been out of reach
for long; as long as all voters of a whole group are heard, it waits.
*/

import type {Membership, Voter} from '@rattanspring/replicated-log';

/** A voter that was not heard for this long may be replaced by a newcomer at another address. */
export const replaceableAfterMs = 2500;

/** A voter beyond the group's size that was not heard for this long is removed. */
export const removableAfterMs = 5000;

/** Input of a decision. */
export type ReplacementInput = {
	readonly membership: Membership;
	readonly newcomer: Voter;
	/** Time since a voter was last heard by the leader; 0 for the leader itself. */
	readonly silentMsOf: (voterId: string) => number;
};

/** The voter that the newcomer takes the place of; undefined while all are heard. */
export function replacedBy({membership, newcomer, silentMsOf}: ReplacementInput): string | undefined {
	const sameAddress = membership.voters.find(voter => voter.address === newcomer.address);
	if (sameAddress) {
		return sameAddress.voterId;
	}

	const taken = new Set(membership.learners.map(learner => learner.replaces));
	const silent = membership.voters
		.map(({voterId}) => ({voterId, silentMs: silentMsOf(voterId)}))
		.filter(({voterId, silentMs}) => silentMs > replaceableAfterMs && !taken.has(voterId));
	return silent.toSorted((left, right) => right.silentMs - left.silentMs).at(0)?.voterId;
}

/** A voter to remove because the group has more than its size and this one stays away. */
export function surplusVoter(membership: Membership, size: number, silentMsOf: (voterId: string) => number): string | undefined {
	if (membership.voters.length <= size) {
		return undefined;
	}

	const silent = membership.voters
		.map(({voterId}) => ({voterId, silentMs: silentMsOf(voterId)}))
		.filter(({silentMs}) => silentMs > removableAfterMs);
	return silent.toSorted((left, right) => right.silentMs - left.silentMs).at(0)?.voterId;
}

/**
Selects the voter that a joining member replaces, and the voter that a group with too many voters removes.

A voter that returns at its address under a new identity has lost its disk, so its old identity can never vote again and
is replaced at once. A member at a new address replaces a voter that has been unreachable for some time; as long as all
voters of a complete group are reachable, it is not added.
*/

import type {Membership, Voter} from '@rattanspring/replicated-log';

/** Time without contact after which a voter may be replaced by a new member at another address. */
export const replaceableAfterMs = 2500;

/** Time without contact after which a voter in excess of the group size is removed. */
export const removableAfterMs = 5000;

export type ReplacementInput = {
	readonly membership: Membership;
	readonly newMember: Voter;
	/** Time since the leader's last contact with a voter; 0 for the leader itself. */
	readonly silentMsOf: (voterId: string) => number;
};

/** The voter that the new member replaces; undefined if all voters are reachable. */
export function voterToReplace({membership, newMember, silentMsOf}: ReplacementInput): string | undefined {
	const sameAddress = membership.voters.find(voter => voter.address === newMember.address);
	if (sameAddress) {
		return sameAddress.voterId;
	}

	const taken = new Set(membership.learners.map(learner => learner.replaces));
	const silent = membership.voters
		.map(({voterId}) => ({voterId, silentMs: silentMsOf(voterId)}))
		.filter(({voterId, silentMs}) => silentMs > replaceableAfterMs && !taken.has(voterId));
	return silent.toSorted((left, right) => right.silentMs - left.silentMs).at(0)?.voterId;
}

/** The unreachable voter to remove from a group that has more voters than its size; undefined if there is none. */
export function surplusVoter(membership: Membership, size: number, silentMsOf: (voterId: string) => number): string | undefined {
	if (membership.voters.length <= size) {
		return undefined;
	}

	const silent = membership.voters
		.map(({voterId}) => ({voterId, silentMs: silentMsOf(voterId)}))
		.filter(({silentMs}) => silentMs > removableAfterMs);
	return silent.toSorted((left, right) => right.silentMs - left.silentMs).at(0)?.voterId;
}

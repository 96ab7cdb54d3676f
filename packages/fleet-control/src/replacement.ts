/**
Selects the processes that join the group, the voters that they replace, and the members that the leader removes.

A voter that returns at its address under a new identity has lost its disk, so its old identity can never vote again and
is replaced at once. A process at a new address replaces a voter that has been unreachable for some time. Otherwise
processes are added only while the group has fewer voters than desired, and such that it does not remain at an even number
of voters, which tolerates no more losses than one voter less.
*/

import {
	findMember, isVoter, type Learner, members, type Membership, type Voter,
} from '@rattanspring/replicated-log';

/** Time without contact after which a voter may be replaced by a new member at another address. */
export const replaceableAfterMs = 2500;

/** Time without contact after which a voter in excess of the group size, or a learner, is removed. */
export const removableAfterMs = 5000;

/** Maximum number of seeds, and thus of the voters with which a group is formed. */
const maxFormedSize = 3;

export type GroupSizes = {
	/** Number of voters up to which the leader adds processes. */
	readonly desired: number;
	/** Number of voters that the group keeps, including unreachable ones. It never falls below the size at formation. */
	readonly kept: number;
};

/** Sizes of the group, such that a quorum remains after the loss of `faultTolerance` voters. */
export function groupSizes({faultTolerance, seedCount}: {readonly faultTolerance: number; readonly seedCount: number}): GroupSizes {
	const desired = Math.max((2 * faultTolerance) + 1, seedCount);
	return {desired, kept: Math.max(desired, maxFormedSize)};
}

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

export type LearnerInput = {
	readonly membership: Membership;
	/** Processes that currently ask to join, in the order in which they first asked. */
	readonly candidates: readonly Voter[];
	/** Desired number of voters. */
	readonly size: number;
	readonly silentMsOf: (voterId: string) => number;
	readonly failureDomainOf: (address: string) => string | undefined;
};

/** The process to add next as a learner, which becomes a voter once it has caught up; undefined if none is needed. */
export function nextLearner(input: LearnerInput): Learner | undefined {
	const {membership, candidates, size, silentMsOf} = input;
	const waiting = candidates.filter(({voterId}) => !findMember(membership, voterId));
	const returned = waiting.find(({address}) => membership.voters.some(voter => voter.address === address));
	const newMember = returned ?? mostSpread(input, waiting);
	if (!newMember) {
		return undefined;
	}

	const replaces = voterToReplace({membership, newMember, silentMsOf});
	if (replaces !== undefined) {
		return {...newMember, replaces};
	}

	const nextSize = futureVoters(membership).length + 1;
	const isPairComplete = nextSize % 2 === 1 || nextSize === size || waiting.length > 1;
	return nextSize <= size && isPairComplete ? newMember : undefined;
}

/** The voters, and the learners that increase their number. */
function futureVoters(membership: Membership): Voter[] {
	return [...membership.voters, ...membership.learners.filter(({replaces}) => replaces === undefined || !isVoter(membership, replaces))];
}

/** The candidate whose failure domain has the fewest members. */
function mostSpread({membership, failureDomainOf}: LearnerInput, candidates: readonly Voter[]): Voter | undefined {
	const domains = members(membership).map(({address}) => failureDomainOf(address));
	const memberCount = ({address}: Voter) => domains.filter(domain => domain === failureDomainOf(address)).length;
	return candidates.toSorted((left, right) => memberCount(left) - memberCount(right)).at(0);
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

/** A learner to remove: its address has joined again under a newer identity, which means that its disk was lost, or it has been unreachable. */
export function staleLearner({learners}: Membership, silentMsOf: (voterId: string) => number): string | undefined {
	return learners.find(({voterId, address}, index) => learners.slice(index + 1).some(other => other.address === address) || silentMsOf(voterId) > removableAfterMs)?.voterId;
}

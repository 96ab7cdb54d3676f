/** Members of a group and quorum calculations. */

import type {
	LogEntry, Membership, Voter, VoterId,
} from './log-entry.js';

/** A membership with the index of the entry that set it. It takes effect when that entry is appended. */
export type IndexedMembership = Membership & {readonly index: number};

/** Size of the smallest majority of the voters. */
export function quorumSize(membership: Membership): number {
	return Math.floor(membership.voters.length / 2) + 1;
}

export function isVoter(membership: Membership, voterId: VoterId): boolean {
	return membership.voters.some(voter => voter.voterId === voterId);
}

/** Voters and learners. */
export function members(membership: Membership): Voter[] {
	return [...membership.voters, ...membership.learners];
}

export function findMember(membership: Membership, voterId: VoterId | undefined): Voter | undefined {
	return members(membership).find(member => member.voterId === voterId);
}

/** The highest value that a quorum of the voters has reached. */
export function quorumValue(membership: Membership, valueOf: (voterId: VoterId) => number): number {
	const values = membership.voters.map(voter => valueOf(voter.voterId));
	values.sort((left, right) => right - left);
	return values[quorumSize(membership) - 1] ?? Number.NEGATIVE_INFINITY;
}

/** The memberships set by a list of entries. */
export function membershipsIn(entries: readonly LogEntry[]): IndexedMembership[] {
	return entries.flatMap(({index, payload}) => payload.kind === 'membership' ? [{index, voters: payload.voters, learners: payload.learners}] : []);
}

/**
Forms a new group: the initial voters exchange their identities, and each stores the same list as the initial
membership. One that gives none for long may be lost for good: it is left out, but keeps its place. A voter that starts
with an empty data folder although the group already exists has lost its disk and is rejected.
*/

import {setTimeout as sleep} from 'node:timers/promises';
import type {peerProtocol} from '@rattanspring/protocol';
import type {Membership, Voter} from '@rattanspring/replicated-log';
import {FailureError} from '@rattanspring/types';
import type {PeerCalls} from './peer-calls.js';

/** Pause between rounds of identify calls. */
const identifyIntervalMs = 100;

/** The group already exists and does not include this voter, for example because its data folder is empty. */
export type NotInGroupFailure = {readonly type: 'notInGroup'; readonly message: string};

export type GroupFormationOptions = {
	/** Identity of the local voter. */
	readonly voterId: string;
	readonly ownAddress: string;
	readonly addresses: readonly string[];
	readonly calls: PeerCalls;
	readonly isStopped: () => boolean;
	/** Whether voters that have not given their identity may be left out, as long as a quorum of all has; never by default. */
	readonly mayLeaveOut?: () => boolean;
};

/** Resolves with the initial membership, or undefined if stopped earlier. */
export async function formGroup(options: GroupFormationOptions): Promise<Membership | undefined> {
	while (!options.isStopped()) {
		const others = options.addresses.filter(address => address !== options.ownAddress);
		const replies = await Promise.all(others.map(async address => options.calls.identify(address)));
		const membership = membershipFromReplies(options, others, replies);
		if (membership) {
			return membership;
		}

		await sleep(identifyIntervalMs);
	}

	return undefined;
}

type Replies = ReadonlyArray<peerProtocol.IdentifyReply | undefined>;

function membershipFromReplies(options: GroupFormationOptions, others: readonly string[], replies: Replies): Membership | undefined {
	const existingGroup = replies.find(reply => reply && reply.members.length > 0);
	if (existingGroup) {
		return existingMembership(options.voterId, existingGroup);
	}

	const knownCount = 1 + replies.filter(reply => reply !== undefined).length;
	const mayLeaveOut = options.mayLeaveOut?.() === true && knownCount >= quorumSizeOf(options.addresses.length);
	if (knownCount < options.addresses.length && !mayLeaveOut) {
		return undefined;
	}

	const voters: Voter[] = [
		{voterId: options.voterId, address: options.ownAddress},
		...replies.map((reply, position) => ({voterId: reply?.voterId ?? absentVoterId(others[position]), address: others[position]})),
	];
	return {voters: voters.toSorted((left, right) => left.voterId < right.voterId ? -1 : 1), learners: []};
}

/**
The identity of a voter that is left out. It keeps its place, so that a quorum is of all places: every two quorums have a place in common whose process
is the same, whichever of them know the identity of the absent one. No process has this identity, so it never votes, and the group replaces it.
*/
function absentVoterId(address: string): string {
	return `absent@${address}`;
}

function quorumSizeOf(count: number): number {
	return Math.floor(count / 2) + 1;
}

function existingMembership(voterId: string, existingGroup: peerProtocol.IdentifyReply): Membership {
	if (!existingGroup.members.some(member => member.voterId === voterId)) {
		const failure: NotInGroupFailure = {
			type: 'notInGroup',
			message: `The group already exists and does not include ${voterId}: the data folder is empty or belongs to another voter. Start with roles.control.start = "joinGroup" and add the voter by "rattanspring voters add".`,
		};
		throw new FailureError(failure);
	}

	return {voters: existingGroup.members.map(({voterId: id, address}) => ({voterId: id, address})), learners: []};
}

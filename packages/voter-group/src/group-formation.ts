/**
Forms a new group: the initial voters tell each other the identities of their data folders, and each keeps the same
list as the first membership. A voter whose folder is empty while the group exists has lost its disk; it is refused.
*/

import {setTimeout as sleep} from 'node:timers/promises';
import type {peerProtocol} from '@rattanspring/protocol';
import type {Membership, Voter} from '@rattanspring/replicated-log';
import {FailureError} from '@rattanspring/types';
import type {PeerCalls} from './peer-calls.js';

/** Pause between rounds of questions. */
const askPauseMs = 100;

/** A voter that starts with an empty folder although its group exists. */
export type NotInGroupFailure = {readonly type: 'notInGroup'; readonly message: string};

/** Options of the formation. */
export type GroupFormationOptions = {
	/** Identity of this voter. */
	readonly voterId: string;
	readonly ownAddress: string;
	readonly addresses: readonly string[];
	readonly calls: PeerCalls;
	readonly isStopped: () => boolean;
};

/** Resolves with the first membership; undefined if stopped before. */
export async function formGroup(options: GroupFormationOptions): Promise<Membership | undefined> {
	while (!options.isStopped()) {
		const others = options.addresses.filter(address => address !== options.ownAddress);
		const replies = await Promise.all(others.map(async address => options.calls.identify(address)));
		const membership = membershipFrom(options, others, replies);
		if (membership) {
			return membership;
		}

		await sleep(askPauseMs);
	}

	return undefined;
}

type Replies = ReadonlyArray<peerProtocol.IdentifyReply | undefined>;

function membershipFrom(options: GroupFormationOptions, others: readonly string[], replies: Replies): Membership | undefined {
	const formed = replies.find(reply => reply && reply.members.length > 0);
	if (formed) {
		return adopted(options.voterId, formed);
	}

	const voters: Voter[] = [{voterId: options.voterId, address: options.ownAddress}];
	for (const [position, reply] of replies.entries()) {
		if (!reply) {
			return undefined;
		}

		voters.push({voterId: reply.voterId, address: others[position]});
	}

	return {voters: voters.toSorted((left, right) => left.voterId < right.voterId ? -1 : 1), learners: []};
}

function adopted(voterId: string, formed: peerProtocol.IdentifyReply): Membership {
	if (!formed.members.some(member => member.voterId === voterId)) {
		const failure: NotInGroupFailure = {
			type: 'notInGroup',
			message: `The group exists and does not know ${voterId}: this data folder is empty or another one. Start with roles.control.start = "joinGroup" and add the voter by "rattanspring voters add".`,
		};
		throw new FailureError(failure);
	}

	return {voters: formed.members.map(({voterId: id, address}) => ({voterId: id, address})), learners: []};
}

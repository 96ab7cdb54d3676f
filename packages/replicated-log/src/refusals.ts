/** Refusals of requests. */

import type {Context} from './context.js';
import type {Refusal} from './events.js';
import {findMember} from './membership.js';
import {currentMembership} from './replica-state.js';

/** Refuses a request for which nothing was appended. */
export function refuse(context: Context, requestId: number, refusal: Refusal): void {
	context.effects.push({type: 'refused', requestId, refusal});
}

/** Refuses a request that only the leader can process, with the leader's address if it is known. */
export function refuseNotLeader(context: Context, requestId: number): void {
	const {state} = context;
	const leader = findMember(currentMembership(state), state.leaderId);
	refuse(context, requestId, {
		type: 'notLeader',
		message: leader ? `The leader is ${leader.voterId} at ${leader.address}.` : 'The leader is currently unknown.',
		...(leader && {leaderAddress: leader.address}),
	});
}

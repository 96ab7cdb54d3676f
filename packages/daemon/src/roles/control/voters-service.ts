/** Service by which operators list and change the voters. */

import type {ServerUnaryCall, sendUnaryData} from '@grpc/grpc-js';
import type {ControlFailure} from '@rattanspring/control-client';
import {votersProtocol} from '@rattanspring/protocol';
import type {MembershipChange} from '@rattanspring/replicated-log';
import {
	type Clock, err, ok, type Result,
} from '@rattanspring/types';
import type {GrpcService} from '@rattanspring/voter-group';
import type {GroupMembership, ReplicatedFleetLog} from '../../adapters/replicated-fleet-log.js';
import {authorizeRead, authorizeVoterChange} from './operator-access.js';

/** Options of the service. */
export type VotersServiceOptions = {readonly log: ReplicatedFleetLog; readonly clock: Clock};

type ReplyCallback = sendUnaryData<votersProtocol.VotersReply>;
type ListCall = ServerUnaryCall<votersProtocol.ListVotersRequest, votersProtocol.VotersReply>;
type ChangeCall = ServerUnaryCall<votersProtocol.ChangeVotersRequest, votersProtocol.VotersReply>;
type MembershipResult = Result<GroupMembership, ControlFailure>;

/** Creates the service. */
export function createVotersService(options: VotersServiceOptions): GrpcService {
	return {
		definition: votersProtocol.VotersService,
		implementation: {
			list({request}: ListCall, done: ReplyCallback) {
				void answer(done, list(options, request));
			},
			change({request}: ChangeCall, done: ReplyCallback) {
				void answer(done, change(options, request));
			},
		},
	};
}

async function list({log, clock}: VotersServiceOptions, request: votersProtocol.ListVotersRequest): Promise<MembershipResult> {
	const state = await log.confirmedState();
	if (!state.ok) {
		return state;
	}

	const allowed = authorizeRead(state.value.configuration, 'voters', request.operatorSecret, clock.wallMs());
	return allowed.ok ? ok(log.membership!) : allowed;
}

async function change({log, clock}: VotersServiceOptions, request: votersProtocol.ChangeVotersRequest): Promise<MembershipResult> {
	const state = await log.confirmedState();
	if (!state.ok) {
		return state;
	}

	const allowed = authorizeVoterChange(state.value.configuration, request.operatorSecret, clock.wallMs());
	if (!allowed.ok) {
		return allowed;
	}

	const requestedChange = await toMembershipChange(log, request);
	if (!requestedChange.ok) {
		return requestedChange;
	}

	const changed = await log.changeMembership(requestedChange.value);
	return changed.ok ? ok(log.membership!) : changed;
}

async function toMembershipChange(log: ReplicatedFleetLog, {change: requested}: votersProtocol.ChangeVotersRequest): Promise<Result<MembershipChange, ControlFailure>> {
	if (requested?.$case === 'remove') {
		return ok({kind: 'remove', voterId: requested.value});
	}

	if (!requested) {
		return err({type: 'malformedCommand', message: 'The request specifies no change.'});
	}

	const {address, replaces} = requested.value;
	const voterId = await log.identify(address);
	if (voterId === undefined) {
		return err({type: 'membershipRefused', message: `No voter responds at ${address}; start it with roles.control.start = "joinGroup" first.`});
	}

	return ok({kind: 'add', learner: {voterId, address, ...(replaces !== '' && {replaces})}});
}

async function answer(done: ReplyCallback, pending: Promise<MembershipResult>): Promise<void> {
	const result = await pending;
	done(null, {result: result.ok ? {$case: 'voters', value: {voters: toVoterEntries(result.value)}} : {$case: 'failure', value: toFailureMessage(result.failure)}});
}

function toVoterEntries({voters, learners, leaderId}: GroupMembership): votersProtocol.VoterEntry[] {
	return [
		...voters.map(({voterId, address}) => ({voterId, address, standing: voterId === leaderId ? 'leader' : 'voter'})),
		...learners.map(({voterId, address}) => ({voterId, address, standing: 'learner'})),
	];
}

function toFailureMessage({type, message, leaderAddress = ''}: ControlFailure): {type: string; message: string; leaderAddress: string} {
	return {type, message, leaderAddress};
}

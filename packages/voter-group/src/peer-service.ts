/** The peer protocol as a gRPC service. */

import {
	type sendUnaryData, type ServerReadableStream, type ServerUnaryCall, status,
} from '@grpc/grpc-js';
import {peerProtocol} from '@rattanspring/protocol';
import type {Membership} from '@rattanspring/replicated-log';
import type {GrpcService} from './grpc-service.js';
import {type PeerListener, receiveFrames} from './grpc-peer-transport.js';

export type PeerServiceOptions = {
	/** Identity of the local voter; undefined while it is starting. */
	readonly voterId: () => string | undefined;
	/** Current membership; undefined before the group is formed. */
	readonly membership: () => Membership | undefined;
	readonly receive: PeerListener;
	/** Commit index, if a quorum confirms that the local voter is the leader; undefined otherwise. */
	readonly confirmIndex: () => Promise<number | undefined>;
};

type Exchange = ServerReadableStream<peerProtocol.PeerFrame, peerProtocol.PeerClosed>;
type IdentifyCall = ServerUnaryCall<peerProtocol.IdentifyRequest, peerProtocol.IdentifyReply>;
type ConfirmCall = ServerUnaryCall<peerProtocol.ConfirmIndexRequest, peerProtocol.ConfirmIndexReply>;

export function peerService(options: PeerServiceOptions): GrpcService {
	return {
		definition: peerProtocol.PeerService,
		implementation: {
			exchange(call: Exchange, done: sendUnaryData<peerProtocol.PeerClosed>) {
				receiveFrames(call, options.receive);
				call.on('end', () => {
					done(null, {});
				});
				call.on('error', () => undefined);
			},
			identify(_call: IdentifyCall, done: sendUnaryData<peerProtocol.IdentifyReply>) {
				identify(options, done);
			},
			confirmIndex(_call: ConfirmCall, done: sendUnaryData<peerProtocol.ConfirmIndexReply>) {
				void confirmIndex(options, done);
			},
		},
	};
}

function identify(options: PeerServiceOptions, done: sendUnaryData<peerProtocol.IdentifyReply>): void {
	const voterId = options.voterId();
	if (voterId === undefined) {
		done({code: status.UNAVAILABLE, details: 'The voter is starting.'});
		return;
	}

	const voters = options.membership()?.voters ?? [];
	done(null, {voterId, members: voters.map(({voterId: id, address}) => ({voterId: id, address}))});
}

async function confirmIndex(options: PeerServiceOptions, done: sendUnaryData<peerProtocol.ConfirmIndexReply>): Promise<void> {
	const index = await options.confirmIndex();
	done(null, {confirmed: index !== undefined, index: index ?? 0});
}

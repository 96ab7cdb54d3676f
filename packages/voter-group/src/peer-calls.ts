/** Calls of the peer protocol that have an answer. */

import {Metadata, type ServiceError} from '@grpc/grpc-js';
import {GrpcClients} from '@rattanspring/control-client';
import {peerProtocol, type KeyMaterial} from '@rattanspring/protocol';

/** Time for one call. */
const callTimeoutMs = 1000;

type Done<Reply> = (error: ServiceError | null, reply: Reply) => void; // eslint-disable-line @typescript-eslint/no-restricted-types -- the shape of gRPC callbacks

/** Calls to other voters by address; undefined where no answer came. */
export class PeerCalls {
	readonly #clients: GrpcClients<peerProtocol.PeerClient>;

	constructor(keys: KeyMaterial | undefined) {
		this.#clients = new GrpcClients({clientClass: peerProtocol.PeerClient, keys});
	}

	/** Asks who listens at an address. */
	async identify(address: string): Promise<peerProtocol.IdentifyReply | undefined> {
		return answerOf(done => {
			this.#clients.at(address).identify({}, new Metadata(), callOptions(), done);
		});
	}

	/** Asks a leader up to where the log was accepted. */
	async confirmIndex(address: string): Promise<number | undefined> {
		const reply = await answerOf<peerProtocol.ConfirmIndexReply>(done => {
			this.#clients.at(address).confirmIndex({}, new Metadata(), callOptions(), done);
		});
		return reply?.confirmed ? reply.index : undefined;
	}

	/** Closes all connections. */
	close(): void {
		this.#clients.close();
	}
}

async function answerOf<Reply>(call: (done: Done<Reply>) => void): Promise<Reply | undefined> {
	return new Promise(resolve => {
		call((error, reply) => {
			resolve(error ? undefined : reply);
		});
	});
}

function callOptions(): {deadline: number} {
	return {deadline: Date.now() + callTimeoutMs};
}

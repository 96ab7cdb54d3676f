/** Client for the unary calls of the peer protocol. */

import {Metadata, type ServiceError} from '@grpc/grpc-js';
import {GrpcClientPool} from '@rattanspring/control-client';
import {peerProtocol, type KeyMaterial} from '@rattanspring/protocol';

const callTimeoutMs = 1000;

type UnaryCallback<Reply> = (error: ServiceError | null, reply: Reply) => void; // eslint-disable-line @typescript-eslint/no-restricted-types -- the shape of gRPC callbacks

/** Unary calls to other voters by address. A failed call returns undefined, and the next one gets a new connection, since that of the failed one may be dead. */
export class PeerCalls {
	readonly #clients: GrpcClientPool<peerProtocol.PeerClient>;

	constructor(keys: KeyMaterial | undefined) {
		this.#clients = new GrpcClientPool({clientClass: peerProtocol.PeerClient, keys});
	}

	/** Requests the identity of the voter at an address, and the members it knows. */
	async identify(address: string): Promise<peerProtocol.IdentifyReply | undefined> {
		return this.#call(address, (client, done) => {
			client.identify({}, new Metadata(), callOptions(), done);
		});
	}

	/** Requests the leader's commit index, confirmed by a quorum; undefined if it was not confirmed. */
	async confirmIndex(address: string): Promise<number | undefined> {
		const reply = await this.#call<peerProtocol.ConfirmIndexReply>(address, (client, done) => {
			client.confirmIndex({}, new Metadata(), callOptions(), done);
		});
		return reply?.confirmed ? reply.index : undefined;
	}

	close(): void {
		this.#clients.close();
	}

	async #call<Reply>(address: string, call: (client: peerProtocol.PeerClient, done: UnaryCallback<Reply>) => void): Promise<Reply | undefined> {
		const client = this.#clients.clientFor(address);
		return new Promise(resolve => {
			call(client, (error, reply) => {
				if (error) {
					this.#clients.discard(address, client);
				}

				resolve(error ? undefined : reply);
			});
		});
	}
}

function callOptions(): {deadline: number} {
	return {deadline: Date.now() + callTimeoutMs};
}

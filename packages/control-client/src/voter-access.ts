/** Lists and changes the voters of the control group. */

import {setTimeout as sleep} from 'node:timers/promises';
import {Metadata, type ServiceError} from '@grpc/grpc-js';
import {votersProtocol} from '@rattanspring/protocol';
import {err, ok, type Result} from '@rattanspring/types';
import type {ControlFailure} from './control-access.js';
import {controlFailureFromMessage, type GrpcControlAccessOptions, isPermanentFailure} from './grpc-control-access.js';
import {GrpcClientPool} from './grpc-clients.js';

/** Time for one call to one voter. */
const callTimeoutMs = 3000;

/** Time over which a request is offered before giving up. */
const offerTimeoutMs = 10_000;

/** Pause after a failed call. */
const retryPauseMs = 200;

/** A member of the control group. */
export type VoterListEntry = votersProtocol.VoterEntry;

/** A change of the voters. */
export type VoterChange = NonNullable<votersProtocol.ChangeVotersRequest['change']>;

type Done = (error: ServiceError | null, reply: votersProtocol.VotersReply) => void; // eslint-disable-line @typescript-eslint/no-restricted-types -- the shape of gRPC callbacks
type Call = (client: votersProtocol.VotersClient, done: Done) => void;
type Answer = Result<readonly VoterListEntry[], ControlFailure>;

/** Access to the voters at fixed addresses. */
export class VoterAccess {
	readonly #options: GrpcControlAccessOptions;
	readonly #clients: GrpcClientPool<votersProtocol.VotersClient>;

	constructor(options: GrpcControlAccessOptions) {
		this.#options = options;
		this.#clients = new GrpcClientPool({clientClass: votersProtocol.VotersClient, keys: options.keys});
	}

	/** All members, confirmed by a quorum. */
	async list(): Promise<Answer> {
		return this.#offer((client, done) => {
			client.list({operatorSecret: this.#secret}, new Metadata(), callOptions(), done);
		});
	}

	/** Changes the members; the answer lists them as they are afterwards. A change offered again is refused as done already. */
	async change(change: VoterChange): Promise<Answer> {
		return this.#offer((client, done) => {
			client.change({change, operatorSecret: this.#secret}, new Metadata(), callOptions(), done);
		});
	}

	/** Closes all connections. */
	close(): void {
		this.#clients.close();
	}

	get #secret(): string {
		return this.#options.operatorSecret ?? '';
	}

	async #offer(call: Call): Promise<Answer> {
		const deadlineMs = Date.now() + offerTimeoutMs;
		const {addresses} = this.#options;
		let failure: ControlFailure = {type: 'unreachable', message: 'No voter answered.'};
		for (let attempt = 0; Date.now() < deadlineMs; attempt++) {
			const address = failure.leaderAddress ?? addresses[attempt % addresses.length];
			const answer = await this.#callOnce(call, address);
			if (answer.ok || isPermanentFailure(answer.failure)) {
				return answer;
			}

			failure = answer.failure;
			await sleep(retryPauseMs);
		}

		return err(failure);
	}

	async #callOnce(call: Call, address: string): Promise<Answer> {
		return new Promise(resolve => {
			call(this.#clients.clientFor(address), (error, reply) => {
				resolve(error ? err({type: 'unreachable', message: error.message}) : readReply(reply));
			});
		});
	}
}

function callOptions(): {deadline: number} {
	return {deadline: Date.now() + callTimeoutMs};
}

function readReply({result}: votersProtocol.VotersReply): Answer {
	if (result?.$case === 'voters') {
		return ok(result.value.voters);
	}

	return err(result ? controlFailureFromMessage(result.value) : {type: 'unreachable', message: 'The voter sent an empty reply.'});
}

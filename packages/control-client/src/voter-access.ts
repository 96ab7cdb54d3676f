/** Lists the voters of the control group and changes its membership. */

import {setTimeout as sleep} from 'node:timers/promises';
import {Metadata, type ServiceError} from '@grpc/grpc-js';
import {votersProtocol} from '@rattanspring/protocol';
import {err, ok, type Result} from '@rattanspring/types';
import type {ControlFailure} from './control-access.js';
import {controlFailureFromMessage, type GrpcControlAccessOptions, isPermanentFailure} from './grpc-control-access.js';
import {GrpcClientPool} from './grpc-client-pool.js';

/** Timeout of one call to one voter. */
const callTimeoutMs = 3000;

/** Total time for which a request is retried at the voters. */
const requestTimeoutMs = 10_000;

/** Delay before a retry. */
const retryPauseMs = 200;

/** A member of the control group. */
export type VoterListEntry = votersProtocol.VoterEntry;

/** A change of the group's membership. */
export type VoterChange = NonNullable<votersProtocol.ChangeVotersRequest['change']>;

type ReplyCallback = (error: ServiceError | null, reply: votersProtocol.VotersReply) => void; // eslint-disable-line @typescript-eslint/no-restricted-types -- the shape of gRPC callbacks
type Call = (client: votersProtocol.VotersClient, done: ReplyCallback) => void;
type VoterListResult = Result<readonly VoterListEntry[], ControlFailure>;

/** Reaches the voters at a fixed list of addresses. */
export class VoterAccess {
	readonly #options: GrpcControlAccessOptions;
	readonly #clients: GrpcClientPool<votersProtocol.VotersClient>;

	constructor(options: GrpcControlAccessOptions) {
		this.#options = options;
		this.#clients = new GrpcClientPool({clientClass: votersProtocol.VotersClient, keys: options.keys});
	}

	/** Lists all members, confirmed by a quorum. */
	async list(): Promise<VoterListResult> {
		return this.#callWithRetry((client, done) => {
			client.list({operatorSecret: this.#secret}, new Metadata(), callOptions(), done);
		});
	}

	/** Changes the membership; the answer lists the members afterwards. A change that is retried after it took effect is refused as already made. */
	async change(change: VoterChange): Promise<VoterListResult> {
		return this.#callWithRetry((client, done) => {
			client.change({change, operatorSecret: this.#secret}, new Metadata(), callOptions(), done);
		});
	}

	close(): void {
		this.#clients.close();
	}

	get #secret(): string {
		return this.#options.operatorSecret ?? '';
	}

	async #callWithRetry(call: Call): Promise<VoterListResult> {
		const deadlineMs = Date.now() + requestTimeoutMs;
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

	async #callOnce(call: Call, address: string): Promise<VoterListResult> {
		return new Promise(resolve => {
			call(this.#clients.clientFor(address), (error, reply) => {
				resolve(error ? err({type: 'unreachable', message: error.message}) : parseReply(reply));
			});
		});
	}
}

function callOptions(): {deadline: number} {
	return {deadline: Date.now() + callTimeoutMs};
}

function parseReply({result}: votersProtocol.VotersReply): VoterListResult {
	if (result?.$case === 'voters') {
		return ok(result.value.voters);
	}

	return err(result ? controlFailureFromMessage(result.value) : {type: 'unreachable', message: 'The voter sent an empty reply.'});
}

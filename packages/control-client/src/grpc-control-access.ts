/**
Submits commands to the control voters over gRPC. A failed call is retried at the leader that the voter reported, otherwise at the next voter.
*/

import {setTimeout as sleep} from 'node:timers/promises';
import {Metadata, type ServiceError} from '@grpc/grpc-js';
import type {FleetAnswer, FleetCommand} from '@rattanspring/fleet-state';
import {fleetProtocol, type KeyMaterial} from '@rattanspring/protocol';
import {err, ok, type Result} from '@rattanspring/types';
import {ControlAccess, type ControlFailure, type ReadSubject} from './control-access.js';
import {GrpcClientPool} from './grpc-client-pool.js';
import {fromJsonBytes, toJsonBytes} from './json-bytes.js';

/** Timeout of one call to one voter. */
const callTimeoutMs = 2000;

/** Total time for which a command is retried at the voters. */
const submitTimeoutMs = 6000;

/** Delay before a retry. */
const retryPauseMs = 100;

type Reply = fleetProtocol.SubmitReply | fleetProtocol.ReadReply;
type ReplyCallback = (error: ServiceError | null, reply?: Reply) => void; // eslint-disable-line @typescript-eslint/no-restricted-types -- the shape of gRPC callbacks
type Call = (client: fleetProtocol.ControlClient, done: ReplyCallback) => void;

/** Options of `GrpcControlAccess`. */
export type GrpcControlAccessOptions = {
	readonly addresses: readonly string[];
	readonly keys?: KeyMaterial;
	/** Secret of an operator's key; used by the command-line tool. */
	readonly operatorSecret?: string;
};

/** Reaches the voters at a fixed list of addresses. */
export class GrpcControlAccess extends ControlAccess {
	readonly #options: GrpcControlAccessOptions;
	readonly #clients: GrpcClientPool<fleetProtocol.ControlClient>;
	#preferredAddress: string;

	constructor(options: GrpcControlAccessOptions) {
		super();
		this.#options = options;
		this.#clients = new GrpcClientPool({clientClass: fleetProtocol.ControlClient, keys: options.keys});
		this.#preferredAddress = options.addresses[0];
	}

	/**
	Commits a command. Retrying after a lost answer is safe: ledger claims of the same attempt, and changes with the same
	ID, get the first answer again.
	*/
	async submit(command: FleetCommand): Promise<Result<FleetAnswer, ControlFailure>> {
		const request = {command: toJsonBytes(command), operatorSecret: this.#options.operatorSecret ?? ''};
		return this.#callWithRetry<FleetAnswer>((client, done) => {
			client.submit(request, new Metadata(), callOptions(), done);
		});
	}

	async read<Answer>(subject: ReadSubject, parameters: unknown = {}): Promise<Result<Answer, ControlFailure>> {
		const request = {subject, parameters: toJsonBytes(parameters), operatorSecret: this.#options.operatorSecret ?? ''};
		return this.#callWithRetry<Answer>((client, done) => {
			client.read(request, new Metadata(), callOptions(), done);
		});
	}

	close(): void {
		this.#clients.close();
	}

	async #callWithRetry<Answer>(call: Call): Promise<Result<Answer, ControlFailure>> {
		const deadline = Date.now() + submitTimeoutMs;
		let failure: ControlFailure = {type: 'unreachable', message: 'No voter answered.'};
		while (Date.now() < deadline) {
			const reply = await this.#callOnce<Answer>(call);
			if (reply.ok || isPermanentFailure(reply.failure)) {
				return reply;
			}

			failure = reply.failure;
			this.#preferredAddress = failure.leaderAddress ?? this.#nextAddress();
			await sleep(retryPauseMs);
		}

		return err(failure);
	}

	async #callOnce<Answer>(call: Call): Promise<Result<Answer, ControlFailure>> {
		const client = this.#clients.clientFor(this.#preferredAddress);
		return new Promise(resolve => {
			call(client, (error, reply) => {
				resolve(error ? err({type: 'unreachable', message: error.message}) : parseReply<Answer>(reply));
			});
		});
	}

	#nextAddress(): string {
		const {addresses} = this.#options;
		return addresses[(addresses.indexOf(this.#preferredAddress) + 1) % addresses.length];
	}
}

/** Whether every voter would fail the call in the same way, so that a retry cannot help. */
export function isPermanentFailure(failure: ControlFailure): boolean {
	return failure.type === 'forbidden' || failure.type === 'malformedCommand' || failure.type === 'membershipRefused';
}

function callOptions(): {deadline: number} {
	return {deadline: Date.now() + callTimeoutMs};
}

function parseReply<Answer>(reply: Reply | undefined): Result<Answer, ControlFailure> {
	const result = reply?.result;
	if (result?.$case === 'answer') {
		const answer = fromJsonBytes<Answer>(result.value);
		return answer ? ok(answer) : err({type: 'unreachable', message: 'The voter sent an answer that is not JSON.'});
	}

	if (result?.$case === 'failure') {
		return err(controlFailureFromMessage(result.value));
	}

	return err({type: 'unreachable', message: 'The voter sent an empty reply.'});
}

/** Converts a failure message from the wire; unknown types become `unreachable`. */
export function controlFailureFromMessage(message: fleetProtocol.ControlFailure): ControlFailure {
	const types: ReadonlyArray<ControlFailure['type']> = ['notLeader', 'noQuorum', 'forbidden', 'malformedCommand', 'membershipRefused'];
	return {
		type: types.find(type => type === message.type) ?? 'unreachable',
		message: message.message,
		leaderAddress: message.leaderAddress === '' ? undefined : message.leaderAddress,
	};
}

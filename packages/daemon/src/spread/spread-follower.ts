/**
Client of the configuration spread: keeps one stream open to one of several servers and applies the received configuration
to a replica. It probes the server periodically and switches to the next one if the probes are not usefully answered.
*/

import type {ClientDuplexStream} from '@grpc/grpc-js';
import {fromJsonBytes, GrpcClientPool} from '@rattanspring/control-client';
import type {
	ConfigurationReplica, QuorumState, ReplicaResult,
} from '@rattanspring/fleet-state';
import {spreadProtocol, type KeyMaterial} from '@rattanspring/protocol';
import type {AcceptedChange, Clock, FleetConfiguration} from '@rattanspring/types';
import {ReconnectingStream} from '../adapters/reconnecting-stream.js';
import type {QuorumView} from './spread-server.js';

/** Interval between probes. */
const probeIntervalMs = 1000;

/** Time without a useful probe answer after which the follower switches to the next server: its server does not answer, or is itself partitioned from the quorum. */
const usefulAnswerTimeoutMs = 4000;

/** Maximum age of a confirmation for a probe answer to count as useful. */
const maxUsefulConfirmationAgeMs = 5000;

/** Maximum time to wait at shutdown until the last reports are sent. */
const lastReportsTimeoutMs = 200;

/** Identity of a follower, sent with its subscription. */
export type FollowerIdentity = {readonly daemonId: string; readonly vm: string; readonly failureDomain: string; readonly roles: readonly string[]};

/** Options of a spread follower. */
export type SpreadFollowerOptions = {
	readonly name: FollowerIdentity;
	readonly addresses: readonly string[];
	readonly replica: ConfigurationReplica;
	readonly clock: Clock;
	readonly keys?: KeyMaterial;
	/** Called after a newer revision was applied to the replica. */
	readonly onApplied: () => void;
	/** Called for each probe answer. */
	readonly onQuorumView: (quorumView: QuorumView) => void;
	/** Returns the reports to send with the next message. At the start of a stream (`isStart`) it returns all of them. */
	readonly takeReports: (isStart: boolean) => spreadProtocol.InForceReport[];
};

type Call = ClientDuplexStream<spreadProtocol.SpreadUp, spreadProtocol.SpreadDown>;

/** Follows one spread server at a time and applies its content to the replica. */
export class SpreadFollower {
	readonly #options: SpreadFollowerOptions;
	readonly #clients: GrpcClientPool<spreadProtocol.SpreadClient>;
	readonly #follower: ReconnectingStream<spreadProtocol.SpreadDown>;
	readonly #sentAtMs = new Map<number, number>();
	#call: Call | undefined;
	#probe = 0;
	#lastUsefulAnswerAtMs = 0;
	#needsSnapshot = false;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: SpreadFollowerOptions) {
		this.#options = options;
		this.#clients = new GrpcClientPool({clientClass: spreadProtocol.SpreadClient, keys: options.keys});
		this.#follower = new ReconnectingStream<spreadProtocol.SpreadDown>({
			addresses: options.addresses,
			open: address => this.#open(address),
			onMessage: message => {
				this.#handleMessage(message);
			},
			onDisconnected: () => {
				this.#call = undefined;
			},
		});
	}

	/** Whether a stream to a server is open. */
	get isOpen(): boolean {
		return this.#call !== undefined;
	}

	/** Opens the stream and starts to probe. */
	start(): void {
		this.#follower.start();
		this.#timer = setInterval(() => {
			this.#tick();
		}, probeIntervalMs);
	}

	/** Sends pending reports immediately instead of with the next probe. */
	sendReports(): void {
		const reports = this.#call ? this.#options.takeReports(false) : [];
		if (reports.length > 0) {
			this.#call?.write({subscribe: undefined, reports, probe: 0});
		}
	}

	/** Closes the stream after sending `lastReports`. */
	async stop(lastReports: spreadProtocol.InForceReport[] = []): Promise<void> {
		clearInterval(this.#timer);
		if (lastReports.length > 0 && this.#call) {
			await this.#sendLastReports(this.#call, lastReports);
		}

		this.#follower.stop();
		this.#clients.close();
	}

	async #sendLastReports(call: Call, reports: spreadProtocol.InForceReport[]): Promise<void> {
		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, lastReportsTimeoutMs);
			call.write({subscribe: undefined, reports, probe: 0}, () => {
				clearTimeout(timer);
				resolve();
			});
		});
	}

	#open(address: string): Call {
		const {name, replica, clock, takeReports} = this.#options;
		const call = this.#clients.clientFor(address).follow();
		this.#call = call;
		this.#lastUsefulAnswerAtMs = clock.monotonicMs();
		this.#sentAtMs.clear();
		call.write({
			subscribe: {...name, roles: [...name.roles], revision: this.#needsSnapshot ? 0 : replica.revision},
			reports: takeReports(true),
			probe: this.#nextProbe(),
		});
		return call;
	}

	#nextProbe(): number {
		this.#probe++;
		this.#sentAtMs.set(this.#probe, this.#options.clock.monotonicMs());
		return this.#probe;
	}

	#tick(): void {
		if (!this.#call) {
			return;
		}

		if (this.#options.clock.monotonicMs() - this.#lastUsefulAnswerAtMs > usefulAnswerTimeoutMs) {
			this.#follower.reconnect();
			return;
		}

		this.#call.write({subscribe: undefined, reports: this.#options.takeReports(false), probe: this.#nextProbe()});
	}

	#handleMessage(message: spreadProtocol.SpreadDown): void {
		if (message.probeAnswer) {
			this.#handleProbeAnswer(message.probeAnswer);
		}

		if (message.content) {
			this.#handleContent(message.content);
		}
	}

	/** Counts the age of a confirmation back from the time at which the probe was sent, so that network delay makes the confirmation look older, never newer. */
	#handleProbeAnswer(answer: spreadProtocol.ProbeAnswer): void {
		const sentAtMs = this.#sentAtMs.get(answer.probe);
		if (sentAtMs === undefined) {
			return;
		}

		this.#sentAtMs.delete(answer.probe);
		const {confirmation} = answer;
		const quorum = parseQuorumState(answer.quorum);
		const isUseful = quorum === 'lost' || (confirmation !== undefined && confirmation.ageMs <= maxUsefulConfirmationAgeMs) || this.#options.addresses.length === 1;
		if (isUseful) {
			this.#lastUsefulAnswerAtMs = this.#options.clock.monotonicMs();
		}

		this.#options.onQuorumView({
			quorum,
			...(confirmation && {confirmation: {revision: confirmation.revision, confirmedAtMs: sentAtMs - confirmation.ageMs}}),
		});
	}

	#handleContent(content: NonNullable<spreadProtocol.SpreadDown['content']>): void {
		const result = this.#apply(content);
		if (result === 'gap') {
			this.#needsSnapshot = true;
			this.#follower.reconnect();
			return;
		}

		this.#needsSnapshot = false;
		if (result === 'applied') {
			this.#options.onApplied();
		}
	}

	#apply(content: NonNullable<spreadProtocol.SpreadDown['content']>): ReplicaResult {
		const {replica} = this.#options;
		if (content.$case === 'changes') {
			const changes = fromJsonBytes<readonly AcceptedChange[]>(content.value);
			return changes ? replica.applyChanges(changes) : 'gap';
		}

		const configuration = fromJsonBytes<FleetConfiguration>(content.value);
		return configuration ? replica.replace(configuration) : 'gap';
	}
}

function parseQuorumState(text: string): QuorumState {
	return text === 'held' || text === 'lost' ? text : 'unreachable';
}

/**
The following side of the configuration spread: one stream to the first useful of several addresses.

It probes about once a second. An answer's confirmation is dated back from the moment its probe was sent, so that
time on the way makes it look older, never younger. A server that stays silent, or is itself cut off, is left
for the next one.
*/

import type {ClientDuplexStream} from '@grpc/grpc-js';
import {fromJsonBytes, GrpcClientPool} from '@rattanspring/control-client';
import type {
	ConfigurationReplica, QuorumState, ReplicaResult,
} from '@rattanspring/fleet-state';
import {spreadProtocol, type KeyMaterial} from '@rattanspring/protocol';
import type {AcceptedChange, Clock, FleetConfiguration} from '@rattanspring/types';
import {StreamFollower} from '../adapters/stream-follower.js';
import type {QuorumKnowledge} from './spread-server.js';

/** Time between two probes. */
const probeIntervalMs = 1000;

/** Time without a useful answer after which the next server is tried. */
const uselessLimitMs = 4000;

/** Age of a confirmation up to which an answer counts as useful. */
const usefulAgeMs = 5000;

/** Time for the last message at shutdown. */
const stopGraceMs = 200;

/** How a follower names itself. */
export type FollowerName = {readonly daemonId: string; readonly vm: string; readonly failureDomain: string; readonly roles: readonly string[]};

/** Options of a link. */
export type SpreadLinkOptions = {
	readonly name: FollowerName;
	readonly addresses: readonly string[];
	readonly replica: ConfigurationReplica;
	readonly clock: Clock;
	readonly keys?: KeyMaterial;
	/** Called when the replica has a newer revision. */
	readonly onApplied: () => void;
	/** Called when a probe was answered. */
	readonly onKnowledge: (knowledge: QuorumKnowledge) => void;
	/** The reports to send with the next message; all of them at the start of a stream. */
	readonly takeReports: (isStart: boolean) => spreadProtocol.InForceReport[];
};

type Call = ClientDuplexStream<spreadProtocol.SpreadUp, spreadProtocol.SpreadDown>;

/** Follows one server at a time. */
export class SpreadLink {
	readonly #options: SpreadLinkOptions;
	readonly #clients: GrpcClientPool<spreadProtocol.SpreadClient>;
	readonly #follower: StreamFollower<spreadProtocol.SpreadDown>;
	readonly #sentAtMs = new Map<number, number>();
	#call: Call | undefined;
	#probe = 0;
	#usefulAtMs = 0;
	#needsSnapshot = false;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: SpreadLinkOptions) {
		this.#options = options;
		this.#clients = new GrpcClientPool({clientClass: spreadProtocol.SpreadClient, keys: options.keys});
		this.#follower = new StreamFollower<spreadProtocol.SpreadDown>({
			addresses: options.addresses,
			open: address => this.#open(address),
			onMessage: message => {
				this.#take(message);
			},
			onLost: () => {
				this.#call = undefined;
			},
		});
	}

	/** Whether a server is being followed. */
	get isOpen(): boolean {
		return this.#call !== undefined;
	}

	/** Opens the stream. */
	start(): void {
		this.#follower.start();
		this.#timer = setInterval(() => {
			this.#tick();
		}, probeIntervalMs);
	}

	/** Sends reports now, without waiting for the next probe. */
	sendReports(): void {
		const reports = this.#call ? this.#options.takeReports(false) : [];
		if (reports.length > 0) {
			this.#call?.write({subscribe: undefined, reports, probe: 0});
		}
	}

	/** Ends the stream. `lastReports` are sent before. */
	async stop(lastReports: spreadProtocol.InForceReport[] = []): Promise<void> {
		clearInterval(this.#timer);
		if (lastReports.length > 0 && this.#call) {
			await this.#flushLast(this.#call, lastReports);
		}

		this.#follower.stop();
		this.#clients.close();
	}

	async #flushLast(call: Call, reports: spreadProtocol.InForceReport[]): Promise<void> {
		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, stopGraceMs);
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
		this.#usefulAtMs = clock.monotonicMs();
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

		if (this.#options.clock.monotonicMs() - this.#usefulAtMs > uselessLimitMs) {
			this.#follower.reopen();
			return;
		}

		this.#call.write({subscribe: undefined, reports: this.#options.takeReports(false), probe: this.#nextProbe()});
	}

	#take(message: spreadProtocol.SpreadDown): void {
		if (message.probeAnswer) {
			this.#takeAnswer(message.probeAnswer);
		}

		if (message.content) {
			this.#takeContent(message.content);
		}
	}

	#takeAnswer(answer: spreadProtocol.ProbeAnswer): void {
		const sentAtMs = this.#sentAtMs.get(answer.probe);
		if (sentAtMs === undefined) {
			return;
		}

		this.#sentAtMs.delete(answer.probe);
		const {confirmation} = answer;
		const quorum = quorumStateOf(answer.quorum);
		const isUseful = quorum === 'lost' || (confirmation !== undefined && confirmation.ageMs <= usefulAgeMs) || this.#options.addresses.length === 1;
		if (isUseful) {
			this.#usefulAtMs = this.#options.clock.monotonicMs();
		}

		this.#options.onKnowledge({
			quorum,
			...(confirmation && {confirmation: {revision: confirmation.revision, confirmedAtMs: sentAtMs - confirmation.ageMs}}),
		});
	}

	#takeContent(content: NonNullable<spreadProtocol.SpreadDown['content']>): void {
		const result = this.#apply(content);
		if (result === 'gap') {
			this.#needsSnapshot = true;
			this.#follower.reopen();
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

function quorumStateOf(text: string): QuorumState {
	return text === 'held' || text === 'lost' ? text : 'unreachable';
}

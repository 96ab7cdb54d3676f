/**
The configuration part of the relay role: follows every voter and streams each accepted change on to daemons.

Following all voters and not one makes the silent isolation of a voter harmless: what is accepted arrives from
the others, and only a confirmation by a quorum counts as fresh. Relays of other failure domains are followed as well:
content and confirmations reach a relay that is cut off from the voters alone, and no relay says that the quorum
is lost before most relays agree. A relay on the smaller side of a partition cannot know, and does not say so.
*/

import {ConfigurationReplica, type Confirmation, type QuorumState} from '@rattanspring/fleet-state';
import type {KeyMaterial, spreadProtocol} from '@rattanspring/protocol';
import type {Clock} from '@rattanspring/types';
import type {GrpcListener} from '../../adapters/grpc-listener.js';
import {SpreadFollower} from '../../spread/spread-follower.js';
import {SpreadServer, type Follower, type QuorumView} from '../../spread/spread-server.js';
import {InForceReports} from './in-force-reports.js';

/** Time over which reports of daemons are gathered into one message. */
const reportDelayMs = 250;

/** Time between two looks for silent daemons. */
const sweepIntervalMs = 1000;

/** Age from which the word of a voter or peer on the quorum no longer counts. */
const quorumReportMaxAgeMs = 5000;

/** Options of the spread. */
export type ConfigurationSpreadOptions = {
	readonly daemonId: string;
	readonly failureDomain: string;
	readonly controlAddresses: readonly string[];
	/** Relays of other failure domains. */
	readonly peerRelayAddresses?: readonly string[];
	readonly clock: Clock;
	readonly keys?: KeyMaterial;
};

/** Streams configuration on. */
export class ConfigurationSpread {
	readonly #clock: Clock;
	readonly #replica = new ConfigurationReplica();
	readonly #reports = new InForceReports();
	readonly #server: SpreadServer;
	readonly #voters: UpstreamLink[];
	readonly #peers: UpstreamLink[];
	#confirmation: Confirmation | undefined;
	#sweepTimer: NodeJS.Timeout | undefined;
	#reportTimer: NodeJS.Timeout | undefined;

	constructor(options: ConfigurationSpreadOptions) {
		this.#clock = options.clock;
		this.#server = new SpreadServer({
			replica: this.#replica,
			clock: options.clock,
			quorumViewFor: follower => this.#knowledge(follower),
			onReports: (follower, reports) => {
				this.#pass(this.#reports.take(follower, reports, this.#clock.monotonicMs()));
			},
			onEnded: follower => {
				this.#pass(this.#reports.end(follower));
			},
		});
		this.#voters = options.controlAddresses.map(address => this.#linkTo(address, options, () => this.#reports.all()));
		this.#peers = (options.peerRelayAddresses ?? []).map(address => this.#linkTo(address, options, () => []));
	}

	/** Whether a revision confirmed by a quorum is held. */
	get isReady(): boolean {
		return this.#confirmation !== undefined && this.#replica.revision >= this.#confirmation.revision;
	}

	/** Adds the service that daemons follow. */
	addTo(listener: GrpcListener): void {
		this.#server.addTo(listener);
	}

	/** Starts to follow the voters. */
	start(): void {
		for (const link of [...this.#voters, ...this.#peers]) {
			link.start();
		}

		this.#sweepTimer = setInterval(() => {
			this.#pass(this.#reports.sweep(this.#clock.monotonicMs()));
		}, sweepIntervalMs);
	}

	/** Ends all streams. */
	stop(): void {
		clearInterval(this.#sweepTimer);
		clearTimeout(this.#reportTimer);
		this.#server.stop();
		for (const link of [...this.#voters, ...this.#peers]) {
			link.stop();
		}
	}

	#confirm(confirmation: Confirmation): void {
		if (!this.#confirmation || confirmation.confirmedAtMs > this.#confirmation.confirmedAtMs) {
			this.#confirmation = confirmation;
		}
	}

	#linkTo(address: string, options: ConfigurationSpreadOptions, allReports: () => spreadProtocol.InForceReport[]): UpstreamLink {
		return new UpstreamLink({
			...options,
			address,
			allReports,
			replica: this.#replica,
			onApplied: () => {
				this.#server.contentChanged();
			},
			onConfirmation: confirmation => {
				this.#confirm(confirmation);
			},
		});
	}

	/** Peers are told what the voters say here; daemons are told what most relays agree on. */
	#knowledge(follower: Follower): QuorumView {
		const quorum = follower.roles.includes('relay') ? this.#quorumFromVoters() : this.#quorumAgreed();
		return {quorum, ...(this.#confirmation && {confirmation: this.#confirmation})};
	}

	#quorumFromVoters(): QuorumState {
		const nowMs = this.#clock.monotonicMs();
		const states = new Set(this.#voters.map(voter => voter.quorum(nowMs)));
		return (['held', 'lost'] as const).find(state => states.has(state)) ?? 'unreachable';
	}

	/** The quorum is lost if most relays, this one among them, answer and none of them hears of a leader. */
	#quorumAgreed(): QuorumState {
		const own = this.#quorumFromVoters();
		const nowMs = this.#clock.monotonicMs();
		const answers = this.#peers.filter(peer => peer.isHeard(nowMs)).map(peer => peer.quorum(nowMs));
		if (own === 'held' || answers.includes('held')) {
			return 'held';
		}

		const isMajority = 1 + answers.length > (1 + this.#peers.length) / 2;
		return isMajority && (own === 'lost' || answers.includes('lost')) ? 'lost' : 'unreachable';
	}

	#pass(reports: readonly spreadProtocol.InForceReport[]): void {
		if (reports.length === 0) {
			return;
		}

		for (const voter of this.#voters) {
			voter.queue(reports);
		}

		this.#reportTimer ??= setTimeout(() => {
			this.#reportTimer = undefined;
			for (const voter of this.#voters) {
				voter.sendReports();
			}
		}, reportDelayMs);
	}
}

/** Options of a link to one voter or peer relay. */
type UpstreamLinkOptions = {
	readonly daemonId: string;
	readonly failureDomain: string;
	readonly address: string;
	readonly replica: ConfigurationReplica;
	readonly clock: Clock;
	readonly keys?: KeyMaterial;
	readonly allReports: () => spreadProtocol.InForceReport[];
	readonly onApplied: () => void;
	readonly onConfirmation: (confirmation: Confirmation) => void;
};

/** The link to one voter or peer relay, with the reports that wait for it. */
class UpstreamLink {
	readonly #options: UpstreamLinkOptions;
	readonly #link: SpreadFollower;
	/** The newest report of each daemon that this voter has not got yet. */
	readonly #waiting = new Map<string, spreadProtocol.InForceReport>();
	#quorum: {readonly state: QuorumState; readonly atMs: number} | undefined;

	constructor(options: UpstreamLinkOptions) {
		this.#options = options;
		const {daemonId, failureDomain} = options;
		this.#link = new SpreadFollower({
			...options,
			name: {
				daemonId, vm: daemonId, failureDomain, roles: ['relay'],
			},
			addresses: [options.address],
			onQuorumView: knowledge => {
				this.#learn(knowledge);
			},
			takeReports: isStart => this.#takeReports(isStart),
		});
	}

	start(): void {
		this.#link.start();
	}

	stop(): void {
		void this.#link.stop();
	}

	queue(reports: readonly spreadProtocol.InForceReport[]): void {
		for (const report of reports) {
			this.#waiting.set(report.daemonId, report);
		}
	}

	sendReports(): void {
		this.#link.sendReports();
	}

	/** Whether it answered a probe lately. */
	isHeard(nowMs: number): boolean {
		return this.#quorum !== undefined && nowMs - this.#quorum.atMs <= quorumReportMaxAgeMs;
	}

	/** What it said of the quorum. */
	quorum(nowMs: number): QuorumState {
		return this.#quorum && this.isHeard(nowMs) ? this.#quorum.state : 'unreachable';
	}

	#learn(knowledge: QuorumView): void {
		this.#quorum = {state: knowledge.quorum, atMs: this.#options.clock.monotonicMs()};
		if (knowledge.confirmation) {
			this.#options.onConfirmation(knowledge.confirmation);
		}
	}

	#takeReports(isStart: boolean): spreadProtocol.InForceReport[] {
		const reports = isStart ? this.#options.allReports() : [...this.#waiting.values()];
		this.#waiting.clear();
		return reports;
	}
}

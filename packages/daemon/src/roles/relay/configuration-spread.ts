/**
Distributes the configuration in the relay role: follows all voters and the relays of other failure domains, and
streams each accepted change to daemons.
*/

import {ConfigurationReplica, type Confirmation, type QuorumState} from '@rattanspring/fleet-state';
import type {KeyMaterial, spreadProtocol} from '@rattanspring/protocol';
import type {Clock} from '@rattanspring/types';
import type {GrpcListener} from '../../adapters/grpc-listener.js';
import {SpreadFollower} from '../../spread/spread-follower.js';
import {SpreadServer, type Follower, type QuorumView} from '../../spread/spread-server.js';
import {InForceReports} from './in-force-reports.js';

/** Delay during which reports of daemons are batched into one message. */
const reportBatchDelayMs = 250;

/** Interval between checks for silent daemons. */
const sweepIntervalMs = 1000;

/** Maximum age of a quorum report from a voter or peer relay; older ones are ignored. */
const quorumReportMaxAgeMs = 5000;

/** Options of the configuration spread. */
export type ConfigurationSpreadOptions = {
	readonly daemonId: string;
	readonly failureDomain: string;
	readonly controlAddresses: readonly string[];
	/** Relays of other failure domains. From them, a relay that is cut off only from the voters still receives changes and confirmations. */
	readonly peerRelayAddresses?: readonly string[];
	readonly clock: Clock;
	readonly keys?: KeyMaterial;
};

/** Streams configuration from the voters to daemons, and the daemons' reports to the voters. */
export class ConfigurationSpread {
	readonly #clock: Clock;
	readonly #replica = new ConfigurationReplica();
	readonly #reports = new InForceReports();
	readonly #server: SpreadServer;
	/** All voters rather than one, so that accepted changes still arrive from the others when one voter is isolated without a visible error. */
	readonly #voters: UpstreamLink[];
	readonly #peers: UpstreamLink[];
	/** The latest confirmation by a quorum; nothing else counts as proof that the replica is fresh. */
	#confirmation: Confirmation | undefined;
	#sweepTimer: NodeJS.Timeout | undefined;
	#reportTimer: NodeJS.Timeout | undefined;

	constructor(options: ConfigurationSpreadOptions) {
		this.#clock = options.clock;
		this.#server = new SpreadServer({
			replica: this.#replica,
			clock: options.clock,
			quorumViewFor: follower => this.#quorumViewFor(follower),
			onReports: (follower, reports) => {
				this.#pass(this.#reports.applyReports(follower, reports, this.#clock.monotonicMs()));
			},
			onEnded: follower => {
				this.#pass(this.#reports.end(follower));
			},
		});
		this.#voters = options.controlAddresses.map(address => this.#createLink(address, options, () => this.#reports.allReports()));
		this.#peers = (options.peerRelayAddresses ?? []).map(address => this.#createLink(address, options, () => []));
	}

	/** Whether the replica holds a revision confirmed by a quorum. */
	get isReady(): boolean {
		return this.#confirmation !== undefined && this.#replica.revision >= this.#confirmation.revision;
	}

	/** Registers the service that daemons follow. */
	addTo(listener: GrpcListener): void {
		this.#server.addTo(listener);
	}

	/** Starts following the voters and peer relays. */
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

	#updateConfirmation(confirmation: Confirmation): void {
		if (!this.#confirmation || confirmation.confirmedAtMs > this.#confirmation.confirmedAtMs) {
			this.#confirmation = confirmation;
		}
	}

	#createLink(address: string, options: ConfigurationSpreadOptions, allReports: () => spreadProtocol.InForceReport[]): UpstreamLink {
		return new UpstreamLink({
			...options,
			address,
			allReports,
			replica: this.#replica,
			onApplied: () => {
				this.#server.contentChanged();
			},
			onConfirmation: confirmation => {
				this.#updateConfirmation(confirmation);
			},
		});
	}

	/** Peer relays get the quorum state as seen from the voters here; daemons get the one that a majority of relays agrees on. */
	#quorumViewFor(follower: Follower): QuorumView {
		const quorum = follower.roles.includes('relay') ? this.#voterQuorumState() : this.#agreedQuorumState();
		return {quorum, ...(this.#confirmation && {confirmation: this.#confirmation})};
	}

	#voterQuorumState(): QuorumState {
		const nowMs = this.#clock.monotonicMs();
		const states = new Set(this.#voters.map(voter => voter.quorum(nowMs)));
		return (['held', 'lost'] as const).find(state => states.has(state)) ?? 'unreachable';
	}

	/**
	The quorum is lost if a majority of relays, including this one, has reported lately and none of them knows a leader.
	A relay on the minority side of a partition cannot know whether the quorum is lost, and does not report it.
	*/
	#agreedQuorumState(): QuorumState {
		const own = this.#voterQuorumState();
		const nowMs = this.#clock.monotonicMs();
		const peerStates = this.#peers.filter(peer => peer.hasRecentReport(nowMs)).map(peer => peer.quorum(nowMs));
		if (own === 'held' || peerStates.includes('held')) {
			return 'held';
		}

		const isMajority = 1 + peerStates.length > (1 + this.#peers.length) / 2;
		return isMajority && (own === 'lost' || peerStates.includes('lost')) ? 'lost' : 'unreachable';
	}

	#pass(reports: readonly spreadProtocol.InForceReport[]): void {
		if (reports.length === 0) {
			return;
		}

		for (const voter of this.#voters) {
			voter.queueReports(reports);
		}

		this.#reportTimer ??= setTimeout(() => {
			this.#reportTimer = undefined;
			for (const voter of this.#voters) {
				voter.sendReports();
			}
		}, reportBatchDelayMs);
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

/** The link to one voter or peer relay, with the reports to be sent to it. */
class UpstreamLink {
	readonly #options: UpstreamLinkOptions;
	readonly #link: SpreadFollower;
	/** The newest report of each daemon that has not been sent to this voter yet. */
	readonly #pendingReports = new Map<string, spreadProtocol.InForceReport>();
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
			onQuorumView: quorumView => {
				this.#learn(quorumView);
			},
			takeReports: isStart => this.#takePendingReports(isStart),
		});
	}

	start(): void {
		this.#link.start();
	}

	stop(): void {
		void this.#link.stop();
	}

	queueReports(reports: readonly spreadProtocol.InForceReport[]): void {
		for (const report of reports) {
			this.#pendingReports.set(report.daemonId, report);
		}
	}

	sendReports(): void {
		this.#link.sendReports();
	}

	/** Whether its last quorum report is recent enough to count. */
	hasRecentReport(nowMs: number): boolean {
		return this.#quorum !== undefined && nowMs - this.#quorum.atMs <= quorumReportMaxAgeMs;
	}

	/** The quorum state it reported; `unreachable` without a recent report. */
	quorum(nowMs: number): QuorumState {
		return this.#quorum && this.hasRecentReport(nowMs) ? this.#quorum.state : 'unreachable';
	}

	#learn(quorumView: QuorumView): void {
		this.#quorum = {state: quorumView.quorum, atMs: this.#options.clock.monotonicMs()};
		if (quorumView.confirmation) {
			this.#options.onConfirmation(quorumView.confirmation);
		}
	}

	#takePendingReports(isStart: boolean): spreadProtocol.InForceReport[] {
		const reports = isStart ? this.#options.allReports() : [...this.#pendingReports.values()];
		this.#pendingReports.clear();
		return reports;
	}
}

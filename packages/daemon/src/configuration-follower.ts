/**
Follows the configuration on behalf of all roles of one daemon, and reports the revision in force. Its lifecycle is
that of a role: it starts after a relay of the same daemon, and stops after the entry and the agent have drained.
*/

import type {DaemonMetrics} from '@rattanspring/metrics';
import type {KeyMaterial, spreadProtocol} from '@rattanspring/protocol';
import type {Clock} from '@rattanspring/types';
import type {InForceConfiguration} from './in-force-configuration.js';
import {Role} from './ports/role.js';
import {SpreadFollower, type FollowerIdentity} from './spread/spread-follower.js';
import type {QuorumView} from './spread/spread-server.js';

/** Options of the configuration follower. */
export type ConfigurationFollowerOptions = {
	readonly follower: FollowerIdentity;
	readonly relayAddresses: readonly string[];
	readonly inForce: InForceConfiguration;
	readonly metrics?: DaemonMetrics;
	readonly clock: Clock;
	readonly keys?: KeyMaterial;
};

/** Keeps `inForce` up to date with the configuration that the relays send. */
export class ConfigurationFollower extends Role {
	readonly #options: ConfigurationFollowerOptions;
	readonly #spreadFollower: SpreadFollower;
	#lastReport: spreadProtocol.InForceReport | undefined;

	constructor(options: ConfigurationFollowerOptions) {
		super();
		this.#options = options;
		this.#spreadFollower = new SpreadFollower({
			...options,
			name: options.follower,
			addresses: options.relayAddresses,
			replica: options.inForce.replica,
			onApplied: () => {
				this.#applied();
			},
			onQuorumView: quorumView => {
				this.#learn(quorumView);
			},
			takeReports: isStart => this.#takeReports(isStart),
		});
	}

	get name(): string {
		return 'configuration';
	}

	/** Starts to follow a relay, the first in the list to begin with. */
	async start(): Promise<void> {
		this.#spreadFollower.start();
	}

	isReady(): boolean {
		return this.#options.inForce.isConfirmed;
	}

	async drain(): Promise<void> {
		// Nothing to drain; `stop` sends a last report that tells the relay of the shutdown.
	}

	async stop(): Promise<void> {
		await this.#spreadFollower.stop([{...this.#currentReport(), reason: 'left'}]);
	}

	#applied(): void {
		const {inForce, metrics} = this.#options;
		inForce.applied();
		metrics?.revisionInForce.set(inForce.configuration.revision);
		this.#spreadFollower.sendReports();
	}

	#learn(quorumView: QuorumView): void {
		this.#options.inForce.learn(quorumView);
		this.#spreadFollower.sendReports();
	}

	/** Returns the report of this daemon if it differs from the last one sent, or always at the start of a stream. */
	#takeReports(isStart: boolean): spreadProtocol.InForceReport[] {
		const report = this.#currentReport();
		const isUnchanged = !isStart && this.#lastReport?.revision === report.revision && this.#lastReport.reason === report.reason;
		this.#lastReport = report;
		return isUnchanged ? [] : [report];
	}

	#currentReport(): spreadProtocol.InForceReport {
		const {follower, inForce} = this.#options;
		return {
			daemonId: follower.daemonId, failureDomain: follower.failureDomain, revision: inForce.configuration.revision, reason: inForce.reason(),
		};
	}
}

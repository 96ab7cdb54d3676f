/**
Follows the configuration for all roles of one daemon, and reports what is in force here. It starts and stops like
a role: after a relay of the same daemon has started, and until the entry and the agent are drained.
*/

import type {DaemonMetrics} from '@rattanspring/metrics';
import type {KeyMaterial, spreadProtocol} from '@rattanspring/protocol';
import type {Clock} from '@rattanspring/types';
import type {InForceConfiguration} from './in-force-configuration.js';
import {Role} from './ports/role.js';
import {SpreadFollower, type FollowerIdentity} from './spread/spread-follower.js';
import type {QuorumView} from './spread/spread-server.js';

/** Options of the follower. */
export type ConfigurationFollowerOptions = {
	readonly follower: FollowerIdentity;
	readonly relayAddresses: readonly string[];
	readonly inForce: InForceConfiguration;
	readonly metrics?: DaemonMetrics;
	readonly clock: Clock;
	readonly keys?: KeyMaterial;
};

/** Keeps `inForce` up to date from the relays. */
export class ConfigurationFollower extends Role {
	readonly #options: ConfigurationFollowerOptions;
	readonly #link: SpreadFollower;
	#reported: spreadProtocol.InForceReport | undefined;

	constructor(options: ConfigurationFollowerOptions) {
		super();
		this.#options = options;
		this.#link = new SpreadFollower({
			...options,
			name: options.follower,
			addresses: options.relayAddresses,
			replica: options.inForce.replica,
			onApplied: () => {
				this.#applied();
			},
			onQuorumView: knowledge => {
				this.#learn(knowledge);
			},
			takeReports: isStart => this.#takeReports(isStart),
		});
	}

	get name(): string {
		return 'configuration';
	}

	/** Starts to follow the first relay. */
	async start(): Promise<void> {
		this.#link.start();
	}

	isReady(): boolean {
		return this.#options.inForce.isConfirmed;
	}

	async drain(): Promise<void> {
		// The relay is told by the last report that this daemon stops.
	}

	async stop(): Promise<void> {
		await this.#link.stop([{...this.#report(), reason: 'left'}]);
	}

	#applied(): void {
		const {inForce, metrics} = this.#options;
		inForce.applied();
		metrics?.revisionInForce.set(inForce.configuration.revision);
		this.#link.sendReports();
	}

	#learn(knowledge: QuorumView): void {
		this.#options.inForce.learn(knowledge);
		this.#link.sendReports();
	}

	/** The report of this daemon, if it differs from the last one sent. */
	#takeReports(isStart: boolean): spreadProtocol.InForceReport[] {
		const report = this.#report();
		const isKnown = !isStart && this.#reported?.revision === report.revision && this.#reported.reason === report.reason;
		this.#reported = report;
		return isKnown ? [] : [report];
	}

	#report(): spreadProtocol.InForceReport {
		const {follower, inForce} = this.#options;
		return {
			daemonId: follower.daemonId, failureDomain: follower.failureDomain, revision: inForce.configuration.revision, reason: inForce.reason(),
		};
	}
}

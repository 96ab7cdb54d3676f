/**
The configuration in force in this process, and whether it is fresh enough to accept new work.
*/

import {
	ConfigurationReplica, effectiveNumber, effectiveValue, FreshnessTracker, type FreshnessLimits, type ServingDecision,
} from '@rattanspring/fleet-state';
import type {Clock, FailureDomainId, FleetConfiguration} from '@rattanspring/types';
import type {QuorumView} from './spread/spread-server.js';

/** Options of the configuration in force. */
export type InForceConfigurationOptions = {readonly clock: Clock; readonly failureDomain: FailureDomainId};

/** Holds the newest configuration that this process has received, and tracks its freshness. */
export class InForceConfiguration {
	/** The replica to which the configuration spread applies changes. */
	readonly replica = new ConfigurationReplica();
	readonly #options: InForceConfigurationOptions;
	readonly #freshness = new FreshnessTracker();

	constructor(options: InForceConfigurationOptions) {
		this.#options = options;
	}

	/** The configuration in force. */
	get configuration(): FleetConfiguration {
		return this.replica.configuration;
	}

	/** Whether new work may be accepted: a quorum has confirmed the revision held, and it is fresh or the quorum is lost. */
	get isConfirmed(): boolean {
		return this.decide().kind === 'serve';
	}

	/** Time since the revision held was last confirmed as the newest. */
	get confirmationAgeMs(): number {
		return this.#freshness.ageMs(this.#options.clock.monotonicMs());
	}

	/** Decides whether new work may be accepted, with the reason. */
	decide(): ServingDecision {
		return this.#freshness.decide(this.#limits(), this.#options.clock.monotonicMs());
	}

	/** The reason why the newest revision is not in force here; empty if it is in force. */
	reason(): string {
		const decision = this.decide();
		if (decision.kind === 'refuse') {
			return decision.type;
		}

		return decision.basis === 'confirmed' ? '' : decision.basis;
	}

	/** Must be called after a newer revision was applied to the replica. */
	applied(): void {
		this.#freshness.setRevision(this.replica.revision);
	}

	/** Updates the freshness from a view of the quorum. */
	learn(quorumView: QuorumView): void {
		if (quorumView.confirmation) {
			this.#freshness.confirm(quorumView.confirmation);
		}

		this.#freshness.reportQuorum(quorumView.quorum, this.#options.clock.monotonicMs());
	}

	#limits(): FreshnessLimits {
		const {clock, failureDomain} = this.#options;
		const {configuration} = this;
		const names = {failureDomain};
		const nowMs = clock.wallMs();
		return {
			limitMs: effectiveNumber(configuration, 'freshness.limitMs', names, nowMs),
			withoutQuorum: effectiveValue(configuration, 'freshness.withoutQuorum', names, nowMs)?.value === 'refuse' ? 'refuse' : 'serve',
		};
	}
}

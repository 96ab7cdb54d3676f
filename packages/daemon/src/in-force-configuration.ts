/**
The configuration in force in this process, and whether it is fresh enough to take new work.
*/

import {
	ConfigurationReplica, effectiveNumber, effectiveValue, FreshnessTracker, type FreshnessLimits, type ServingDecision,
} from '@rattanspring/fleet-state';
import type {Clock, FailureDomainId, FleetConfiguration} from '@rattanspring/types';
import type {QuorumView} from './spread/spread-server.js';

/** Options of the configuration. */
export type InForceConfigurationOptions = {readonly clock: Clock; readonly failureDomain: FailureDomainId};

/** Holds the newest configuration this process has learned. */
export class InForceConfiguration {
	/** Where the spread applies changes. */
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

	/** Whether new work may be taken: a majority-confirmed revision is held, and it is fresh or no quorum is left. */
	get isConfirmed(): boolean {
		return this.decide().kind === 'serve';
	}

	/** Time since the revision held was last known to be the newest. */
	get confirmationAgeMs(): number {
		return this.#freshness.ageMs(this.#options.clock.monotonicMs());
	}

	/** Whether new work may be taken, and why or why not. */
	decide(): ServingDecision {
		return this.#freshness.decide(this.#limits(), this.#options.clock.monotonicMs());
	}

	/** Why the newest revision is not in force here; empty when it is. */
	reason(): string {
		const decision = this.decide();
		if (decision.kind === 'refuse') {
			return decision.type;
		}

		return decision.basis === 'confirmed' ? '' : decision.basis;
	}

	/** Takes in that the replica has a newer revision. */
	applied(): void {
		this.#freshness.setRevision(this.replica.revision);
	}

	/** Takes in what is known of the quorum. */
	learn(knowledge: QuorumView): void {
		if (knowledge.confirmation) {
			this.#freshness.confirm(knowledge.confirmation);
		}

		this.#freshness.reportQuorum(knowledge.quorum, this.#options.clock.monotonicMs());
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

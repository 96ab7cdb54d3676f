/**
What the leader does for the membership of its group: it adds the processes that ask to join and that the group needs, replaces voters that are lost, and removes unreachable voters
in excess of the group's size and stale learners.
*/

import {setTimeout as sleep} from 'node:timers/promises';
import type {ReplaceOutcome} from '@rattanspring/desired-state';
import type {Logger} from '@rattanspring/logger';
import {currentMembership, type Learner, type Voter} from '@rattanspring/replicated-log';
import type {Clock} from '@rattanspring/types';
import type {ReplicaDriver} from '@rattanspring/voter-group';
import {CandidateTable} from './candidate-table.js';
import {
	groupSizes, type GroupSizes, nextLearner, staleLearner, surplusVoter,
} from './replacement.js';

/** Time after its election during which a leader only replaces voters, so that all candidates are known when it adds some. */
const growthDelayMs = 400;

/** Attempts to add a learner while an earlier membership change is in progress. */
const maxAddAttempts = 10;
const addRetryPauseMs = 50;

/** Options of the maintenance. */
export type MembershipMaintenanceOptions = {
	/** Number of VMs whose loss at the same time has to be tolerated. */
	readonly faultTolerance: number;
	readonly seeds: () => readonly string[];
	/** Failure domain of the control process at a link address, as far as known. */
	readonly failureDomainOf: (address: string) => string | undefined;
	readonly clock: Clock;
	readonly logger: Logger;
};

type Driver = ReplicaDriver<ReplaceOutcome>;

export class MembershipMaintenance {
	readonly #options: MembershipMaintenanceOptions;
	readonly #candidates = new CandidateTable();
	#isAdding = false;

	constructor(options: MembershipMaintenanceOptions) {
		this.#options = options;
	}

	/** Records that a process asks to join, and adds it if the group needs it. */
	addCandidate(driver: Driver, candidate: Voter): void {
		if (!this.#candidates.add(candidate, this.#options.clock.monotonicMs())) {
			this.#options.logger.log('warn', 'joinRefused', {reason: 'candidates', address: String(candidate.address).slice(0, 100)});
			return;
		}

		void this.#addLearners(driver);
	}

	/** Adds the candidates that the group needs, and removes unreachable voters in excess of its size and stale learners. Does nothing at members that do not lead. */
	async maintain(driver: Driver): Promise<void> {
		if (driver.state.role !== 'leader') {
			return;
		}

		await this.#addLearners(driver);
		const membership = currentMembership(driver.state);
		const surplus = surplusVoter(membership, this.#sizes.kept, voterId => this.#silentMsOf(driver, voterId))
			?? staleLearner(membership, voterId => this.#silentMsOf(driver, voterId));
		if (surplus !== undefined) {
			const result = await driver.changeMembership({kind: 'remove', voterId: surplus});
			this.#options.logger.log('info', 'memberRemoved', {voterId: surplus, outcome: result.ok ? 'accepted' : result.failure.type});
		}
	}

	get #sizes(): GroupSizes {
		const {faultTolerance, seeds} = this.#options;
		return groupSizes({faultTolerance, seedCount: seeds().length});
	}

	/** Adds the candidates that the group needs, one after another. */
	async #addLearners(driver: Driver): Promise<void> {
		if (this.#isAdding) {
			return;
		}

		this.#isAdding = true;
		for (let attempt = 0; attempt < maxAddAttempts; attempt++) {
			const learner = this.#nextLearner(driver);
			if (!learner) {
				break;
			}

			const result = await driver.changeMembership({kind: 'add', learner});
			if (result.ok || result.failure.type !== 'changeInProgress') {
				this.#options.logger.log('info', 'memberJoins', {...learner, outcome: result.ok ? 'accepted' : result.failure.type});
			}

			await sleep(result.ok ? 0 : addRetryPauseMs);
		}

		this.#isAdding = false;
	}

	#nextLearner(driver: Driver): Learner | undefined {
		const {leader} = driver.state;
		if (!leader) {
			return undefined;
		}

		const nowMs = this.#options.clock.monotonicMs();
		return nextLearner({
			membership: currentMembership(driver.state),
			candidates: this.#candidates.current(nowMs),
			size: nowMs - leader.termStart.nowMs < growthDelayMs ? 0 : this.#sizes.desired,
			silentMsOf: voterId => this.#silentMsOf(driver, voterId),
			failureDomainOf: this.#options.failureDomainOf,
		});
	}

	#silentMsOf(driver: Driver, voterId: string): number {
		const {id, leader} = driver.state;
		const nowMs = this.#options.clock.monotonicMs();
		if (voterId === id || this.#candidates.has(voterId, nowMs)) {
			return 0;
		}

		const heardAtMs = leader?.progress.get(voterId)?.acknowledgedSentAtMs ?? Number.NEGATIVE_INFINITY;
		return nowMs - Math.max(heardAtMs, leader?.termStart.nowMs ?? nowMs);
	}
}

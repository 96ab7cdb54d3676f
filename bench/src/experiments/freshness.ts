/**
Simulates, in virtual time, the cost of refusing or serving requests with a configuration that cannot be confirmed.

Eleven entries run for two hours; for the hour in the middle, a fault cuts off confirmations. For each policy, counts the refused
requests and those served although a newer configuration had been accepted more than `inForceLimitMs` before.
*/

import {FreshnessTracker, type QuorumState, type WithoutQuorum} from '@rattanspring/fleet-state';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
	Experiment, type ExperimentOptions, type ExperimentResult,
} from '../experiment.js';

const entries = 11;
const durationS = 7200;
const faultFromS = 1800;
const faultUntilS = 5400;
const requestsPerSecondPerEntry = 10;
const limitMs = 10_000;

/** Time within which an accepted change must be in force everywhere. */
const inForceLimitMs = 15_000;

/** Current rate of changes: one every five minutes. */
const changesPerSecond = 1 / 300;

/**
- `isolatedEntry`: one entry reaches no relay but is still reachable by callers.
- `quorumLost`: a majority of voters is lost, so no change can be accepted.
- `minoritySide`: four entries, their relays and one voter are cut off from a majority that still accepts changes.
*/
type Fault = 'isolatedEntry' | 'quorumLost' | 'minoritySide';

const faults: readonly Fault[] = ['isolatedEntry', 'quorumLost', 'minoritySide'];

/**
- `serveAlways`: ignores freshness.
- `serveOnOneWord`: serves past the limit if the voters reachable from a single relay report that they have no leader.
- `serve`: serves past the limit if a majority of relays reports that; the initial value of freshness.withoutQuorum.
- `refuse`: refuses past the limit; the other value of freshness.withoutQuorum.
*/
type Policy = 'serveAlways' | 'serveOnOneWord' | WithoutQuorum;

const policies: readonly Policy[] = ['serveAlways', 'serveOnOneWord', 'serve', 'refuse'];

const affectedEntries: Readonly<Record<Fault, number>> = {isolatedEntry: 1, quorumLost: entries, minoritySide: 4};

type Row = {fault: Fault; policy: Policy; refusedPercent: number; outdatedPercent: number; worstOutdatedS: number};

/** One entry, with its configuration revision and freshness state. */
class SimulatedEntry {
	readonly tracker = new FreshnessTracker();
	revision = 0;

	learn(revision: number, nowMs: number): void {
		this.revision = revision;
		this.tracker.setRevision(revision);
		this.tracker.confirm({revision, confirmedAtMs: nowMs});
		this.tracker.reportQuorum('held', nowMs);
	}

	serves(policy: Policy, nowMs: number): boolean {
		const withoutQuorum = policy === 'refuse' ? 'refuse' : 'serve';
		return policy === 'serveAlways' || this.tracker.decide({limitMs, withoutQuorum}, nowMs).kind === 'serve';
	}
}

/** Quorum state that a cut-off entry learns from the relays it can reach. */
function reportedQuorum(fault: Fault, policy: Policy): QuorumState {
	switch (fault) {
		case 'isolatedEntry': {
			return 'unreachable';
		}

		case 'quorumLost': {
			return 'lost';
		}

		case 'minoritySide': {
			return policy === 'serveOnOneWord' ? 'lost' : 'unreachable';
		}
	}
}

function simulate(fault: Fault, policy: Policy, seed: number): Row {
	const random = xoroshiro128plus(seed);
	const fleet = Array.from({length: entries}, () => new SimulatedEntry());
	const acceptedAtMs = [0];
	let refused = 0;
	let outdated = 0;
	let worstOutdatedMs = 0;
	for (let second = 0; second < durationS; second++) {
		const nowMs = second * 1000;
		const isFault = second >= faultFromS && second < faultUntilS;
		const canAccept = !(isFault && fault === 'quorumLost');
		if (uniformFloat64(random) < changesPerSecond && canAccept) {
			acceptedAtMs.push(nowMs);
		}

		for (const [index, entry] of fleet.entries()) {
			const isCutOff = isFault && index < affectedEntries[fault];
			if (isCutOff) {
				entry.tracker.reportQuorum(reportedQuorum(fault, policy), nowMs);
			} else {
				entry.learn(acceptedAtMs.length - 1, nowMs);
			}

			if (!entry.serves(policy, nowMs)) {
				refused += requestsPerSecondPerEntry;
				continue;
			}

			const missingSinceMs = acceptedAtMs[entry.revision + 1] ?? nowMs;
			worstOutdatedMs = Math.max(worstOutdatedMs, nowMs - missingSinceMs);
			if (nowMs - missingSinceMs > inForceLimitMs) {
				outdated += requestsPerSecondPerEntry;
			}
		}
	}

	const total = entries * durationS * requestsPerSecondPerEntry;
	return {
		fault, policy, refusedPercent: refused * 100 / total, outdatedPercent: outdated * 100 / total, worstOutdatedS: worstOutdatedMs / 1000,
	};
}

class Freshness extends Experiment {
	get summary(): string {
		return 'requests refused and requests served with an outdated configuration, by policy and fault';
	}

	async run(options: ExperimentOptions): Promise<ExperimentResult> {
		const rows = faults.flatMap(fault => policies.map(policy => simulate(fault, policy, options.seed)));
		const shipped = (fault: Fault): Row => rows.find(row => row.fault === fault && row.policy === 'serve')!;
		return {
			figures: {
				isolatedWorstOutdatedS: shipped('isolatedEntry').worstOutdatedS,
				minorityWorstOutdatedS: shipped('minoritySide').worstOutdatedS,
				quorumLostRefusedPercent: shipped('quorumLost').refusedPercent,
				quorumLostOutdatedPercent: shipped('quorumLost').outdatedPercent,
				runs: rows,
			},
			bounds: [
				{figure: 'isolatedWorstOutdatedS', atMost: inForceLimitMs / 1000, source: 'in force everywhere within 15 s, also where an entry is isolated'},
				{figure: 'minorityWorstOutdatedS', atMost: inForceLimitMs / 1000, source: 'in force everywhere within 15 s, also on the smaller side of a partition'},
				{figure: 'quorumLostRefusedPercent', atMost: 0, source: 'every request answered while no change can be accepted'},
				{figure: 'quorumLostOutdatedPercent', atMost: 0, source: 'an accepted configuration is in force'},
			],
		};
	}
}

const experiment = new Freshness();
export default experiment;

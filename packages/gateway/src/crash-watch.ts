/** Connects what an entry sees of crashes with the requests that it may send: reports crashes, and ends requests whose components become suspected. */

import {type ComponentEvidence, CrashGuard} from '@rattanspring/crash-evidence';
import type {Logger} from '@rattanspring/logger';
import type {DaemonMetrics} from '@rattanspring/metrics';
import type {TargetLifetime} from '@rattanspring/target-table';
import {type BrokenRequest, CrashDetector} from './crash-detector.js';
import type {Revocable} from './key-revocation.js';
import type {Stoppable} from './planned-stop.js';
import {TrialGate} from './trial-gate.js';

/** A request in progress that can be ended for what it contains. */
export type Withdrawable = Revocable & Stoppable & {readonly withdrawIfSuspected: () => void};

/** Options of a watch. */
export type CrashWatchOptions = {
	readonly isReachable: (address: string, timeoutMs: number) => Promise<boolean>;
	/** Time after a broken connection at which its target is probed; that of the detector by default. */
	readonly probeDelayMs?: number;
	/** Called with evidence that the other entries need. */
	readonly onNewEvidence: (records: readonly ComponentEvidence[]) => void;
	/** Asks whether a trial of a component may begin. */
	readonly requestTrial: (component: string) => Promise<boolean>;
	/** Random numbers in [0, 1). */
	readonly random: () => number;
	readonly nowMs: () => number;
	readonly logger: Logger;
	readonly metrics: DaemonMetrics;
};

/** The watch of one entry. */
export class CrashWatch {
	readonly guard: CrashGuard;
	readonly gate: TrialGate;
	/** Requests in progress. */
	readonly forwarding = new Set<Withdrawable>();
	readonly #options: CrashWatchOptions;
	readonly #detector: CrashDetector;

	constructor(options: CrashWatchOptions) {
		this.#options = options;
		const {isReachable, probeDelayMs, onNewEvidence, requestTrial, random, nowMs} = options;
		this.guard = new CrashGuard({
			nowMs,
			onNewEvidence,
			onVerdict: ({component, crashes, refuted, trials}, verdict) => {
				options.logger.log('warn', 'componentJudged', {
					component, verdict, crashes: crashes.join(','), refuted: refuted.length, trials: trials?.join(','),
				});
				this.#withdrawSuspected();
			},
		});
		this.gate = new TrialGate({crashGuard: this.guard, random, requestTrial});
		this.#detector = new CrashDetector({
			isReachable,
			probeDelayMs,
			onCrash: (target, requests) => {
				this.#onCrash(target, requests);
			},
		});
	}

	/** Reports that the connection of a running request broke. Resolves, once that is known, to whether its target has crashed. */
	async onConnectionBroken(request: BrokenRequest, address: string): Promise<boolean> {
		return this.#detector.check(request, address);
	}

	#withdrawSuspected(): void {
		for (const request of this.forwarding) {
			request.withdrawIfSuspected();
		}
	}

	#onCrash(target: TargetLifetime, requests: readonly BrokenRequest[]): void {
		const {logger, metrics} = this.#options;
		for (const {requestId, components, answerBegunMs, trialOf} of requests) {
			logger.log('warn', 'targetDied', {
				...target, requestId, components: components.join(','), answerBegunMs, trialOf,
			});
		}

		metrics.targetCrashes.inc(requests.length);
		this.guard.recordCrash(target, requests);
	}
}

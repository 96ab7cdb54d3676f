/**
Schedules the attempts of one target. As many run concurrently as the target handles without queueing; the rest wait in
a bounded queue that is fair across client accounts. Attempts that cannot meet their deadline are refused at once.
*/

import {
	ConcurrencyLimit, FairQueue, FairShareLimiter, type QueuedWork, type QueueFailure,
} from '@rattanspring/routing';
import type {Clock, RequestFailure} from '@rattanspring/types';

/** Interval at which queued attempts with expired deadlines are removed. */
const deadlineCheckIntervalMs = 50;

/** Maximum number of queued attempts that must run alone. */
const maxQueuedAlone = 64;

/** Upper bound of the concurrency limit, as a multiple of the configured capacity. */
const maxLimitToCapacityRatio = 2;

/** Factor on the estimated service time, because some attempts take longer than recent ones did. */
const serviceTimeMargin = 1.15;

/** Bounds of the retry delay returned with a refusal. */
const minRetryAfterMs = 100;
const maxRetryAfterMs = 10_000;

/** One queued attempt. */
export type QueuedAttempt = QueuedWork & {
	/** Whether the target must run nothing else at the same time. */
	readonly alone: boolean;
	/** Fair-share weight of the client account. */
	readonly fairShare: number;
	/** Prompt tokens to process before the first token. */
	readonly prefillTokens: number;
	/** Hands the attempt over to the target; resolves at its end to whether the response was complete. */
	readonly start: (onFirstByte: () => void) => Promise<boolean>;
	/** Refuses the attempt, which has not been handed over. */
	readonly refuse: (failure: RequestFailure) => void;
};

/** Options of a queue. */
export type WorkQueueOptions = {readonly capacityRequests: number; readonly clock: Clock};

/** Load of the target as counted by its queue. */
export type WorkQueueLoad = {readonly queuedTokens: number; readonly prefillTokens: number; readonly requests: number; readonly limit: number; readonly tokensPerSecond: number};

/** Queues the attempts of one target and limits how many run concurrently. */
export class WorkQueue {
	readonly #clock: Clock;
	readonly #queue = new FairQueue<QueuedAttempt>();
	/** Queued attempts that must run alone, in order of arrival. */
	readonly #alone: QueuedAttempt[] = [];
	readonly #limit: ConcurrencyLimit;
	readonly #shares = new FairShareLimiter();
	readonly #running = new Set<QueuedAttempt>();
	/** Prompt tokens of all queued and running attempts that have no first response byte yet. */
	#prefillTokens = 0;
	#isRunningAlone = false;
	/** Whether shared attempts are started before the next one that runs alone. */
	#sharedWorkFirst = false;
	#deadlineTimer: NodeJS.Timeout | undefined;

	constructor(options: WorkQueueOptions) {
		this.#clock = options.clock;
		this.#limit = new ConcurrencyLimit({
			initial: options.capacityRequests, minimum: 1, maximum: options.capacityRequests * maxLimitToCapacityRatio,
		});
	}

	/** Current load, queued and running attempts together. */
	get load(): WorkQueueLoad {
		let tokens = this.#queue.queuedTokens;
		for (const work of [...this.#running, ...this.#alone]) {
			tokens += work.costTokens;
		}

		const requests = this.#running.size + this.#queue.queuedRequests + this.#alone.length;
		return {
			queuedTokens: tokens, prefillTokens: this.#prefillTokens, requests, limit: this.#limit.limit, tokensPerSecond: this.#tokensPerSecond(),
		};
	}

	/** Starts the attempt, queues it, or refuses it at once. */
	offer(offered: QueuedAttempt): void {
		const work = this.#trackPrefill(offered);
		if (work.alone) {
			this.#offerAlone(work);
		} else {
			this.#offerShared(work);
		}

		this.#startNext();
		this.#startDeadlineChecks();
	}

	/** Counts the attempt's prompt tokens until its first response byte, its refusal or its end. */
	#trackPrefill(work: QueuedAttempt): QueuedAttempt {
		let remainingTokens = work.prefillTokens;
		this.#prefillTokens += remainingTokens;
		const releasePrefill = (): void => {
			this.#prefillTokens -= remainingTokens;
			remainingTokens = 0;
		};

		return {
			...work,
			async start() {
				try {
					return await work.start(releasePrefill);
				} finally {
					releasePrefill();
				}
			},
			refuse(failure) {
				releasePrefill();
				work.refuse(failure);
			},
		};
	}

	#offerAlone(work: QueuedAttempt): void {
		if (this.#alone.length >= maxQueuedAlone) {
			work.refuse(this.#refusal({type: 'queueFull', message: 'Too many requests that must run alone are queued at the target.'}));
			return;
		}

		this.#alone.push(work);
	}

	#offerShared(work: QueuedAttempt): void {
		this.#shares.recordEnqueue(work.clientAccount, work.fairShare, this.#clock.monotonicMs());
		const offered = this.#queue.enqueue(work, {
			weight: work.fairShare, tokensPerSecond: this.#tokensPerSecond(), serviceMs: this.#serviceMs(work), nowMs: this.#clock.monotonicMs(),
		});
		if (!offered.ok) {
			work.refuse(this.#refusal(offered.failure));
			return;
		}

		for (const displaced of offered.value) {
			displaced.refuse(this.#refusal({type: 'queueFull', message: 'The queue of the target is full, mostly with requests of this account.'}));
		}
	}

	/** Starts queued attempts as the concurrency limit allows; shared attempts and those that run alone alternate. */
	#startNext(): void {
		if (this.#isRunningAlone) {
			return;
		}

		const isSharedTurn = this.#alone.length === 0 || this.#sharedWorkFirst;
		if (isSharedTurn) {
			this.#sharedWorkFirst = false;
			this.#startSharedWork();
		}

		if (this.#alone.length > 0 && this.#running.size === 0) {
			this.#isRunningAlone = true;
			void this.#run(this.#alone.shift()!);
		}
	}

	#startSharedWork(): void {
		const {limit, fullLimit} = this.#limit;
		while (this.#running.size < fullLimit) {
			const target = {
				places: limit, fullPlaces: fullLimit, running: this.#running.size, tokensPerSecond: this.#tokensPerSecond(), nowMs: this.#clock.monotonicMs(),
			};
			const work = this.#queue.dequeue(account => this.#shares.mayStart(account, target));
			if (!work) {
				return;
			}

			if (this.#cannotMeetDeadline(work)) {
				work.refuse(this.#refusal({type: 'deadlineUnreachable', message: 'Too little time is left before the deadline to complete the response.'}));
			} else {
				void this.#run(work);
			}
		}
	}

	/** Whether the attempt would miss its deadline even if started now; starting it would waste target capacity. */
	#cannotMeetDeadline(work: QueuedAttempt): boolean {
		const serviceMs = work.costTokens * (this.#limit.recentMs ?? 0) * serviceTimeMargin;
		return this.#clock.monotonicMs() + serviceMs > work.deadlineMs;
	}

	async #run(work: QueuedAttempt): Promise<void> {
		this.#running.add(work);
		this.#shares.recordStart(work.clientAccount, work.costTokens, this.#clock.monotonicMs());
		const inProgress = this.#running.size;
		const startedAtMs = this.#clock.monotonicMs();
		const isWhole = await work.start(() => {
			// The wrapper added by `offer` releases the prefill tokens.
		});
		this.#running.delete(work);
		this.#shares.recordEnd(work.clientAccount);
		if (isWhole) {
			this.#limit.record({latencyMs: (this.#clock.monotonicMs() - startedAtMs) / work.costTokens, inProgress});
		}

		if (work.alone) {
			this.#isRunningAlone = false;
			this.#sharedWorkFirst = true;
		}

		this.#startNext();
	}

	/** Periodically refuses queued attempts whose deadline has passed, until the queue is empty. */
	#startDeadlineChecks(): void {
		this.#deadlineTimer ??= setInterval(() => {
			this.#refuseExpired();
			if (this.#queue.queuedRequests + this.#alone.length === 0) {
				clearInterval(this.#deadlineTimer);
				this.#deadlineTimer = undefined;
			}
		}, deadlineCheckIntervalMs);
		this.#deadlineTimer.unref();
	}

	#refuseExpired(): void {
		const nowMs = this.#clock.monotonicMs();
		const expiredAlone = this.#alone.filter(work => work.deadlineMs <= nowMs);
		for (const work of expiredAlone) {
			this.#alone.splice(this.#alone.indexOf(work), 1);
		}

		for (const work of [...expiredAlone, ...this.#queue.removeExpired(nowMs)]) {
			work.refuse(this.#refusal({type: 'deadlineUnreachable', message: 'The deadline passed while the request was queued.'}));
		}
	}

	/** Estimated service time of the attempt, plus the wait for a free slot if the concurrency limit is reached. */
	#serviceMs(work: QueuedAttempt): number {
		const msPerToken = this.#limit.recentMs ?? 0;
		if (this.#running.size < this.#limit.limit) {
			return work.costTokens * msPerToken;
		}

		let runningTokens = 0;
		for (const running of this.#running) {
			runningTokens += running.costTokens;
		}

		const untilFreeMs = runningTokens / this.#running.size * msPerToken / this.#running.size;
		return untilFreeMs + (work.costTokens * msPerToken);
	}

	#tokensPerSecond(): number {
		const {recentMs, limit} = this.#limit;
		return recentMs ? limit * 1000 / recentMs : 0;
	}

	#refusal(failure: QueueFailure): RequestFailure {
		const tokensPerSecond = this.#tokensPerSecond();
		const drainMs = tokensPerSecond > 0 ? this.#queue.queuedTokens * 1000 / tokensPerSecond : 0;
		return {
			type: failure.type === 'queueFull' ? 'overloaded' : failure.type,
			message: failure.message,
			execution: 'didNotRun',
			retryAfterMs: Math.round(Math.max(minRetryAfterMs, Math.min(maxRetryAfterMs, drainMs / 2))),
		};
	}
}

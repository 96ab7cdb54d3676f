/**
The work of one target: as much in progress as the target takes without queueing, the rest in a bounded queue that is
fair over client accounts. What cannot be done in time is refused at once.
*/

import {
	ConcurrencyLimit, FairQueue, FairShareLimiter, type QueuedWork, type QueueFailure,
} from '@rattanspring/routing';
import type {Clock, RequestFailure} from '@rattanspring/types';

/** How often queued work is checked for deadlines that have passed. */
const lateCheckIntervalMs = 50;

/** Most works that wait for a target of their own. */
const maxAloneWorks = 64;

/** The limit may grow to this multiple of the capacity in the settings. */
const maxLimitPerCapacity = 2;

/** Some works take longer than the recent ones did. */
const serviceMargin = 1.15;

/** Shortest and longest advice to a caller when to come back. */
const minRetryMs = 100;
const maxRetryMs = 10_000;

/** One attempt that waits for its turn. */
export type AgentWork = QueuedWork & {
	/** Whether the target must run nothing else meanwhile. */
	readonly alone: boolean;
	/** Weight of the client account. */
	readonly fairShare: number;
	/** Prompt tokens to process before the first token. */
	readonly prefillTokens: number;
	/** Hands the attempt to the target; resolves at its end with whether the answer was whole. */
	readonly start: (onFirstByte: () => void) => Promise<boolean>;
	/** Ends the attempt, which has not been handed over. */
	readonly refuse: (failure: RequestFailure) => void;
};

/** Options of a queue. */
export type WorkQueueOptions = {readonly capacityRequests: number; readonly clock: Clock};

/** What the queue knows of its target's load. */
export type WorkQueueLoad = {readonly queuedTokens: number; readonly prefillTokens: number; readonly requests: number; readonly limit: number; readonly tokensPerSecond: number};

/** Orders and bounds the work of one target. */
export class WorkQueue {
	readonly #clock: Clock;
	readonly #queue = new FairQueue<AgentWork>();
	/** Works that need the target to themselves, in the order of their arrival. */
	readonly #alone: AgentWork[] = [];
	readonly #limit: ConcurrencyLimit;
	readonly #shares = new FairShareLimiter();
	readonly #running = new Set<AgentWork>();
	/** Prompt tokens of all work that has no first byte of an answer yet. */
	#prefillTokens = 0;
	#isRunningAlone = false;
	/** Whether others are served before the next work that runs alone. */
	#othersFirst = false;
	#lateTimer: NodeJS.Timeout | undefined;

	constructor(options: WorkQueueOptions) {
		this.#clock = options.clock;
		this.#limit = new ConcurrencyLimit({
			initial: options.capacityRequests, minimum: 1, maximum: options.capacityRequests * maxLimitPerCapacity,
		});
	}

	/** Load now; queued and running work together. */
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

	/** Starts the work, queues it, or refuses it at once. */
	offer(offered: AgentWork): void {
		const work = this.#withPrefillCounted(offered);
		if (work.alone) {
			this.#offerAlone(work);
		} else {
			this.#offerShared(work);
		}

		this.#startNext();
		this.#watchDeadlines();
	}

	/** Counts the prompt of a work until the first byte of its answer, its refusal or its end. */
	#withPrefillCounted(work: AgentWork): AgentWork {
		let left = work.prefillTokens;
		this.#prefillTokens += left;
		const uncount = (): void => {
			this.#prefillTokens -= left;
			left = 0;
		};

		return {
			...work,
			async start() {
				try {
					return await work.start(uncount);
				} finally {
					uncount();
				}
			},
			refuse(failure) {
				uncount();
				work.refuse(failure);
			},
		};
	}

	#offerAlone(work: AgentWork): void {
		if (this.#alone.length >= maxAloneWorks) {
			work.refuse(this.#refusal({type: 'queueFull', message: 'Too many works wait for the target alone.'}));
			return;
		}

		this.#alone.push(work);
	}

	#offerShared(work: AgentWork): void {
		this.#shares.recordEnqueue(work.clientAccount, work.fairShare, this.#clock.monotonicMs());
		const offered = this.#queue.enqueue(work, {
			weight: work.fairShare, tokensPerSecond: this.#tokensPerSecond(), serviceMs: this.#serviceMs(work), nowMs: this.#clock.monotonicMs(),
		});
		if (!offered.ok) {
			work.refuse(this.#refusal(offered.failure));
			return;
		}

		for (const givenUp of offered.value) {
			givenUp.refuse(this.#refusal({type: 'queueFull', message: 'The queue of the target is full, most of it with this account\'s requests.'}));
		}
	}

	#startNext(): void {
		if (this.#isRunningAlone) {
			return;
		}

		const isOthersTurn = this.#alone.length === 0 || this.#othersFirst;
		if (isOthersTurn) {
			this.#othersFirst = false;
			this.#fill();
		}

		if (this.#alone.length > 0 && this.#running.size === 0) {
			this.#isRunningAlone = true;
			void this.#run(this.#alone.shift()!);
		}
	}

	#fill(): void {
		const {limit, fullLimit} = this.#limit;
		while (this.#running.size < fullLimit) {
			const target = {
				places: limit, fullPlaces: fullLimit, running: this.#running.size, tokensPerSecond: this.#tokensPerSecond(), nowMs: this.#clock.monotonicMs(),
			};
			const work = this.#queue.dequeue(account => this.#shares.mayStart(account, target));
			if (!work) {
				return;
			}

			if (this.#isTooLate(work)) {
				work.refuse(this.#refusal({type: 'deadlineUnreachable', message: 'Too little time is left for the whole answer.'}));
			} else {
				void this.#run(work);
			}
		}
	}

	/** Whether the work cannot be whole in time even if it is started now; to start it would waste the target. */
	#isTooLate(work: AgentWork): boolean {
		const serviceMs = work.costTokens * (this.#limit.recentMs ?? 0) * serviceMargin;
		return this.#clock.monotonicMs() + serviceMs > work.deadlineMs;
	}

	async #run(work: AgentWork): Promise<void> {
		this.#running.add(work);
		this.#shares.recordStart(work.clientAccount, work.costTokens, this.#clock.monotonicMs());
		const inProgress = this.#running.size;
		const startedAtMs = this.#clock.monotonicMs();
		const isWhole = await work.start(() => {
			// The prefill is counted by `offer`.
		});
		this.#running.delete(work);
		this.#shares.recordEnd(work.clientAccount);
		if (isWhole) {
			this.#limit.record({latencyMs: (this.#clock.monotonicMs() - startedAtMs) / work.costTokens, inProgress});
		}

		if (work.alone) {
			this.#isRunningAlone = false;
			this.#othersFirst = true;
		}

		this.#startNext();
	}

	/** Refuses queued work once its deadline has passed, while there is any. */
	#watchDeadlines(): void {
		this.#lateTimer ??= setInterval(() => {
			this.#refuseLate();
			if (this.#queue.queuedRequests + this.#alone.length === 0) {
				clearInterval(this.#lateTimer);
				this.#lateTimer = undefined;
			}
		}, lateCheckIntervalMs);
		this.#lateTimer.unref();
	}

	#refuseLate(): void {
		const nowMs = this.#clock.monotonicMs();
		const lateAlone = this.#alone.filter(work => work.deadlineMs <= nowMs);
		for (const work of lateAlone) {
			this.#alone.splice(this.#alone.indexOf(work), 1);
		}

		for (const work of [...lateAlone, ...this.#queue.removeExpired(nowMs)]) {
			work.refuse(this.#refusal({type: 'deadlineUnreachable', message: 'The deadline passed before the request had its turn.'}));
		}
	}

	/** Time the work takes once started, and the time until a place is free. */
	#serviceMs(work: AgentWork): number {
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
			retryAfterMs: Math.round(Math.max(minRetryMs, Math.min(maxRetryMs, drainMs / 2))),
		};
	}
}

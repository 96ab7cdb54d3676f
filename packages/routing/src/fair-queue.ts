/**
A bounded queue that is fair between client accounts: deficit round robin in tokens between accounts, and earliest
deadline first within an account. A full queue evicts work of the account with the most queued tokens for its weight.
*/

import {
	err, ok, type ClientAccountId, type Result,
} from '@rattanspring/types';

/** A queued unit of work. */
export type QueuedWork = {
	readonly clientAccount: ClientAccountId;
	/** Tokens that the work is expected to use. */
	readonly costTokens: number;
	/** Time by which the answer must be complete, on the monotonic clock. */
	readonly deadlineMs: number;
};

export type FairQueueOptions = {
	/** Tokens that an account of weight 1 may use in each round. */
	readonly quantumTokens: number;
	readonly maxQueuedRequests: number;
	readonly maxQueuedTokens: number;
};

/** Default options, for the queue of one target. */
export const defaultFairQueueOptions: FairQueueOptions = {quantumTokens: 256, maxQueuedRequests: 256, maxQueuedTokens: 262_144};

/** Reason why work was not queued. */
export type QueueFailure = {readonly type: 'queueFull' | 'deadlineUnreachable'; readonly message: string};

/** Conditions under which work is enqueued. */
export type EnqueueConditions = {
	/** Weight of the account relative to others. */
	readonly weight: number;
	/** Rate at which queued tokens are processed; 0 if unknown. */
	readonly tokensPerSecond: number;
	/** Time that the work takes once it has started. */
	readonly serviceMs: number;
	readonly nowMs: number;
};

type AccountQueue<Work> = {weight: number; deficit: number; queuedTokens: number; readonly items: Work[]};

/** The queue of one target. */
export class FairQueue<Work extends QueuedWork> {
	readonly #options: FairQueueOptions;
	readonly #accounts = new Map<ClientAccountId, AccountQueue<Work>>();
	/** Accounts with queued work, in round-robin order. */
	readonly #rotation: ClientAccountId[] = [];
	#requests = 0;
	#tokens = 0;

	constructor(options: Partial<FairQueueOptions> = {}) {
		this.#options = {...defaultFairQueueOptions, ...options};
	}

	get queuedRequests(): number {
		return this.#requests;
	}

	get queuedTokens(): number {
		return this.#tokens;
	}

	/** Queues work, or returns why it cannot be queued. Returns the queued work that was evicted for it, which has not run. */
	enqueue(work: Work, conditions: EnqueueConditions): Result<Work[], QueueFailure> {
		const {weight, tokensPerSecond, serviceMs, nowMs} = conditions;
		const waitMs = tokensPerSecond > 0 ? this.tokensAhead(work, weight) * 1000 / tokensPerSecond : 0;
		if (nowMs + waitMs + serviceMs > work.deadlineMs) {
			return err({type: 'deadlineUnreachable', message: 'The answer cannot be whole within the time left.'});
		}

		const evicted = this.#makeRoom(work, weight);
		if (!evicted) {
			return err({type: 'queueFull', message: 'The queue of the target is full.'});
		}

		this.#add(work, weight);
		return ok(evicted);
	}

	/** Removes and returns the next work in round-robin order, skipping accounts that may not start work now. */
	dequeue(mayStart: (clientAccount: ClientAccountId) => boolean = () => true): Work | undefined {
		let skipped = 0;
		while (skipped < this.#rotation.length) {
			const name = this.#rotation[0];
			const account = this.#accounts.get(name)!;
			if (!mayStart(name)) {
				skipped++;
				this.#rotation.push(this.#rotation.shift()!);
				continue;
			}

			skipped = 0;
			const work = account.items[0];
			if (work.costTokens <= account.deficit) {
				account.deficit -= work.costTokens;
				this.#remove(work);
				return work;
			}

			account.deficit += this.#options.quantumTokens * account.weight;
			this.#rotation.push(this.#rotation.shift()!);
		}

		return undefined;
	}

	/** Removes work from the queue; returns whether it was queued. */
	remove(work: Work): boolean {
		const isQueued = this.#accounts.get(work.clientAccount)?.items.includes(work) ?? false;
		if (isQueued) {
			this.#remove(work);
		}

		return isQueued;
	}

	/** Removes and returns all work whose deadline has passed. */
	removeExpired(nowMs: number): Work[] {
		const expired: Work[] = [];
		for (const {items} of this.#accounts.values()) {
			expired.push(...items.filter(work => work.deadlineMs <= nowMs));
		}

		for (const work of expired) {
			this.#remove(work);
		}

		return expired;
	}

	/** Tokens that are served before the given work: of every other account's queue at most that account's fair share. */
	tokensAhead(work: Work, weight: number): number {
		const own = this.#accounts.get(work.clientAccount);
		const ownAhead = (own?.items ?? []).filter(other => other.deadlineMs <= work.deadlineMs);
		const ownTokens = ownAhead.reduce((sum, other) => sum + other.costTokens, 0);
		const rounds = (ownTokens + work.costTokens) / weight;
		let tokens = ownTokens;
		for (const [name, account] of this.#accounts) {
			if (name !== work.clientAccount) {
				tokens += Math.min(account.queuedTokens, rounds * account.weight);
			}
		}

		return tokens;
	}

	#makeRoom(work: Work, weight: number): Work[] | undefined {
		const evicted: Work[] = [];
		while (this.#isFullFor(work, evicted)) {
			const victim = this.#victim(work, weight, evicted);
			if (!victim) {
				return undefined;
			}

			evicted.push(victim);
		}

		for (const victim of evicted) {
			this.#remove(victim);
		}

		return evicted;
	}

	#isFullFor(work: Work, evicted: readonly Work[]): boolean {
		const freedTokens = evicted.reduce((sum, victim) => sum + victim.costTokens, 0);
		const requests = this.#requests - evicted.length + 1;
		const tokens = this.#tokens - freedTokens + work.costTokens;
		return requests > this.#options.maxQueuedRequests || tokens > this.#options.maxQueuedTokens;
	}

	/** Returns the work with the latest deadline of the account with the most queued tokens for its weight, if that is more than the account of the new work would have. */
	#victim(work: Work, weight: number, evicted: readonly Work[]): Work | undefined {
		const own = this.#accounts.get(work.clientAccount)?.queuedTokens ?? 0;
		let largest = (own + work.costTokens) / weight;
		let victim: Work | undefined;
		for (const [name, account] of this.#accounts) {
			const remaining = account.items.filter(queued => !evicted.includes(queued));
			const share = remaining.reduce((sum, queued) => sum + queued.costTokens, 0) / account.weight;
			if (name !== work.clientAccount && share > largest) {
				largest = share;
				victim = remaining.at(-1);
			}
		}

		return victim;
	}

	#add(work: Work, weight: number): void {
		let account = this.#accounts.get(work.clientAccount);
		if (!account) {
			account = {
				weight, deficit: 0, queuedTokens: 0, items: [],
			};
			this.#accounts.set(work.clientAccount, account);
			this.#rotation.push(work.clientAccount);
		}

		account.weight = weight;
		account.queuedTokens += work.costTokens;
		const later = account.items.findIndex(other => other.deadlineMs > work.deadlineMs);
		account.items.splice(later === -1 ? account.items.length : later, 0, work);
		this.#requests++;
		this.#tokens += work.costTokens;
	}

	#remove(work: Work): void {
		const account = this.#accounts.get(work.clientAccount)!;
		account.items.splice(account.items.indexOf(work), 1);
		account.queuedTokens -= work.costTokens;
		this.#requests--;
		this.#tokens -= work.costTokens;
		if (account.items.length === 0) {
			// An idle account accumulates no deficit.
			this.#accounts.delete(work.clientAccount);
			this.#rotation.splice(this.#rotation.indexOf(work.clientAccount), 1);
		}
	}
}

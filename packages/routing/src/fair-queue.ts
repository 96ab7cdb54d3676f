/**
A bounded queue that is fair over client accounts: deficit round robin in tokens between accounts, and the earliest
deadline first within an account. A full queue gives up work of the account that holds most of it.
*/

import {
	err, ok, type ClientAccountId, type Result,
} from '@rattanspring/types';

/** Work in the queue. */
export type QueuedWork = {
	readonly clientAccount: ClientAccountId;
	/** Tokens that the work is expected to use. */
	readonly costTokens: number;
	/** When its answer must be whole, on the monotonic clock. */
	readonly deadlineMs: number;
};

/** Options of a queue. */
export type FairQueueOptions = {
	/** Tokens an account of weight 1 may use in each round. */
	readonly quantumTokens: number;
	readonly maxQueuedRequests: number;
	readonly maxQueuedTokens: number;
};

/** Options that suit one target. */
export const defaultFairQueueOptions: FairQueueOptions = {quantumTokens: 256, maxQueuedRequests: 256, maxQueuedTokens: 262_144};

/** Why work was not queued. */
export type QueueFailure = {readonly type: 'queueFull' | 'deadlineUnreachable'; readonly message: string};

/** What the queue knows when work is offered. */
export type EnqueueConditions = {
	/** Share of the account against others. */
	readonly weight: number;
	/** Speed at which queued tokens are worked off; 0 where it is not known. */
	readonly tokensPerSecond: number;
	/** Time the work itself takes once it is started. */
	readonly serviceMs: number;
	readonly nowMs: number;
};

type Account<Work> = {weight: number; deficit: number; queuedTokens: number; readonly works: Work[]};

/** The queue of one target. */
export class FairQueue<Work extends QueuedWork> {
	readonly #options: FairQueueOptions;
	readonly #accounts = new Map<ClientAccountId, Account<Work>>();
	/** Accounts with queued work in the order of their turns. */
	readonly #turns: ClientAccountId[] = [];
	#requests = 0;
	#tokens = 0;

	constructor(options: Partial<FairQueueOptions> = {}) {
		this.#options = {...defaultFairQueueOptions, ...options};
	}

	/** Requests queued. */
	get queuedRequests(): number {
		return this.#requests;
	}

	/** Tokens queued. */
	get queuedTokens(): number {
		return this.#tokens;
	}

	/**
	Queues work, or says at once why not. Returns the queued work that was given up for it, which did not run either.
	*/
	enqueue(work: Work, conditions: EnqueueConditions): Result<Work[], QueueFailure> {
		const {weight, tokensPerSecond, serviceMs, nowMs} = conditions;
		const waitMs = tokensPerSecond > 0 ? this.tokensAhead(work, weight) * 1000 / tokensPerSecond : 0;
		if (nowMs + waitMs + serviceMs > work.deadlineMs) {
			return err({type: 'deadlineUnreachable', message: 'The answer cannot be whole within the time left.'});
		}

		const givenUp = this.#makeRoom(work, weight);
		if (!givenUp) {
			return err({type: 'queueFull', message: 'The queue of the target is full.'});
		}

		this.#add(work, weight);
		return ok(givenUp);
	}

	/** Takes the work whose turn it is, passing over accounts that may not start any now. */
	dequeue(mayStart: (clientAccount: ClientAccountId) => boolean = () => true): Work | undefined {
		let passedOver = 0;
		while (passedOver < this.#turns.length) {
			const name = this.#turns[0];
			const account = this.#accounts.get(name)!;
			if (!mayStart(name)) {
				passedOver++;
				this.#turns.push(this.#turns.shift()!);
				continue;
			}

			passedOver = 0;
			const work = account.works[0];
			if (work.costTokens <= account.deficit) {
				account.deficit -= work.costTokens;
				this.#remove(work);
				return work;
			}

			account.deficit += this.#options.quantumTokens * account.weight;
			this.#turns.push(this.#turns.shift()!);
		}

		return undefined;
	}

	/** Takes one work out of its turn; returns whether it was queued. */
	remove(work: Work): boolean {
		const isQueued = this.#accounts.get(work.clientAccount)?.works.includes(work) ?? false;
		if (isQueued) {
			this.#remove(work);
		}

		return isQueued;
	}

	/** Takes out all work whose deadline cannot be met any more. */
	removeExpired(nowMs: number): Work[] {
		const late: Work[] = [];
		for (const {works} of this.#accounts.values()) {
			late.push(...works.filter(work => work.deadlineMs <= nowMs));
		}

		for (const work of late) {
			this.#remove(work);
		}

		return late;
	}

	/** Tokens that are served before a work of this account: at most its fair share of every other account's queue. */
	tokensAhead(work: Work, weight: number): number {
		const own = this.#accounts.get(work.clientAccount);
		const ownAhead = (own?.works ?? []).filter(other => other.deadlineMs <= work.deadlineMs);
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
		const givenUp: Work[] = [];
		while (this.#isFullFor(work, givenUp)) {
			const victim = this.#victim(work, weight, givenUp);
			if (!victim) {
				return undefined;
			}

			givenUp.push(victim);
		}

		for (const victim of givenUp) {
			this.#remove(victim);
		}

		return givenUp;
	}

	#isFullFor(work: Work, givenUp: readonly Work[]): boolean {
		const freedTokens = givenUp.reduce((sum, victim) => sum + victim.costTokens, 0);
		const requests = this.#requests - givenUp.length + 1;
		const tokens = this.#tokens - freedTokens + work.costTokens;
		return requests > this.#options.maxQueuedRequests || tokens > this.#options.maxQueuedTokens;
	}

	/** The work with the latest deadline of the account with most tokens queued for its weight, if that is more than the newcomer's account would hold. */
	#victim(work: Work, weight: number, givenUp: readonly Work[]): Work | undefined {
		const own = this.#accounts.get(work.clientAccount)?.queuedTokens ?? 0;
		let largest = (own + work.costTokens) / weight;
		let victim: Work | undefined;
		for (const [name, account] of this.#accounts) {
			const left = account.works.filter(queued => !givenUp.includes(queued));
			const share = left.reduce((sum, queued) => sum + queued.costTokens, 0) / account.weight;
			if (name !== work.clientAccount && share > largest) {
				largest = share;
				victim = left.at(-1);
			}
		}

		return victim;
	}

	#add(work: Work, weight: number): void {
		let account = this.#accounts.get(work.clientAccount);
		if (!account) {
			account = {
				weight, deficit: 0, queuedTokens: 0, works: [],
			};
			this.#accounts.set(work.clientAccount, account);
			this.#turns.push(work.clientAccount);
		}

		account.weight = weight;
		account.queuedTokens += work.costTokens;
		const later = account.works.findIndex(other => other.deadlineMs > work.deadlineMs);
		account.works.splice(later === -1 ? account.works.length : later, 0, work);
		this.#requests++;
		this.#tokens += work.costTokens;
	}

	#remove(work: Work): void {
		const account = this.#accounts.get(work.clientAccount)!;
		account.works.splice(account.works.indexOf(work), 1);
		account.queuedTokens -= work.costTokens;
		this.#requests--;
		this.#tokens -= work.costTokens;
		if (account.works.length === 0) {
			// An idle account saves up no deficit.
			this.#accounts.delete(work.clientAccount);
			this.#turns.splice(this.#turns.indexOf(work.clientAccount), 1);
		}
	}
}

/**
Which accounts ask for more than their share of a service, as one entry sees it: from the sums over all entries while these are recent, else from its own figures.

Load that this answers: one of many accounts asks for several times its share, through one entry or through all of them, while there is too little room for all.
*/

import type {AccountUse} from './account-use.js';
import {fairShares} from './fair-shares.js';
import {useLifetimeMs} from './use-sums.js';

/** Options of a table. */
export type ShareTableOptions = {
	/** Weight of an account among the others; 1 by default. */
	readonly weightOf?: (account: string) => number;
};

/** An account asks for more than its share from this multiple of it on: a request that has just come is not admitted yet. */
const shortageFactor = 1.05;

/** Share of the room that is reserved at most for accounts within their share: enough for the usual changes of how much these have running at a time. */
const maxReserve = 0.08;

/** Share of the room that accounts within their share have to ask for so that the whole reserve is kept for them. */
const fullReserveAt = 0.25;

/** Shares of one service. */
type ServiceShares = {
	/** What each account that asks for more than its share was admitted, as a multiple of the share. */
	readonly excess: ReadonlyMap<string, number>;
	readonly reserve: number;
};

/** The shares that one entry goes by. */
export class ShareTable {
	readonly #weightOf: (account: string) => number;
	#totals: {readonly uses: readonly AccountUse[]; readonly atMs: number} | undefined;
	#services = new Map<string, ServiceShares>();

	constructor({weightOf = () => 1}: ShareTableOptions = {}) {
		this.#weightOf = weightOf;
	}

	/** Records the sums over all entries. */
	setTotals(uses: readonly AccountUse[], nowMs: number): void {
		this.#totals = {uses, atMs: nowMs};
	}

	/** Works out the shares anew; `own` are this entry's own figures. */
	update(own: readonly AccountUse[], nowMs: number): void {
		const isRecent = this.#totals !== undefined && nowMs - this.#totals.atMs < useLifetimeMs;
		const uses = isRecent ? this.#totals!.uses : own;
		this.#services = new Map([...new Set(uses.map(({service}) => service))].map(service => [service, this.#sharesOf(uses.filter(use => use.service === service))]));
	}

	/** What an account that asks for more than its share was admitted, as a multiple of the share; 0 for one that asks for no more. */
	excessOf(service: string, account: string): number {
		return this.#services.get(service)?.excess.get(account) ?? 0;
	}

	/** Share of the slots that accounts which ask for more than their share leave free. */
	reserveOf(service: string): number {
		return this.#services.get(service)?.reserve ?? 0;
	}

	#sharesOf(uses: readonly AccountUse[]): ServiceShares {
		const room = uses.reduce((sum, {admitted}) => sum + admitted, 0);
		const shares = fairShares(uses.map(({account, asked}) => ({account, asked, weight: this.#weightOf(account)})), room);
		const over = uses.filter(({account, asked}) => asked > shares.get(account)! * shortageFactor);
		const within = uses.filter(use => !over.includes(use)).reduce((sum, {asked}) => sum + asked, 0);
		return {
			excess: new Map(over.map(({account, admitted}) => [account, admitted / Math.max(Number.EPSILON, shares.get(account)!)])),
			reserve: over.length === 0 ? 0 : maxReserve * Math.min(1, within / Math.max(Number.EPSILON, room * fullReserveAt)),
		};
	}
}

/** What the accounts of one entry asked for and were admitted over the last seconds. */

import {type AccountUse, largestUses} from './account-use.js';

/** Time over which use counts, and the length of the parts by which it ends. */
const windowMs = 4000;
const partMs = 500;

/** Sums of one part of the window, by service and account. */
type Part = {readonly startMs: number; readonly uses: Map<string, {readonly service: string; readonly account: string; asked: number; admitted: number}>};

/** A request, by service, account and its work. */
export type RequestWork = {readonly service: string; readonly account: string; readonly work: number};

/** The uses at one entry. */
export class UseRecord {
	readonly #parts: Part[] = [];

	/** Records that a request came. */
	recordAsked(request: RequestWork, nowMs: number): void {
		this.#use(request, nowMs).asked += request.work;
	}

	/** Records that a request was sent to a target. */
	recordAdmitted(request: RequestWork, nowMs: number): void {
		this.#use(request, nowMs).admitted += request.work;
	}

	/** The uses of the window: of the largest accounts of each service, and of the others as one. */
	uses(nowMs: number): AccountUse[] {
		this.#dropOld(nowMs);
		const sums = new Map<string, {service: string; account: string; asked: number; admitted: number}>();
		for (const {uses} of this.#parts) {
			for (const [key, {service, account, asked, admitted}] of uses) {
				const sum = sums.get(key) ?? {
					service, account, asked: 0, admitted: 0,
				};
				sums.set(key, {...sum, asked: sum.asked + asked, admitted: sum.admitted + admitted});
			}
		}

		return largestUses([...sums.values()]);
	}

	#use({service, account}: RequestWork, nowMs: number): {asked: number; admitted: number} {
		this.#dropOld(nowMs);
		const startMs = Math.floor(nowMs / partMs) * partMs;
		let part = this.#parts.at(-1);
		if (part?.startMs !== startMs) {
			part = {startMs, uses: new Map()};
			this.#parts.push(part);
		}

		const key = `${service} ${account}`;
		const use = part.uses.get(key) ?? {
			service, account, asked: 0, admitted: 0,
		};
		part.uses.set(key, use);
		return use;
	}

	#dropOld(nowMs: number): void {
		while (this.#parts.length > 0 && this.#parts[0].startMs <= nowMs - windowMs) {
			this.#parts.shift();
		}
	}
}

/**
Simulation of operators, a control group and entries. Tries of orders and messages to entries are delayed, reordered, repeated and lost; acknowledgements are lost; entries restart. The
oracle: after an acknowledgement and until the next order about the domain the state is what was acknowledged, and entries never return to an older register.
*/

import {
	type DomainOrder, type DomainRegister, domainStateOf, emptyRegister, isFulfilled, orderOn, type orderOutcome,
} from '../domain-register.js';
import {DrainedDomains} from '../drained-domains.js';

const domains = ['a', 'b'] as const;
const entryCount = 2;

/** Share of answers that reach the operator. */
const answeredShare = 0.7;

/** Share of messages that are delivered again later. */
const repeatedShare = 0.3;

/** The order that the operator of a domain repeats until it is acknowledged. */
type Wish = {readonly domain: string; readonly isDrained: boolean; isAcknowledged: boolean};

export type OrderModelOptions = {
	/** Random numbers in [0, 1). */
	readonly random: () => number;
	/** The rule of the state machine. */
	readonly rule: typeof orderOutcome;
};

/** Figures of a run. */
export type OrderFigures = {acknowledged: number; overtaken: number; delivered: number};

export class OrderModel {
	readonly figures: OrderFigures = {acknowledged: 0, overtaken: 0, delivered: 0};
	readonly #options: OrderModelOptions;
	readonly #wishes = new Map<string, Wish>();
	#register = emptyRegister;
	readonly #tries: Array<{readonly order: DomainOrder; readonly wish: Wish}> = [];
	#messages: Array<{readonly entry: number; readonly register: DomainRegister}> = [];
	readonly #entries = Array.from({length: entryCount}, () => new DrainedDomains());

	constructor(options: OrderModelOptions) {
		this.#options = options;
	}

	/** Does one random thing; throws if the oracle is violated. */
	step(): void {
		const kinds = [() => {
			this.#order();
		}, () => {
			this.#order();
		}, () => {
			this.#commit();
		}, () => {
			this.#deliver();
		}, () => {
			this.#restartEntry();
		}];
		this.#pick(kinds)();
		for (const {domain, isDrained, isAcknowledged} of this.#wishes.values()) {
			if (isAcknowledged && !isFulfilled(this.#register, {domain, isDrained})) {
				throw new Error(`${domain} was acknowledged with isDrained=${isDrained} and is not so at revision ${this.#register.revision}`);
			}
		}
	}

	/** Connects all entries to the group, delivers what is still on its way, and checks that they have the register. */
	finish(): void {
		this.#messages.push(...this.#entries.map((_drained, entry) => ({entry, register: this.#register})));
		while (this.#messages.length > 0) {
			this.#deliver();
		}

		const drainedCount = domains.filter(domain => domainStateOf(this.#register, domain).isDrained).length;
		if (this.#entries.some(entry => entry.revision !== this.#register.revision || entry.drainedCount !== drainedCount)) {
			throw new Error(`an entry has another register than that of revision ${this.#register.revision}`);
		}
	}

	/** An operator begins an order, or sends its order again: a process reads the register, and its proposal goes on its way. */
	#order(): void {
		const domain = this.#pick(domains);
		const known = this.#wishes.get(domain);
		const wish = known && !known.isAcknowledged ? known : {domain, isDrained: !known?.isDrained, isAcknowledged: false};
		this.#wishes.set(domain, wish);
		if (isFulfilled(this.#register, wish)) {
			this.#answer(wish);
		} else {
			const {isDrained} = wish;
			this.#tries.push({order: orderOn(this.#register, {domain, isDrained}), wish});
		}
	}

	/** A proposal reaches the log, however late. */
	#commit(): void {
		const next = this.#take(this.#tries);
		if (!next) {
			return;
		}

		const {outcome, register} = this.#options.rule(this.#register, next.order);
		if (register !== this.#register) {
			this.#register = register;
			this.#messages.push(...this.#entries.map((_drained, entry) => ({entry, register})));
		}

		if (outcome === 'overtaken') {
			this.figures.overtaken++;
		} else {
			this.#answer(next.wish);
		}
	}

	/** The answer counts only for the order that the operator is waiting for. */
	#answer(wish: Wish): void {
		if (this.#wishes.get(wish.domain) === wish && !wish.isAcknowledged && this.#options.random() < answeredShare) {
			wish.isAcknowledged = true;
			this.figures.acknowledged++;
		}
	}

	#deliver(): void {
		const message = this.#take(this.#messages);
		if (!message) {
			return;
		}

		const drained = this.#entries[message.entry];
		const before = drained.revision;
		drained.apply(message.register);
		this.figures.delivered++;
		if (drained.revision < before) {
			throw new Error(`an entry returned from revision ${before} to ${drained.revision}`);
		}

		if (this.#options.random() < repeatedShare) {
			this.#messages.push(message);
		}
	}

	/** The entry loses what is on its way, and gets the register when it connects. */
	#restartEntry(): void {
		const entry = Math.floor(this.#options.random() * entryCount);
		this.#messages = this.#messages.filter(message => message.entry !== entry);
		this.#entries[entry] = new DrainedDomains();
		this.#entries[entry].apply(this.#register);
	}

	#pick<Item>(items: readonly Item[]): Item {
		return items[Math.floor(this.#options.random() * items.length)];
	}

	#take<Item>(items: Item[]): Item | undefined {
		return items.splice(Math.floor(this.#options.random() * items.length), 1).at(0);
	}
}

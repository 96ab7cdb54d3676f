/** A model of one control group with several processes that take orders, for the random test of the register. */

import {
	type DomainOrder, type DomainOrderOutcome, type DomainRegister, emptyRegister, isFulfilled, orderOn,
} from './domain-register.js';

type OutcomeRule = (register: DomainRegister, order: DomainOrder) => {readonly outcome: DomainOrderOutcome; readonly register: DomainRegister};

/** Options of a run: random numbers in [0, 1), and the rule of the state machine. */
export type OrderRunOptions = {readonly random: () => number; readonly rule: OutcomeRule; readonly steps?: number};

const domains = ['a', 'b'] as const;

/**
One operator drains and restores domains. It repeats each order until it is acknowledged; acknowledgements may be lost. Each try is read at once and may reach the log much
later, after any number of others. Returns the first violation: after an acknowledgement and before the next order, the state of the domain differs from what was acknowledged.
*/
export function runOrders({random, rule, steps = 60}: OrderRunOptions): string | undefined {
	let register = emptyRegister;
	let delayed: DomainOrder[] = [];
	const acknowledged = new Map<string, boolean>();
	const commit = (order: DomainOrder): DomainOrderOutcome => {
		const result = rule(register, order);
		register = result.register;
		return result.outcome;
	};

	for (let step = 0; step < steps; step++) {
		const domain = domains[Math.floor(random() * domains.length)];
		const request = {domain, isDrained: acknowledged.get(domain) !== true};
		acknowledged.delete(domain);
		for (let isAcknowledged = false; !isAcknowledged;) {
			const order = orderOn(register, request);
			if (random() < 0.5) {
				delayed.push(order);
			} else {
				const isAnswered = isFulfilled(register, request) || commit(order) !== 'overtaken';
				isAcknowledged = isAnswered && random() < 0.8;
			}
		}

		acknowledged.set(domain, request.isDrained);
		const late = delayed.filter(() => random() < 0.3);
		delayed = delayed.filter(order => !late.includes(order));
		for (const order of late) {
			commit(order);
		}

		for (const [name, isDrained] of acknowledged) {
			if (!isFulfilled(register, {domain: name, isDrained})) {
				return `step ${step}: ${name} was acknowledged with isDrained=${isDrained}`;
			}
		}
	}

	return undefined;
}

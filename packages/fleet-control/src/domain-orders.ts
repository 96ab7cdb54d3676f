/**
Orders about failure domains that arrive at one control process. The register is read through a quorum after the order has arrived, and the order takes effect only if
its domain has not changed since this read: an order that is delayed anywhere after it cannot undo a later one.
*/

import {
	type DomainOrder, type DomainOrderOutcome, type DomainRegister, type DomainRequest, isFulfilled, orderOn,
} from '@rattanspring/domain-drain';
import {withTimeout} from './with-timeout.js';

/** Within this time an order is answered, since callers go on to another control process after a second. */
const answerTimeoutMs = 800;

/** Part of it for the read, so that an order that is proposed has time to be committed. */
const readTimeoutMs = 450;

/** `notProposed`: the order has no effect, since its caller has gone or no quorum confirmed the read in time. */
export type DomainOrderResult = DomainOrderOutcome | 'notProposed';

/** Options of the orders. */
export type DomainOrdersOptions = {
	readonly nowMs: () => number;
	readonly readRegister: () => Promise<DomainRegister | undefined>;
	readonly orderDomain: (order: DomainOrder) => Promise<DomainOrderOutcome | undefined>;
};

export class DomainOrders {
	readonly #options: DomainOrdersOptions;

	constructor(options: DomainOrdersOptions) {
		this.#options = options;
	}

	/** Reads, then proposes. Returns undefined if the outcome is unknown: the order may still take effect. */
	async order(request: DomainRequest, isCallerConnected: () => boolean): Promise<DomainOrderResult | undefined> {
		const {nowMs, readRegister, orderDomain} = this.#options;
		const startedAtMs = nowMs();
		const register = await withTimeout(readRegister(), readTimeoutMs);
		if (!register) {
			return 'notProposed';
		}

		if (isFulfilled(register, request)) {
			return 'alreadyStored';
		}

		// The bytes of a caller that has gone on elsewhere may have waited while this process was suspended.
		const leftMs = answerTimeoutMs - (nowMs() - startedAtMs);
		return leftMs > 0 && isCallerConnected() ? withTimeout(orderDomain(orderOn(register, request)), leftMs) : 'notProposed';
	}
}

/** Asks the authority of a suspected component for a trial: the control process that comes first for it in an order that all entries share. */

import {rankByRendezvous} from '@rattanspring/directory';
import {LinkCalls, linkService, type NodeCard} from '@rattanspring/fleet-link';

const replyTimeoutMs = 400;

/** Asks control processes for trials. */
export class ControlTrials {
	readonly #calls = new LinkCalls();
	readonly #controls: () => readonly NodeCard[];

	constructor(controls: () => readonly NodeCard[]) {
		this.#controls = controls;
	}

	/** Returns whether a request with the component may be sent now. Without an answer it may not. */
	async request(component: string): Promise<boolean> {
		const addresses = this.#controls().flatMap(({linkAddress, isLeaving}) => linkAddress === undefined || isLeaving ? [] : [linkAddress]);
		const [authority] = rankByRendezvous(component, addresses);
		if (authority === undefined) {
			return false;
		}

		const reply = await this.#calls.call(authority, linkService.trial, {component}, replyTimeoutMs);
		return reply?.isGranted === true;
	}

	close(): void {
		this.#calls.close();
	}
}

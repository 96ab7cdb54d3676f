/** The streams of an entry in a test, and the messages that have arrived on them. */

import {ControlLinks, type DownMessage} from '@rattanspring/fleet-link';

export class TestEntry {
	readonly messages: DownMessage[] = [];
	readonly links: ControlLinks;

	constructor(nodeId: string, addresses: readonly string[]) {
		this.links = new ControlLinks({
			nowMs: () => performance.now(), seeds: () => addresses, card: () => ({
				nodeId, role: 'entry', failureDomain: 'a', isLeaving: false,
			}),
			onMessage: message => {
				this.messages.push(message);
			},
		});
	}

	get connectedCount(): number {
		return this.links.connectedAddresses().length;
	}
}

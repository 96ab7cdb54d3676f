/** Entries of a test with the streams that real ones have, and the messages that have arrived on them. */

import {ControlLinks, type DownMessage} from '@rattanspring/fleet-link';
import {waitUntil} from '@rattanspring/test-kit';

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

/** The entries of one test. */
export class TestEntries {
	readonly #entries: TestEntry[] = [];

	/** Adds an entry, and waits until its streams to the control processes at these addresses are connected. */
	async add(addresses: readonly string[]): Promise<TestEntry> {
		const entry = new TestEntry(`entry-${this.#entries.length}`, addresses);
		this.#entries.push(entry);
		await waitUntil(() => entry.connectedCount >= addresses.length, {timeoutMs: 5000});
		return entry;
	}

	close(): void {
		for (const {links} of this.#entries) {
			links.close();
		}
	}
}

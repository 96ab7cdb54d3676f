import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {EngineClient} from './engine-client.js';
import {RecentEngineClients} from './recent-engine-clients.js';

describe('RecentEngineClients', () => {
	it('does not grow with the number of addresses that requests name, and keeps those in use', () => {
		const closed: string[] = [];
		let createdCount = 0;
		const clients = new RecentEngineClients(address => {
			createdCount++;
			return {
				close() {
					closed.push(address);
				},
			} as unknown as EngineClient;
		});
		const used = clients.of('used');
		for (let index = 0; index < 1000; index++) {
			clients.of(`other-${index}`);
			expect(clients.of('used')).toEqual(used);
		}

		expect(createdCount).toEqual(1001);
		expect(closed.length).toEqual(1001 - 256);
		clients.close();
		expect(closed.length).toEqual(1001);
	});
});

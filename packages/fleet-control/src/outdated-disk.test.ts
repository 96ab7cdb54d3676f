import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {LinkClient} from '@rattanspring/fleet-link';
import {expect} from 'earl';
import {TestGroup} from './test-group.js';

/** Time within which processes that restart together announce their document. */
const announcedWithinMs = 4000;

const withheldMs = 2000;

/** Number of documents after which a process has stored one in a snapshot, which it restores without asking the others. */
const documentCount = 80;

describe('a control process that restarts with what its disk holds', () => {
	let group: TestGroup;
	let client: LinkClient | undefined;

	beforeEach(async () => {
		group = await TestGroup.create({size: 3, faultTolerance: 1, failureDomainCount: 3});
		await group.startFirst();
		for (let version = 1; version <= documentCount; version++) {
			await group.replace(0, version);
		}
	});
	afterEach(async () => {
		client?.close();
		await group.close();
	});

	/** Versions that a daemon hears from one process. */
	function follow(index: number): number[] {
		const versions: number[] = [];
		client = new LinkClient({
			address: group.addressOf(index),
			nowMs: () => performance.now(),
			card: () => ({
				nodeId: 'e', role: 'entry', failureDomain: 'a', isLeaving: false,
			}),
			onMessage(message) {
				if (message.type === 'version') {
					versions.push(message.version);
				}
			},
			onConnectionChange: () => undefined,
		});
		return versions;
	}

	it('does not announce it while a newer document has been acknowledged by the others', async () => {
		await group.stop(2);
		await group.replace(0, documentCount + 1);
		const versions = follow(2);
		await group.start(2);
		await group.eventually(async () => versions.includes(documentCount + 1));
		expect(versions).toEqual([documentCount + 1]);
	});

	it('announces it as soon as a quorum has confirmed it', async () => {
		await group.stop(...group.positions);
		const startedAtMs = performance.now();
		const versions = follow(1);
		await Promise.all(group.positions.map(async index => group.start(index)));
		await group.eventually(async () => versions.includes(documentCount));
		expect(performance.now() - startedAtMs).toBeLessThan(announcedWithinMs);
	});

	it('does not announce it without a quorum', async () => {
		await group.stop(...group.positions);
		const versions = follow(1);
		await group.start(1);
		await sleep(withheldMs);
		expect(versions).toEqual([]);
	});
});

import {afterEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {SilentLogger} from '@rattanspring/logger';
import {freePorts, waitUntil} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {DocumentFollower} from './document-follower.js';
import {TestSource, VersionCodec} from './test-source.js';

/** Time that an entry may add where a source answers: a fifth of the shortest time within which an acknowledged document has to be in force. */
const addedByEntryMs = 400;

describe('a follower whose only source of a version has died', () => {
	let sources: TestSource[] = [];
	let follower: DocumentFollower;

	afterEach(() => {
		follower.close();
		for (const source of sources) {
			source.stop();
		}
	});

	async function start(): Promise<readonly [dead: TestSource, live: TestSource]> {
		const ports = await freePorts(2);
		const dead = new TestSource(`127.0.0.1:${ports[0]}`);
		const live = new TestSource(`127.0.0.1:${ports[1]}`);
		dead.isSilent = true;
		sources = [dead, live];
		await Promise.all(sources.map(async source => source.start()));
		follower = new DocumentFollower({
			codec: new VersionCodec(), logger: new SilentLogger(), sources: () => sources.map(({address}) => address), onState: () => undefined,
		});
		return [dead, live];
	}

	async function inForceAfterMs(version: number): Promise<number> {
		const startedAtMs = performance.now();
		await waitUntil(() => follower.version === version, {timeoutMs: 5000, pollMs: 5});
		return performance.now() - startedAtMs;
	}

	/** How long a live source's version takes that it announces a while after the dead one announced its own. */
	async function addedMs(announcedAfterMs: number): Promise<number> {
		const [dead, live] = await start();
		follower.recordVersion(dead.address, 1);
		await sleep(announcedAfterMs);
		live.sender.publish({version: 2, text: '2'});
		follower.recordVersion(live.address, 2);
		return inForceAfterMs(2);
	}

	// The waits for a source that does not answer and the pauses between them end at different times.
	for (const announcedAfterMs of [1000, 1700, 2200, 2900, 3600, 4500]) {
		it(`does not make a version wait that another source announces after ${announcedAfterMs} ms`, async () => {
			expect(await addedMs(announcedAfterMs)).toBeLessThan(addedByEntryMs);
		});
	}

	it('goes on at another source as soon as the stream to the dead one is lost', async () => {
		const [dead, live] = await start();
		live.sender.publish({version: 1, text: '1'});
		follower.recordVersion(dead.address, 1);
		await sleep(100);
		follower.recordVersion(live.address, 1);
		follower.dropConnection(dead.address);
		expect(await inForceAfterMs(1)).toBeLessThan(addedByEntryMs);
	});
});

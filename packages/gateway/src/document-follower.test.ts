import {afterEach, describe, it} from 'node:test';
import {SilentLogger} from '@rattanspring/logger';
import {freePorts, incompressibleText, waitUntil} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {DocumentFollower} from './document-follower.js';
import {TestSource, VersionCodec} from './test-source.js';

/** Time within which an announced document has to be in force. */
const inForceWithinMs = 2500;

describe('DocumentFollower', () => {
	let sources: TestSource[] = [];
	let follower: DocumentFollower;
	let onState: () => void;

	afterEach(() => {
		follower.close();
		for (const source of sources) {
			source.stop();
		}
	});

	async function start(count: number): Promise<void> {
		onState = () => undefined;
		const ports = await freePorts(count);
		sources = ports.map(port => new TestSource(`127.0.0.1:${port}`));
		await Promise.all(sources.map(async source => source.start()));
		follower = new DocumentFollower({
			codec: new VersionCodec(), logger: new SilentLogger(), sources: () => sources.map(({address}) => address), onState() {
				onState();
			},
		});
	}

	async function waitForVersion(version: number): Promise<void> {
		await waitUntil(() => follower.version === version, {timeoutMs: inForceWithinMs});
	}

	it('keeps an announcement that arrives before the reply to an earlier request', async () => {
		await start(1);
		const [source] = sources;
		source.sender.publish({version: 1, text: '1'});
		source.beforeReply = () => {
			source.beforeReply = () => undefined;
			source.sender.publish({version: 2, text: '2'});
			follower.recordVersion(source.address, 2);
		};

		follower.recordVersion(source.address, 1);
		await waitForVersion(2);
	});

	it('follows on after a document whose processing throws', async () => {
		await start(1);
		const [source] = sources;
		source.sender.publish({version: 1, text: '1'});
		onState = () => {
			throw new Error('first document');
		};

		follower.recordVersion(source.address, 1);
		await waitForVersion(1);
		onState = () => undefined;
		source.sender.publish({version: 2, text: '2'});
		follower.recordVersion(source.address, 2);
		await waitForVersion(2);
	});

	it('stays with the source that answers while the nearest one is silent', async () => {
		await start(2);
		const [silent, other] = sources;
		silent.isSilent = true;
		other.sender.publish({version: 1, text: `1 ${incompressibleText(1, 200_000)}`});
		follower.recordVersion(silent.address, 1);
		follower.recordVersion(other.address, 1);
		await waitForVersion(1);
		expect(silent.requestCount).toEqual(1);
		expect(other.requestCount).toBeGreaterThan(5);
	});

	it('has the document in time from the last of three sources if the others are silent', async () => {
		await start(3);
		sources[0].isSilent = true;
		sources[1].isSilent = true;
		sources[2].sender.publish({version: 1, text: '1'});
		for (const {address} of sources) {
			follower.recordVersion(address, 1);
		}

		await waitForVersion(1);
	});
});

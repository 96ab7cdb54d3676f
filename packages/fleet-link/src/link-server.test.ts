import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	Client, type ClientDuplexStream, credentials, Metadata, Server,
} from '@grpc/grpc-js';
import type {TargetLoad, TargetReport} from '@rattanspring/target-table';
import {freePorts, waitUntil} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {
	type DownMessage, LinkServer, linkService, listen, type UpMessage,
} from './index.js';

const nowMs = () => performance.now();

/** A message of about 100 kB. */
function largeMessage(sequence: number): DownMessage {
	const report: TargetReport = {
		targetId: 'x'.repeat(100_000), bornMs: 1, sequence, service: 's', address: '10.0.0.1:80', failureDomain: 'a', slots: 8, state: 'ready', coldLeftMs: 0,
	};
	return {type: 'targets', reports: [report]};
}

function loadOf(address: string, active: number): TargetLoad {
	return {
		address, bornMs: 1, active, queued: 0, memoryShare: 0, pace: 1,
	};
}

const helloOf = (nodeId: string): UpMessage => ({
	type: 'hello', card: {
		nodeId, role: 'entry', failureDomain: 'a', isLeaving: false,
	},
});

describe('a follower that does not read', () => {
	let links: LinkServer;
	let server: Server;
	let client: Client;
	let stream: ClientDuplexStream<UpMessage, DownMessage>;
	let received: DownMessage[];
	let beats: NodeJS.Timeout;
	let maxAllWaitingBytes: number | undefined;

	beforeEach(async () => {
		const [port] = await freePorts(1);
		maxAllWaitingBytes = undefined;
		links = new LinkServer({
			nowMs,
			get maxAllWaitingBytes() {
				return maxAllWaitingBytes;
			},
			ownCard: () => ({
				nodeId: 'control', role: 'control', failureDomain: 'a', isLeaving: false,
			}),
			initialMessages: () => [],
			onMessage: () => undefined,
		});
		server = new Server();
		server.addService({follow: linkService.follow}, {
			follow(call: Parameters<LinkServer['accept']>[0]) {
				links.accept(call);
			},
		});
		await listen(server, `127.0.0.1:${port}`);
		const {path, requestSerialize, responseDeserialize} = linkService.follow;
		client = new Client(`127.0.0.1:${port}`, credentials.createInsecure());
		stream = client.makeBidiStreamRequest(path, requestSerialize, responseDeserialize, new Metadata());
		received = [];
		stream.on('data', (message: DownMessage) => {
			received.push(message);
		});
		stream.on('error', () => undefined);
		stream.write(helloOf('n'));
		beats = setInterval(() => {
			stream.write({type: 'beat'});
		}, 500);
		await waitUntil(() => received.length > 0, {timeoutMs: 5000});
		stream.pause();
	});
	afterEach(() => {
		clearInterval(beats);
		stream.cancel();
		client.close();
		links.close();
		server.forceShutdown();
	});

	const followerCount = () => links.cards.length - 1;

	it('is disconnected once more than 8 MB wait for it, and not before', async () => {
		for (let sequence = 0; sequence < 70; sequence++) {
			links.broadcast(largeMessage(sequence), {roles: ['entry']});
			await sleep(1);
		}

		expect(followerCount()).toEqual(1);
		for (let sequence = 70; sequence < 130; sequence++) {
			links.broadcast(largeMessage(sequence), {roles: ['entry']});
			await sleep(1);
		}

		expect(followerCount()).toEqual(0);
	});

	it('is disconnected as soon as more would wait for all followers than may', () => {
		maxAllWaitingBytes = 1_000_000;
		links.broadcast(largeMessage(0), {roles: ['entry']});
		expect(followerCount()).toEqual(1);
		for (let sequence = 1; sequence < 40; sequence++) {
			links.broadcast(largeMessage(sequence), {roles: ['entry']});
		}

		expect(followerCount()).toEqual(0);
	});

	it('keeps a new one from being told what there is, and is disconnected for it', async () => {
		maxAllWaitingBytes = 8_000_000;
		for (let sequence = 0; sequence < 60; sequence++) {
			links.broadcast(largeMessage(sequence), {roles: ['entry']});
			await sleep(1);
		}

		const {path, requestSerialize, responseDeserialize} = linkService.follow;
		const other = client.makeBidiStreamRequest(path, requestSerialize, responseDeserialize, new Metadata());
		const types: string[] = [];
		other.on('data', ({type}: DownMessage) => {
			types.push(type);
		});
		other.on('error', () => undefined);
		other.write(helloOf('other'));
		const otherBeats = setInterval(() => {
			other.write({type: 'beat'});
		}, 500);
		try {
			await waitUntil(() => types.includes('beat'), {timeoutMs: 5000});
			expect(types).not.toInclude('nodes');
			await waitUntil(() => types.includes('nodes'), {timeoutMs: 8000});
			expect(links.cards.map(({nodeId}) => nodeId)).toEqual(['other', 'control']);
		} finally {
			clearInterval(otherBeats);
			other.cancel();
		}
	});

	it('is disconnected if its card is larger than any, and stays so whatever it sends behind it', async () => {
		stream.write(helloOf('x'.repeat(5000)));
		stream.write(helloOf('n'));
		await waitUntil(() => followerCount() === 0, {timeoutMs: 5000});
		await sleep(100);
		expect(followerCount()).toEqual(0);
	});

	it('receives only the newest load of each target when it reads again', async () => {
		for (let sequence = 0; sequence < 20; sequence++) {
			links.broadcast(largeMessage(sequence), {roles: ['entry']});
		}

		for (let index = 0; index < 500; index++) {
			links.broadcast({type: 'loads', loads: [loadOf(`10.0.0.${index % 2}:80`, index)]}, {roles: ['entry']});
		}

		await sleep(100);
		stream.resume();
		await waitUntil(() => received.filter(({type}) => type === 'targets').length === 20, {timeoutMs: 5000});
		await sleep(300);
		const messages = received.flatMap(message => message.type === 'loads' ? [message.loads] : []);
		expect(messages.length).toBeLessThanOrEqual(2);
		expect(messages.at(-1)?.toSorted((left, right) => left.active - right.active)).toEqual([loadOf('10.0.0.0:80', 498), loadOf('10.0.0.1:80', 499)]);
		expect(followerCount()).toEqual(1);
	});
});

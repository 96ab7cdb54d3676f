import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {Server} from '@grpc/grpc-js';
import {freePorts, waitUntil} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {
	LinkClient, LinkServer, linkService, listen, type NodeCard,
} from './index.js';

const nowMs = () => performance.now();

/** Time until the server handles a new stream. */
const acceptDelayMs = 600;

describe('a stream to a control process', () => {
	let address: string;
	let links: LinkServer;
	let server: Server;

	beforeEach(async () => {
		const [port] = await freePorts(1);
		address = `127.0.0.1:${port}`;
		links = new LinkServer({
			nowMs,
			ownCard: () => ({
				nodeId: 'control', role: 'control', failureDomain: 'a', isLeaving: false,
			}),
			initialMessages: () => [],
			onMessage: () => undefined,
		});
		server = new Server();
		server.addService({follow: linkService.follow}, {
			follow(call: Parameters<LinkServer['accept']>[0]) {
				setTimeout(() => {
					links.accept(call);
				}, acceptDelayMs);
			},
		});
		await listen(server, address);
	});
	afterEach(() => {
		links.close();
		server.forceShutdown();
	});

	it('delivers a card that changed while the stream was being connected', async () => {
		let card: NodeCard = {
			nodeId: 'n', role: 'entry', failureDomain: 'a', isLeaving: false, isReady: false,
		};
		const client = new LinkClient({
			address, nowMs, card: () => card, onMessage: () => undefined, onConnectionChange: () => undefined,
		});
		await sleep(acceptDelayMs / 2);
		card = {...card, isReady: true};
		client.sendHello();
		await waitUntil(() => client.isConnected, {timeoutMs: 5000});
		await sleep(1000);
		client.close();
		expect(links.cards.map(({nodeId, isReady}) => [nodeId, isReady])).toEqual([['n', true], ['control', undefined]]);
	});
});

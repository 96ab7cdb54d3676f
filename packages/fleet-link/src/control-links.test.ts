import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {Server} from '@grpc/grpc-js';
import {freePorts, waitUntil} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {
	ControlLinks, type DownMessage, LinkClient, LinkServer, linkService, listen, type NodeCard, type UpMessage,
} from './index.js';

const nowMs = () => performance.now();

/** How long the cards of a lost or new stream are retained. */
const retentionMs = 3000;

function entryCard(nodeId: string, change: Partial<NodeCard> = {}): NodeCard {
	return {
		nodeId, role: 'entry', failureDomain: 'a', isLeaving: false, ...change,
	};
}

function entryIds(cards: Iterable<NodeCard>): string[] {
	return [...cards].filter(({role}) => role === 'entry').map(({nodeId}) => nodeId);
}

/** The links of one control process. */
class TestControl {
	readonly links: LinkServer;
	readonly #server = new Server();

	constructor(readonly address: string) {
		this.links = new LinkServer({
			nowMs,
			ownCard: () => ({
				nodeId: `control-${address}`, role: 'control', failureDomain: 'a', linkAddress: address, isLeaving: false,
			}),
			initialMessages: (): DownMessage[] => [],
			onMessage: (_message: UpMessage) => undefined,
		});
	}

	async start(): Promise<void> {
		const {follow} = linkService;
		this.#server.addService({follow}, {
			follow: (call: Parameters<LinkServer['accept']>[0]) => {
				this.links.accept(call);
			},
		});
		await listen(this.#server, this.address);
	}

	/** Ends without a notice, as a killed process does. */
	stop(): void {
		this.#server.forceShutdown();
		this.links.close();
	}
}

describe('the node list of a daemon', () => {
	let addresses: string[];
	const controls: TestControl[] = [];
	const followers: Array<{close: () => void}> = [];

	beforeEach(async () => {
		const ports = await freePorts(2);
		addresses = ports.map(port => `127.0.0.1:${port}`);
	});
	afterEach(() => {
		for (const follower of followers.splice(0)) {
			follower.close();
		}

		for (const control of controls.splice(0)) {
			control.stop();
		}
	});

	async function startControl(index = 0): Promise<TestControl> {
		const control = new TestControl(addresses[index]);
		controls.push(control);
		await control.start();
		return control;
	}

	function follow(card: () => NodeCard, seeds = addresses.slice(0, 1), onNodes?: (cards: readonly NodeCard[]) => void): ControlLinks {
		const links = new ControlLinks({
			nowMs, seeds: () => seeds, card, onMessage: () => undefined, onNodes,
		});
		followers.push(links);
		return links;
	}

	function followAs(nodeId: string, seeds?: string[]): ControlLinks {
		return follow(() => entryCard(nodeId), seeds);
	}

	function entriesOf(links: ControlLinks): string[] {
		return entryIds(links.nodes.values()).toSorted();
	}

	async function eventually(condition: () => boolean, timeoutMs = 6000): Promise<void> {
		await waitUntil(condition, {timeoutMs});
	}

	describe('after its only control process has restarted', () => {
		let first: TestControl;
		let others: ControlLinks[];
		let observer: ControlLinks;
		let smallestCount: number;

		beforeEach(async () => {
			first = await startControl();
			others = ['e1', 'e2', 'e3'].map(nodeId => followAs(nodeId));
			smallestCount = Infinity;
			observer = follow(() => entryCard('e0'), addresses.slice(0, 1), cards => {
				smallestCount = Math.min(smallestCount, entryIds(cards).length);
			});
			await eventually(() => entriesOf(observer).length === 4);
			for (const other of others) {
				other.close();
			}

			first.stop();
			await eventually(() => observer.connectedAddresses().length === 0);
			smallestCount = Infinity;
			await startControl();
			await eventually(() => observer.connectedAddresses().length === 1);
		});

		it('keeps daemons that have not reconnected yet, for a short time', async () => {
			const startedAtMs = nowMs();
			await sleep(500);
			for (const nodeId of ['e1', 'e2']) {
				followAs(nodeId);
			}

			await sleep(retentionMs - 1000);
			expect(smallestCount).toEqual(4);
			await eventually(() => entriesOf(observer).length === 3);
			expect(entriesOf(observer)).toEqual(['e0', 'e1', 'e2']);
			expect(nowMs() - startedAtMs < retentionMs + 1500).toEqual(true);
		});

		it('removes a daemon at once that has come back and left again', async () => {
			const back = followAs('e1');
			await eventually(() => back.nodes.size > 0);
			await sleep(200);
			back.close();
			await sleep(500);
			expect(entriesOf(observer)).toEqual(['e0', 'e2', 'e3']);
		});
	});

	it('has the newest card of a daemon, whichever control process still lists an older one', async () => {
		for (const index of [0, 1]) {
			await startControl(index);
			followers.push(new LinkClient({
				address: addresses[index], nowMs, card: () => entryCard('e1', {revision: {bornMs: 5, sequence: 2 - index}}), onMessage: () => undefined, onConnectionChange: () => undefined,
			}));
		}

		for (const seeds of [addresses, addresses.toReversed()]) {
			const observer = followAs('e0', seeds);
			await eventually(() => observer.connectedAddresses().length === 2);
			await sleep(300);
			expect(observer.nodes.get('e1')?.revision).toEqual({bornMs: 5, sequence: 2});
		}
	});

	it('has cards whose sequence grows with each change, and only then', async () => {
		const control = await startControl();
		let card = entryCard('e0');
		const links = follow(() => card);
		const held = () => control.links.cards.find(({nodeId}) => nodeId === 'e0');
		await eventually(() => held() !== undefined && links.connectedAddresses().length === 1);
		const first = held()?.revision?.sequence;
		links.sendHello();
		await sleep(200);
		expect(held()?.revision?.sequence).toEqual(first);
		card = entryCard('e0', {isLeaving: true});
		links.sendHello();
		await eventually(() => held()?.isLeaving === true);
		expect(held()?.revision?.sequence).toEqual(first! + 1);
	});

	it('does not regain a daemon that left while one of two control processes restarted', async () => {
		const first = await startControl(0);
		await startControl(1);
		const leaving = followAs('e1', addresses);
		const observer = followAs('e0', addresses);
		await eventually(() => entriesOf(observer).length === 2 && observer.connectedAddresses().length === 2);
		await sleep(200);
		first.stop();
		leaving.close();
		await eventually(() => entriesOf(observer).length === 1, 1000);
		await startControl(0);
		await eventually(() => observer.connectedAddresses().length === 2);
		await sleep(200);
		expect(entriesOf(observer)).toEqual(['e0']);
	});
});

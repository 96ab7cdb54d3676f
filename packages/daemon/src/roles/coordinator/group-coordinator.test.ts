import {describe, it} from 'node:test';
import {WinstonLogger} from '@rattanspring/logger';
import {ordersProtocol} from '@rattanspring/protocol';
import {EngineServer, RankGroupServer} from '@rattanspring/stand-ins';
import {expect} from 'earl';
import {SystemClock} from '@rattanspring/voter-group';
import {GrpcListener} from '../../adapters/grpc-listener.js';
import {type Lease, LeaseSource} from '../../ports/lease-source.js';
import {freePorts, waitUntil} from '../../test-fleet.js';
import {Orders} from '../agent/orders.js';
import {HttpRankEngine} from '../agent/rank-engine.js';
import {GroupCoordinator} from './group-coordinator.js';

const host = '127.0.0.1';
const groupId = 'drafting';
const rankCount = 2;
const layers = [{replicas: [{expert: 0, rank: 0, share: 1}, {expert: 1, rank: 1, share: 1}]}];
const clock = new SystemClock();
const logger = new WinstonLogger({level: 'error', fields: {}});

/** A lease that never expires for its holder, so that a stale coordinator continues to send orders. */
class NonExpiringLease extends LeaseSource {
	readonly #fencing: number;

	constructor(fencing: number) {
		super();
		this.#fencing = fencing;
	}

	async acquire(): Promise<Lease> {
		return {fencing: this.#fencing, untilMs: Number.POSITIVE_INFINITY};
	}
}

type Rank = {readonly engine: EngineServer; readonly address: string; stop(): Promise<void>};

async function startRank(rank: number, groupUrl: string, {incarnation, port}: {readonly incarnation: number; readonly port: number}): Promise<Rank> {
	const engine = new EngineServer({host, port: 0, checksFencing: rank === 0});
	await engine.start();
	const orders = new Orders({incarnation, ranks: [{groupId, rank, engine: new HttpRankEngine({rank, engineUrl: engine.url, groupUrl})}]});
	const listener = new GrpcListener({listen: {host, port}});
	listener.addService(ordersProtocol.OrdersService, orders.service);
	await listener.start();
	orders.start();
	return {
		engine,
		address: `${host}:${port}`,
		async stop() {
			orders.stop();
			await listener.stop(100);
			await engine.stop();
		},
	};
}

function startCoordinator(fencing: number, ranks: readonly Rank[]): GroupCoordinator {
	const coordinator = new GroupCoordinator({
		groupId, agentAddresses: ranks.map(rank => rank.address), firstLayers: layers, leases: new NonExpiringLease(fencing), clock, logger, tickMs: 20,
	});
	coordinator.start();
	return coordinator;
}

describe('a group over gRPC', () => {
	it('forms, switches maps, changes its coordinator and recovers from the restart of an agent', async () => {
		const group = new RankGroupServer({
			host, port: 0, rankCount, tokenTimeMs: 0, fixedStepMs: 2,
		});
		await group.start();
		const ports = await freePorts(rankCount);
		const ranks = await Promise.all(ports.map(async (port, rank) => startRank(rank, group.url, {incarnation: 1, port})));
		const first = startCoordinator(1, ranks);
		await waitUntil(() => first.phase === 'idle' && group.step.step > 0);
		const firstVersion = first.version;

		first.plan(layers);
		await waitUntil(() => first.version > firstVersion && group.step.version === first.version);

		first.orderEngine(1, 'loadAdapter', 'menus');
		await waitUntil(() => ranks[1].engine.orders.some(order => order.kind === 'loadAdapter' && order.name === 'menus'));

		const second = startCoordinator(2, ranks);
		await waitUntil(() => first.phase === 'standby' && second.phase === 'idle');
		expect(second.version).toEqual(group.step.version);
		const {version} = second;
		first.plan(layers);
		second.plan(layers);
		await waitUntil(() => second.version > version && group.step.version === second.version);

		const {formation} = group.step;
		await ranks[1].stop();
		ranks[1] = await startRank(1, group.url, {incarnation: 2, port: ports[1]});
		await waitUntil(() => group.step.formation > formation && group.step.step > 0);
		expect(group.mixedSteps).toEqual(0);

		first.stop();
		second.stop();
		await Promise.all(ranks.map(async rank => rank.stop()));
		await group.stop();
	});
});

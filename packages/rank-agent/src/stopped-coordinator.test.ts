import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {Server} from '@grpc/grpc-js';
import {LinkServer, linkService, listen} from '@rattanspring/fleet-link';
import {SilentLogger} from '@rattanspring/logger';
import {freePorts, waitUntil} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {
	EngineClient, type EngineOrder, type EngineState, type ExpertCounts, type HeldExperts, type OrderOutcome,
} from './engine-client.js';
import {FakeRankGroup} from './fake-rank-group.js';
import {RankAgent} from './rank-agent.js';

const host = '127.0.0.1';
const rankCount = 4;
const expertCount = 16;
const initialMap = [Array.from({length: rankCount}, (_, rank) => [rank, rank + 4, rank + 8, rank + 12])];
const stopTimeoutMs = 5000;

/** A group that nobody releases stands for longer than the time after which another agent takes it for abandoned. */
const maxHeldMs = 400;

const clock = {monotonicMs: () => performance.now(), wallMs: () => Date.now()};
const engineProfile = {
	slots: 100,
	contextTokens: 8192,
	stepMs: 5.85,
	perSequenceMs: 0.5,
	contextMsPerThousandTokens: 0,
	promptTokensPerSecond: 10_000,
	stepsPerPass: 5,
	usualPromptTokens: 100,
	usualAnswerTokens: 100,
	expertSets: 1,
	expertsPerSet: expertCount,
	placesPerRank: 6,
	newPlacesPerRank: 2,
	megabytesPerExpert: 100,
	linkMegabitsPerSecond: 80_000,
	expertShare: 0.85,
};

/** An engine as seen by a process: it reaches nothing once the process has ended. */
class ProcessEngineClient extends EngineClient {
	readonly #engine: EngineClient;
	readonly #hasEnded: () => boolean;
	readonly #onHeld: () => void;

	/** `onHeld` is called when the engine has taken the order to hold, before its process learns that. */
	constructor(engine: EngineClient, hasEnded: () => boolean, onHeld: () => void) {
		super();
		this.#engine = engine;
		this.#hasEnded = hasEnded;
		this.#onHeld = onHeld;
	}

	async state(): Promise<EngineState | undefined> {
		return this.#hasEnded() ? undefined : this.#engine.state();
	}

	async counts(): Promise<ExpertCounts | undefined> {
		return this.#hasEnded() ? undefined : this.#engine.counts();
	}

	async experts(): Promise<HeldExperts | undefined> {
		return this.#hasEnded() ? undefined : this.#engine.experts();
	}

	async order(order: EngineOrder): Promise<OrderOutcome> {
		if (this.#hasEnded()) {
			return 'unknown';
		}

		const outcome = await this.#engine.order(order);
		if (order.kind === 'hold') {
			this.#onHeld();
		}

		return outcome;
	}

	close(): void {
		this.#engine.close();
	}
}

describe('a group whose coordinator ends while it holds the group', () => {
	let group: FakeRankGroup;
	let agents: RankAgent[];
	let links: LinkServer;
	let server: Server;
	let timer: NodeJS.Timeout;
	let stopped: Promise<void> | undefined;
	let hasEnded: boolean;
	let longestHeldMs: number;
	let onHeld: () => void = () => undefined;

	beforeEach(async () => {
		const [controlPort, ...ports] = await freePorts(1 + rankCount);
		group = new FakeRankGroup({
			ranks: rankCount, lists: initialMap, copyMs: 5, stepMs: 5, nextDelivery: () => 'prompt', orderDelayMs: () => 0, nowMs: () => performance.now(), active: 8,
		});
		links = new LinkServer({
			nowMs: () => performance.now(),
			ownCard: () => ({
				nodeId: 'control', role: 'control', failureDomain: 'a', linkAddress: `${host}:${controlPort}`, isLeaving: false,
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
		await listen(server, `${host}:${controlPort}`);
		agents = ports.map((port, rank) => new RankAgent({
			nodeId: `agent-${rank}`,
			failureDomain: 'a',
			linkAddress: `${host}:${port}`,
			targetAddress: `target-${rank}`,
			seeds: () => [`${host}:${controlPort}`],
			engineClient: engineAt(rank, rank),
			createEngineClient: address => engineAt(Number(address.split('-')[1]), rank),
			engine: () => engineProfile,
			onVersion: () => undefined,
			clock,
			logger: new SilentLogger(),
		}));
		await Promise.all(agents.map(async agent => agent.start()));
	});
	afterEach(async () => {
		clearInterval(timer);
		await stopped;
		for (const agent of agents.slice(1)) {
			agent.close();
		}

		links.close();
		server.forceShutdown();
	});

	function engineAt(rank: number, processRank: number): EngineClient {
		return new ProcessEngineClient(group.unfencedEngines[rank], () => processRank === 0 && hasEnded, () => {
			onHeld();
		});
	}

	/** Lets the group run with a demand that changes, ends the coordinator as soon as it has given a rank the order to hold, and measures how long the group stands. */
	function watchGroup(endCoordinator: () => Promise<void>): void {
		const counts = Array.from({length: expertCount}, () => 0);
		const startedAtMs = performance.now();
		let heldSinceMs: number | undefined;
		longestHeldMs = 0;
		hasEnded = false;
		stopped = undefined;
		timer = setInterval(() => {
			const nowMs = performance.now();
			const hot = Math.floor((nowMs - startedAtMs) / 700) % 4;
			for (const [expert, count] of counts.entries()) {
				counts[expert] = count + (expert % 4 === hot ? 40 : 3);
			}

			for (let rank = 0; rank < rankCount; rank++) {
				group.setCounts(rank, [...counts]);
			}

			group.advance();
			heldSinceMs = group.isHeld ? heldSinceMs ?? nowMs : undefined;
			longestHeldMs = Math.max(longestHeldMs, heldSinceMs === undefined ? 0 : nowMs - heldSinceMs);
		}, 1);
		onHeld = () => {
			if (group.state(1).heldStep !== undefined) {
				stopped ??= endCoordinator().then(() => {
					hasEnded = true;
				});
			}
		};
	}

	it('is released by the agent of the holding rank if the process of the coordinator is gone', async () => {
		watchGroup(async () => {
			agents[0].close();
		});
		await waitUntil(() => stopped !== undefined, {timeoutMs: 30_000});
		await waitUntil(() => longestHeldMs > maxHeldMs, {timeoutMs: 5000});
		await waitUntil(() => !group.isHeld, {timeoutMs: 5000});
		expect([group.mixedSteps, new Set(group.versions).size]).toEqual([0, 1]);
	});

	it('goes on at once, with one map, if the coordinator was told to stop', async () => {
		watchGroup(async () => agents[0].stop(stopTimeoutMs));
		await waitUntil(() => stopped !== undefined, {timeoutMs: 30_000});
		await stopped;
		await sleep(1500);
		expect([group.isHeld, group.mixedSteps, new Set(group.versions).size]).toEqual([false, 0, 1]);
		expect(longestHeldMs).toBeLessThan(maxHeldMs);
	});
});

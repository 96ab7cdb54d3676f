/**
The agent of one target. It measures the target's load on the same VM, where measuring is cheap and up to date, reports it to
the control processes, and applies orders to its rank. The agent of a group's first rank also rebalances the group's expert map.
*/

import {setTimeout as sleep} from 'node:timers/promises';
import {
	type handleUnaryCall, type sendUnaryData, Server, status,
} from '@grpc/grpc-js';
import type {EngineProfile} from '@rattanspring/desired-state';
import {
	ControlLinks, followedByAgents, LinkCalls, linkService, listen, type NodeCard, type RankReply, type RankRequest, type LinkConnectionOptions,
} from '@rattanspring/fleet-link';
import {describeError, type Logger} from '@rattanspring/logger';
import {serverOptions} from '@rattanspring/protocol';
import type {RankPlace, TargetLoad} from '@rattanspring/target-table';
import {type Clock, SuspendAwareClock} from '@rattanspring/types';
import type {EngineClient, EngineState} from './engine-client.js';
import {ExclusiveTask} from './exclusive-task.js';
import {FencedEngineClient} from './fenced-engine-client.js';
import {GroupEngineClients, type GroupRanks, holdingRank} from './group-engine-clients.js';
import {MapRebalancer} from './map-rebalancer.js';
import {MapSwitch} from './map-switch.js';
import {MapVersionAllocator} from './map-version-allocator.js';
import {PassTimer, reportsPasses} from './pass-timer.js';
import {RankRequestHandler, type RankRequestHandlerOptions} from './rank-request-handler.js';
import {ToldPace} from './told-pace.js';

/** Interval of load measurements, normally and while the target is nearly full: entries then need to learn of every slot that becomes free. */
const measureIntervalMs = 200;
const nearlyFullMeasureIntervalMs = 100;

/** Share of occupied slots from which a target counts as nearly full. */
const nearlyFullShare = 0.6;

/** Unchanged load is reported again after this time. */
const loadRepeatIntervalMs = 900;

/** Passes that became longer by this share are reported before the load changes, at most once in this time. */
const reportedPassRise = 0.1;
const passReportIntervalMs = 300;

/** Number of control processes that receive load reports in turn, because one of them may be paused. */
const reportedControls = 2;

/** Interval of rebalancing rounds, and of samples of the demand during a switch, while the map is behind the demand; other rounds are further apart. */
const rebalanceIntervalMs = 200;

/** The rank whose agent rebalances the map. */
const coordinatorRank = 0;

/** A group held for longer than this was abandoned by its coordinator; the agent of the holding rank releases it. */
const abandonedAfterMs = 600;

const stopPollMs = 5;

/** Options of an agent. */
export type RankAgentOptions = {
	readonly nodeId: string;
	readonly failureDomain: string;
	/** Address at which other agents reach this one. */
	readonly linkAddress: string;
	/** Limit of the connections of other daemons. */
	readonly linkConnections?: LinkConnectionOptions;
	/** Called when a request of another agent was not passed on, as too many are. */
	readonly onRelaysExceeded?: RankRequestHandlerOptions['onRelaysExceeded'];
	/** The target on this VM. */
	readonly targetAddress: string;
	readonly seeds: () => readonly string[];
	readonly engineClient: EngineClient;
	/** Creates a client for the engine on another VM. */
	readonly createEngineClient: (targetAddress: string) => EngineClient;
	/** Profile of the target's engine from the desired state; undefined if it is not known yet or the engine has no experts. */
	readonly engine: () => EngineProfile | undefined;
	/** Called when a control process announces a version of the document. */
	readonly onVersion: (linkAddress: string, version: number) => void;
	readonly clock: Clock;
	readonly logger: Logger;
};

/** The agent of one target. */
export class RankAgent {
	readonly #options: RankAgentOptions;
	readonly #links: ControlLinks;
	readonly #fencedEngine: FencedEngineClient;
	readonly #versions: MapVersionAllocator;
	readonly #calls = new LinkCalls();
	readonly #engineClients: GroupEngineClients;
	readonly #suspendAwareClock: SuspendAwareClock;
	readonly #server: Server;
	#measureTimer: NodeJS.Timeout | undefined;
	#rebalanceTimer: NodeJS.Timeout | undefined;
	#isClosed = false;
	#rebalancer: MapRebalancer | undefined;
	#place: RankPlace | undefined;
	/** Switches or recovers the group's map. */
	readonly #mapChange: ExclusiveTask;
	#heldSinceMs: number | undefined;
	#isEngineReachable = true;
	readonly #passTimer = new PassTimer();
	readonly #toldPace = new ToldPace();
	#lastReportedLoad: TargetLoad | undefined;
	#lastReportAtMs = Number.NEGATIVE_INFINITY;
	#reportCount = 0;
	readonly #handledRequests = new Set<Promise<void>>();
	readonly #groupCards = new Map<string, NodeCard>();
	#isLeaving = false;

	constructor(options: RankAgentOptions) {
		this.#options = options;
		const {interceptor} = options.linkConnections?.messages ?? {};
		this.#server = new Server({...serverOptions, interceptors: interceptor ? [interceptor] : []});
		this.#mapChange = new ExclusiveTask(options.logger);
		this.#fencedEngine = new FencedEngineClient(options.engineClient);
		this.#engineClients = new GroupEngineClients({
			...options,
			localEngine: this.#fencedEngine,
			calls: this.#calls,
			onAgentTimeout(unanswered) {
				options.logger.log('warn', 'agentSilent', unanswered);
			},
		});
		this.#versions = new MapVersionAllocator(() => options.clock.wallMs());
		this.#suspendAwareClock = new SuspendAwareClock(options.clock);
		this.#links = new ControlLinks({
			nowMs: () => options.clock.monotonicMs(),
			seeds: options.seeds,
			followedCount: followedByAgents,
			card: () => this.#card(),
			onMessage(message, linkAddress) {
				if (message.type === 'version') {
					options.onVersion(linkAddress, message.version);
				}
			},
			onConnectionChange(linkAddress, isUp) {
				options.logger.log(isUp ? 'info' : 'warn', isUp ? 'controlReached' : 'controlLost', {linkAddress});
			},
		});
	}

	/** Addresses of the connected control processes, nearest first. */
	get controlAddresses(): string[] {
		return this.#links.connectedAddresses(this.#options.failureDomain);
	}

	/** Starts listening and measuring. */
	async start(): Promise<void> {
		const {follow: _follow, document: _document, submit: _submit, join: _join, ...agentMethods} = linkService;
		this.#server.addService(agentMethods, {rank: this.#rankRequestHandler()});
		await listen(this.#server, this.#options.linkAddress, this.#options.linkConnections);
		this.#scheduleMeasurement(measureIntervalMs);
	}

	/** Announces to the control processes that this agent is about to stop. */
	leave(): void {
		this.#isLeaving = true;
		this.#links.sendHello();
	}

	/** Stops within the time: begins nothing more, ends a switch that holds the group, answers what other agents have asked, and closes. */
	async stop(timeoutMs: number): Promise<void> {
		const untilMs = performance.now() + timeoutMs;
		this.leave();
		clearInterval(this.#rebalanceTimer);
		while (this.#mapChange.isRunning && performance.now() < untilMs) {
			await sleep(stopPollMs);
		}

		await Promise.race([Promise.allSettled(this.#handledRequests), sleep(Math.max(0, untilMs - performance.now()))]);
		this.close();
	}

	close(): void {
		this.#isClosed = true;
		clearTimeout(this.#measureTimer);
		clearInterval(this.#rebalanceTimer);

		this.#links.close();
		this.#calls.close();
		this.#server.forceShutdown();
		this.#engineClients.close();
	}

	#scheduleMeasurement(pauseMs: number): void {
		this.#measureTimer = setTimeout(() => {
			void this.#measure();
		}, pauseMs);
	}

	async #measure(): Promise<void> {
		const startedAtMs = this.#options.clock.monotonicMs();
		const state = await this.#fencedEngine.state();
		if ((state !== undefined) !== this.#isEngineReachable) {
			this.#isEngineReachable = state !== undefined;
			this.#options.logger.log(this.#isEngineReachable ? 'info' : 'warn', this.#isEngineReachable ? 'engineReached' : 'engineLost', {});
		}

		if (state) {
			this.#passTimer.observe(state, this.#options.clock.monotonicMs());
			this.#reportLoad(state);
			void this.#releaseIfAbandoned(state);
		}

		if (!this.#isClosed) {
			const intervalMs = state && this.#isNearlyFull(state) ? nearlyFullMeasureIntervalMs : measureIntervalMs;
			this.#scheduleMeasurement(Math.max(0, startedAtMs + intervalMs - this.#options.clock.monotonicMs()));
		}
	}

	#isNearlyFull({active, queued}: EngineState): boolean {
		return active + queued >= (this.#options.engine()?.slots ?? Number.POSITIVE_INFINITY) * nearlyFullShare;
	}

	#rankRequestHandler(): handleUnaryCall<RankRequest, RankReply> {
		const handler = new RankRequestHandler({
			targetAddress: this.#options.targetAddress,
			engine: this.#fencedEngine,
			directClient: address => this.#engineClients.directClient(address),
			calls: this.#calls,
			onRelaysExceeded: this.#options.onRelaysExceeded,
		});
		return (call, done) => {
			const handled = this.#handleRankRequest(handler, call.request, done);
			this.#handledRequests.add(handled);
			void handled.finally(() => {
				this.#handledRequests.delete(handled);
			});
		};
	}

	/** A request whose handling throws gets an error, and the others go on. */
	async #handleRankRequest(handler: RankRequestHandler, request: RankRequest, done: sendUnaryData<RankReply>): Promise<void> {
		try {
			done(null, await handler.handle(request));
		} catch (error) {
			this.#options.logger.log('error', 'callFailed', {method: 'rank', kind: request.kind, ...describeError(error)});
			done({code: status.INTERNAL});
		}
	}

	/** Runs one rebalancing round if this agent is the coordinator, or takes a sample of the demand while the previous round is in progress. */
	async #rebalanceMap(): Promise<void> {
		const engine = this.#options.engine();
		if (!engine || this.#place?.rank !== coordinatorRank || this.#isLeaving) {
			return;
		}

		const {logger} = this.#options;
		const ranks = this.#ranks();
		this.#rebalancer?.tellPaces(ranks?.paces ?? []);
		if (ranks && this.#mapChange.isRunning) {
			await this.#rebalancer?.sample(ranks);
		} else if (ranks && (this.#rebalancer?.isDue ?? true)) {
			this.#rebalancer ??= new MapRebalancer({
				engine, nowMs: () => this.#suspendAwareClock.nowMs(), versions: this.#versions, logger, mayHold: () => !this.#isLeaving,
			});
			const rebalancer = this.#rebalancer;
			await this.#mapChange.run('rebalancing', async () => rebalancer.round(ranks, Math.min(holdingRank, ranks.engines.length - 1)));
		}
	}

	/** Releases the group if its coordinator left it held at this rank. */
	async #releaseIfAbandoned({heldStep, rankPlace}: EngineState): Promise<void> {
		this.#noteGroupCards(rankPlace);
		const nowMs = this.#options.clock.monotonicMs();
		this.#heldSinceMs = heldStep === undefined ? undefined : this.#heldSinceMs ?? nowMs;
		if (this.#heldSinceMs === undefined || heldStep === undefined || this.#isLeaving || this.#mapChange.isRunning || nowMs - this.#heldSinceMs < abandonedAfterMs) {
			return;
		}

		const ranks = this.#place?.isOpen ? this.#engineClients.ranks(this.#place, [...this.#groupCards.values(), ...this.#links.nodes.values()]) : undefined;
		if (ranks && rankPlace) {
			await this.#mapChange.run('release', async () => this.#release(ranks, rankPlace.rank, heldStep));
		}
	}

	/** Keeps the cards of the other ranks at the holding rank, since the card of a coordinator goes with its process. Its engine is then reached directly. */
	#noteGroupCards(place: RankPlace | undefined): void {
		const isSame = (card: NodeCard): boolean => card.rankPlace?.group === place?.group && card.rankPlace?.epoch === place?.epoch;
		if ([...this.#groupCards.values()].some(card => !isSame(card))) {
			this.#groupCards.clear();
		}

		if (place?.rank === holdingRank) {
			for (const card of this.#links.nodes.values()) {
				if (card.role === 'agent' && isSame(card)) {
					this.#groupCards.set(card.nodeId, card);
				}
			}
		}
	}

	async #release(ranks: GroupRanks, ownRank: number, heldStep: number): Promise<void> {
		const mapSwitch = new MapSwitch({ranks, holdingRank: ownRank, nowMs: () => this.#suspendAwareClock.nowMs()});
		const outcome = await mapSwitch.recover(() => this.#versions.next());
		this.#heldSinceMs = undefined;
		this.#options.logger.log('warn', 'abandonedGroupReleased', {
			group: ranks.group, epoch: ranks.epoch, step: heldStep, outcome,
		});
	}

	#ranks(): GroupRanks | undefined {
		return this.#place?.isOpen ? this.#engineClients.ranks(this.#place, [...this.#links.nodes.values()]) : undefined;
	}

	#updateRankPlace(place: RankPlace | undefined): void {
		const isSame = JSON.stringify(place) === JSON.stringify(this.#place);
		this.#place = place;
		if (!isSame) {
			this.#options.logger.log('info', 'rankPlaceChanged', {
				group: place?.group, epoch: place?.epoch, rank: place?.rank, isOpen: place?.isOpen,
			});
			this.#links.sendHello();
			this.#setCoordinating(place?.rank === coordinatorRank);
		}
	}

	/** Starts or ends rebalancing rounds: only the coordinator wakes up for them. */
	#setCoordinating(isCoordinator: boolean): void {
		clearInterval(this.#rebalanceTimer);
		this.#rebalanceTimer = isCoordinator && !this.#isLeaving && !this.#isClosed
			? setInterval(() => {
				void this.#rebalanceMap();
			}, rebalanceIntervalMs)
			: undefined;
	}

	#reportLoad(state: EngineState): void {
		this.#updateRankPlace(state.rankPlace);
		if (this.#toldPace.observe(state.pace, this.#options.clock.monotonicMs())) {
			this.#links.sendHello();
		}

		this.#versions.observe(Math.max(state.mapVersion ?? 0, state.preparedVersion ?? 0));
		const skew = state.rankPlace?.rank === coordinatorRank ? this.#rebalancer?.recentPeakSkew : undefined;
		const nowMs = this.#options.clock.monotonicMs();
		const passMs = state.rankPlace && reportsPasses(state.rankPlace) ? this.#passTimer.passMs(nowMs) : undefined;
		const load = {
			...toTargetLoad(this.#options.targetAddress, state, this.#reportCount), ...(skew !== undefined && {skew: roundedSkew(skew)}), ...(passMs !== undefined && {passMs: Math.round(passMs)}),
		};
		if (this.#lastReportedLoad && isSameLoad(load, this.#lastReportedLoad)) {
			const isPassLonger = passMs !== undefined && passMs > (this.#lastReportedLoad.passMs ?? 0) * (1 + reportedPassRise);
			if (nowMs - this.#lastReportAtMs < (isPassLonger ? passReportIntervalMs : loadRepeatIntervalMs)) {
				return;
			}
		}

		const addresses = this.controlAddresses.slice(0, reportedControls);
		if (addresses.length > 0) {
			this.#links.send({type: 'load', load}, addresses[this.#reportCount % addresses.length]);
			this.#lastReportedLoad = load;
			this.#lastReportAtMs = nowMs;
			this.#reportCount++;
		}
	}

	#card(): NodeCard {
		const {nodeId, failureDomain, linkAddress, targetAddress} = this.#options;
		return {
			nodeId, role: 'agent', failureDomain, linkAddress, targetAddress, ...(this.#place && {rankPlace: this.#place, isCoordinating: this.#place.rank <= holdingRank}), ...(this.#toldPace.value !== undefined && {pace: this.#toldPace.value}), isLeaving: this.#isLeaving,
		};
	}
}

function toTargetLoad(address: string, {bornMs, active, queued, memoryShare, pace, rankPlace}: EngineState, sequence: number): TargetLoad {
	return {
		address, bornMs, sequence, active, queued, memoryShare, pace, ...(rankPlace && {rankPlace}),
	};
}

/** Rounds a skew up to a tenth, so that small changes are no news. */
function roundedSkew(skew: number): number {
	return Math.ceil(skew * 10) / 10;
}

function isSameLoad(left: TargetLoad, right: TargetLoad): boolean {
	const isSameWork = left.active === right.active && left.queued === right.queued && left.bornMs === right.bornMs;
	return isSameWork && left.pace === right.pace && left.skew === right.skew && left.rankPlace?.isOpen === right.rankPlace?.isOpen;
}

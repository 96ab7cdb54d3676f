/**
One agent: measures the load of the target on its VM, where that is free and fresh, tells control, and carries out orders
for its rank. The agent of a group's first rank keeps the group's expert map.
*/

import {
	type handleUnaryCall, Server,
} from '@grpc/grpc-js';
import type {EngineProfile} from '@rattanspring/desired-state';
import {
	ControlLinks, LinkCalls, linkService, listen, type NodeCard, type RankReply, type RankRequest,
} from '@rattanspring/fleet-link';
import type {Logger} from '@rattanspring/logger';
import {serverOptions} from '@rattanspring/protocol';
import type {RankPlace, TargetLoad} from '@rattanspring/target-table';
import type {Clock} from '@rattanspring/types';
import type {EngineClient, EngineOrder, EngineState} from './engine-door.js';
import {FencedDoor} from './fenced-door.js';
import {GroupDoors, type GroupRanks, holdingRank} from './group-doors.js';
import {MapKeeper} from './map-keeper.js';
import {MapSwitch} from './map-switch.js';
import {MapVersions} from './map-versions.js';
import {StandstillClock} from './standstill-clock.js';

/** Time between measurements, and while the target is nearly full: entries then have to know of each place that gets free. */
const measureIntervalMs = 200;
const busyMeasureIntervalMs = 100;

/** Share of its slots from which a target counts as nearly full. */
const busyShare = 0.6;

/** Unchanged figures are told again after this time. */
const repeatAfterMs = 900;

/** Control processes that load figures are sent to in turn: one of them may stand still. */
const toldControls = 2;

/** Time between looks at what the group's requests choose. */
const mapIntervalMs = 350;

/** The rank whose agent keeps the map. */
const keepingRank = 0;

/** A group held for longer than this was left by its keeper; the agent of the holding rank releases it. */
const abandonedAfterMs = 600;

/** Options of an agent. */
export type RankAgentOptions = {
	readonly nodeId: string;
	readonly failureDomain: string;
	/** Where other agents reach this one. */
	readonly linkAddress: string;
	/** The target on this VM. */
	readonly targetAddress: string;
	readonly seeds: () => readonly string[];
	readonly engineClient: EngineClient;
	/** Reaches the engine on another VM. */
	readonly createEngineClient: (targetAddress: string) => EngineClient;
	/** What the desired state says of the target's engine; undefined while none is known, or without experts. */
	readonly engine: () => EngineProfile | undefined;
	/** Called when a control process tells of a version of the document. */
	readonly onVersion: (linkAddress: string, version: number) => void;
	readonly clock: Clock;
	readonly logger: Logger;
};

/** One agent. */
export class RankAgent {
	readonly #options: RankAgentOptions;
	readonly #links: ControlLinks;
	readonly #door: FencedDoor;
	readonly #versions: MapVersions;
	readonly #calls = new LinkCalls();
	readonly #doors: GroupDoors;
	readonly #standstill: StandstillClock;
	readonly #server = new Server(serverOptions);
	#measureTimer: NodeJS.Timeout | undefined;
	#mapTimer: NodeJS.Timeout | undefined;
	#isClosed = false;
	#keeper: MapKeeper | undefined;
	#place: RankPlace | undefined;
	#isKeeping = false;
	#heldSinceMs: number | undefined;
	#isReachable = true;
	#told: TargetLoad | undefined;
	#toldAtMs = Number.NEGATIVE_INFINITY;
	#toldCount = 0;
	#isLeaving = false;

	constructor(options: RankAgentOptions) {
		this.#options = options;
		this.#door = new FencedDoor(options.engineClient);
		this.#doors = new GroupDoors({
			...options,
			own: this.#door,
			calls: this.#calls,
			onSilent(targetAddress) {
				options.logger.log('warn', 'agentSilent', {targetAddress});
			},
		});
		this.#versions = new MapVersions(() => options.clock.wallMs());
		this.#standstill = new StandstillClock(options.clock);
		this.#links = new ControlLinks({
			nowMs: () => options.clock.monotonicMs(),
			seeds: options.seeds,
			card: () => this.#card(),
			onMessage(message, linkAddress) {
				if (message.type === 'version') {
					options.onVersion(linkAddress, message.version);
				}
			},
			onState(linkAddress, isUp) {
				options.logger.log(isUp ? 'info' : 'warn', isUp ? 'controlReached' : 'controlLost', {linkAddress});
			},
		});
	}

	/** Control processes that are reached, the nearest first. */
	get controlAddresses(): string[] {
		return this.#links.upAddresses(this.#options.failureDomain);
	}

	/** Listens and starts to measure. */
	async start(): Promise<void> {
		const {follow: _follow, document: _document, submit: _submit, join: _join, ...agentMethods} = linkService;
		this.#server.addService(agentMethods, {rank: this.#rankHandler()});
		await listen(this.#server, this.#options.linkAddress);
		this.#measureSoon(measureIntervalMs);
		this.#mapTimer = setInterval(() => {
			void this.#keepMap();
		}, mapIntervalMs);
	}

	/** Tells control that this agent is about to stop. */
	leave(): void {
		this.#isLeaving = true;
		this.#links.sayHello();
	}

	/** Stops. */
	close(): void {
		this.#isClosed = true;
		clearTimeout(this.#measureTimer);
		clearInterval(this.#mapTimer);

		this.#links.close();
		this.#calls.close();
		this.#server.forceShutdown();
		this.#doors.close();
	}

	#measureSoon(pauseMs: number): void {
		this.#measureTimer = setTimeout(() => {
			void this.#measure();
		}, pauseMs);
	}

	async #measure(): Promise<void> {
		const startedAtMs = this.#options.clock.monotonicMs();
		const state = await this.#options.engineClient.state();
		if ((state !== undefined) !== this.#isReachable) {
			this.#isReachable = state !== undefined;
			this.#options.logger.log(this.#isReachable ? 'info' : 'warn', this.#isReachable ? 'engineReached' : 'engineLost', {});
		}

		if (state) {
			this.#tell(state);
			void this.#releaseIfAbandoned(state);
		}

		if (!this.#isClosed) {
			const intervalMs = state && this.#isNearlyFull(state) ? busyMeasureIntervalMs : measureIntervalMs;
			this.#measureSoon(Math.max(0, startedAtMs + intervalMs - this.#options.clock.monotonicMs()));
		}
	}

	#isNearlyFull({active, queued}: EngineState): boolean {
		return active + queued >= (this.#options.engine()?.slots ?? Number.POSITIVE_INFINITY) * busyShare;
	}

	#rankHandler(): handleUnaryCall<RankRequest, RankReply> {
		return (call, done) => {
			void this.#answerRank(call.request as RankRequest<EngineOrder>).then(answer => {
				done(null, answer === undefined ? {} : {answer});
			});
		};
	}

	async #answerRank(request: RankRequest<EngineOrder>): Promise<unknown> {
		const door = this.#door;
		if (request.targetAddress !== this.#options.targetAddress) {
			const isHold = request.kind === 'order' && request.order.kind === 'hold';
			return isHold ? this.#doors.direct(request.targetAddress).order(request.order) : undefined;
		}

		return request.kind === 'order' ? door.order(request.order) : door[request.kind]();
	}

	/** One look at the group's map, if this agent keeps it. */
	async #keepMap(): Promise<void> {
		const engine = this.#options.engine();
		if (this.#isKeeping || !engine || this.#place?.rank !== keepingRank) {
			return;
		}

		const {logger} = this.#options;
		const ranks = this.#ranks();
		if (ranks) {
			this.#keeper ??= new MapKeeper({
				engine, nowMs: () => this.#standstill.nowMs(), versions: this.#versions, logger,
			});
			this.#isKeeping = true;
			await this.#keeper.round(ranks, Math.min(holdingRank, ranks.engines.length - 1));
			this.#isKeeping = false;
		}
	}

	/** Releases the group if its keeper left it held at this rank. */
	async #releaseIfAbandoned({heldStep, rankPlace}: EngineState): Promise<void> {
		const nowMs = this.#options.clock.monotonicMs();
		this.#heldSinceMs = heldStep === undefined ? undefined : this.#heldSinceMs ?? nowMs;
		if (this.#heldSinceMs === undefined || heldStep === undefined || this.#isKeeping || nowMs - this.#heldSinceMs < abandonedAfterMs) {
			return;
		}

		const ranks = this.#ranks();
		if (ranks && rankPlace) {
			this.#isKeeping = true;
			const outcome = await new MapSwitch({ranks, holdingRank: rankPlace.rank, nowMs: () => this.#standstill.nowMs()}).recover(heldStep, () => this.#versions.next());
			this.#isKeeping = false;
			this.#heldSinceMs = undefined;
			this.#options.logger.log('warn', 'abandonedGroupReleased', {
				group: ranks.group, epoch: ranks.epoch, step: heldStep, outcome,
			});
		}
	}

	#ranks(): GroupRanks | undefined {
		return this.#place?.isOpen ? this.#doors.ranks(this.#place, [...this.#links.nodes.values()]) : undefined;
	}

	#notePlace(place: RankPlace | undefined): void {
		const isSame = JSON.stringify(place) === JSON.stringify(this.#place);
		this.#place = place;
		if (!isSame) {
			this.#options.logger.log('info', 'rankPlaceChanged', {
				group: place?.group, epoch: place?.epoch, rank: place?.rank, isOpen: place?.isOpen,
			});
			this.#links.sayHello();
		}
	}

	#tell(state: EngineState): void {
		this.#notePlace(state.rankPlace);
		this.#versions.note(Math.max(state.mapVersion ?? 0, state.preparedVersion ?? 0));
		const load = loadOf(this.#options.targetAddress, state, this.#toldCount);
		const nowMs = this.#options.clock.monotonicMs();
		if (nowMs - this.#toldAtMs < repeatAfterMs && this.#told && isSameLoad(load, this.#told)) {
			return;
		}

		const addresses = this.controlAddresses.slice(0, toldControls);
		if (addresses.length > 0) {
			this.#links.send({type: 'load', load}, addresses[this.#toldCount % addresses.length]);
			this.#told = load;
			this.#toldAtMs = nowMs;
			this.#toldCount++;
		}
	}

	#card(): NodeCard {
		const {nodeId, failureDomain, linkAddress, targetAddress} = this.#options;
		return {
			nodeId, role: 'agent', failureDomain, linkAddress, targetAddress, ...(this.#place && {rankPlace: this.#place}), isLeaving: this.#isLeaving,
		};
	}
}

function loadOf(address: string, {bornMs, active, queued, memoryShare, pace, rankPlace}: EngineState, sequence: number): TargetLoad {
	return {
		address, bornMs, sequence, active, queued, memoryShare, pace, ...(rankPlace && {rankPlace}),
	};
}

function isSameLoad(left: TargetLoad, right: TargetLoad): boolean {
	return left.active === right.active && left.queued === right.queued && left.bornMs === right.bornMs && left.pace === right.pace && left.rankPlace?.isOpen === right.rankPlace?.isOpen;
}

/** An entry process: follows the control processes, serves callers, and lists the entries that callers may use. */

import {ByteBudget, RequestMemory} from '@rattanspring/byte-collector';
import {ShareOrder} from '@rattanspring/account-shares';
import type {DocumentCodec, EngineProfile, RouteTable} from '@rattanspring/desired-state';
import {
	ControlLinks, type DownMessage, followedControls, linkService, type NodeCard,
} from '@rattanspring/fleet-link';
import type {LogFields, Logger} from '@rattanspring/logger';
import type {DaemonMetrics} from '@rattanspring/metrics';
import {
	AdmissionQueue, ExpectedRoom, type GroupFigures, PassLimit, type RetryAllowance, RetryBudget, RoomReturnTimes, StreamSilence, TargetSelector,
} from '@rattanspring/placement';
import {isReachable, type TargetTransport} from '@rattanspring/target-connection';
import type {ColdWord, TargetLimit} from '@rattanspring/target-limits';
import {type TargetLifetime, TargetTable} from '@rattanspring/target-table';
import {type Clock, SuspendAwareClock} from '@rattanspring/types';
import {AccountUsage} from './account-usage.js';
import {AuthorityCalls} from './authority-calls.js';
import {CallerServer} from './caller-server.js';
import {ColdWatch} from './cold-watch.js';
import {CrashWatch} from './crash-watch.js';
import {DocumentFollower} from './document-follower.js';
import {DomainFollower} from './domain-follower.js';
import {EntryDirectory} from './entry-directory.js';
import {FirstAttemptEstimator} from './first-attempt-estimator.js';
import type {GatewayContext} from './gateway-context.js';
import {GracefulStop} from './graceful-stop.js';
import type {HeaderCodec} from './header-codec.js';
import {rejectRevoked} from './key-revocation.js';
import {PauseObjectives} from './pause-objectives.js';
import {PermitReport} from './permit-report.js';
import {PermitRequests} from './permit-requests.js';
import {PlannedStop, type StopSchedule} from './planned-stop.js';
import {QueueTimer} from './queue-timer.js';
import {serveRequest} from './request-flow.js';
import {StallWatch} from './stall-watch.js';
import {TableWait} from './table-wait.js';
import {TargetOutcomes} from './target-outcomes.js';
import {UnsentBudget} from './unsent-budget.js';

/** Interval at which targets are checked for missing reports. */
const targetRefreshIntervalMs = 500;

/** Interval at which the uses of client accounts are told to a control process. */
const useIntervalMs = 1000;

/** Limits of an entry, unless it is told others. */
const defaultLimits: GatewayLimits = {
	maxRequestBytes: 67_108_864, maxResponseBytes: 50_331_648, maxUnsentBytes: 33_554_432, maxCallerConnections: 1560, maxCallerConnectionBytes: 67_108_864, maxTargets: 20_000,
};

/** What an entry may hold of the memory and the descriptors of its VM. */
export type GatewayLimits = {
	/** Memory that all requests may hold: heads and bodies, in bytes. */
	readonly maxRequestBytes: number;
	/** Bytes of all answers that are not complete yet. */
	readonly maxResponseBytes: number;
	/** Bytes of answers that wait for their callers to read them. */
	readonly maxUnsentBytes: number;
	readonly maxCallerConnections: number;
	/** Memory that the connections of callers may hold while no request is in progress on them. */
	readonly maxCallerConnectionBytes: number;
	/** Targets that are known at once. */
	readonly maxTargets: number;
};

/** Options of an entry. */
export type GatewayOptions = {
	readonly nodeId: string;
	readonly failureDomain: string;
	/** Address at which callers reach this entry. */
	readonly callerHost: string;
	readonly callerPort: number;
	readonly seeds: () => readonly string[];
	readonly codec: DocumentCodec;
	readonly headerCodec: HeaderCodec;
	readonly exchange: TargetTransport;
	readonly allowance: RetryAllowance;
	readonly limits?: Partial<GatewayLimits>;
	readonly clock: Clock;
	/** Random numbers in [0, 1). */
	readonly random: () => number;
	readonly logger: Logger;
	readonly metrics: DaemonMetrics;
};

export class Gateway {
	readonly #options: GatewayOptions;
	readonly #server: CallerServer;
	readonly #links: ControlLinks;
	readonly #documents: DocumentFollower;
	readonly #domains: DomainFollower;
	readonly #authorityCalls: AuthorityCalls;
	readonly #targets: TargetTable;
	readonly #selector: TargetSelector;
	readonly #accountUsage: AccountUsage;
	readonly #outcomes: TargetOutcomes;
	readonly #context: GatewayContext;
	readonly #coldWatch: ColdWatch;
	readonly #permitRequests: PermitRequests;
	readonly #permitReport: PermitReport;
	readonly #timers: NodeJS.Timeout[] = [];
	readonly #queueTimer: QueueTimer;
	readonly #plannedStop = new PlannedStop();
	readonly #entries = new EntryDirectory(() => this.#card());
	readonly #pauseObjectives = new PauseObjectives();
	readonly #passLimit = new PassLimit();
	readonly #tableWait = new TableWait(() => this.#table);
	#hasNodeList = false;
	#isInformed = false;
	#isLeaving = false;

	constructor(options: GatewayOptions) {
		this.#options = options;
		const nowMs = () => options.clock.monotonicMs();
		const {random, logger, metrics, headerCodec, exchange, failureDomain} = options;
		const limits = {...defaultLimits, ...options.limits};
		const limitMet = (limit: string, fields: LogFields) => {
			metrics.limitsMet.inc({limit});
			logger.log('warn', 'callersLimited', {reason: limit, ...fields});
		};

		this.#targets = new TargetTable({
			maxTargets: limits.maxTargets, onExceeded(event) {
				limitMet('targets', event);
			},
		});
		this.#outcomes = new TargetOutcomes({
			nodeId: options.nodeId,
			isCold: report => this.#coldWatch.limitOf(report) !== undefined || (report.coldLeftMs ?? 0) > 0,
			onAccusation: accusation => {
				this.#links.send({type: 'accusations', accusations: [accusation]});
			},
			logger,
			metrics,
			nowMs,
		});
		this.#domains = new DomainFollower({
			logger,
			metrics,
			onSwitched: restored => {
				// Targets of a restored domain may have turned cold, and their next reports come later than the first requests.
				this.#coldWatch.assumeCold(this.#targets.all().filter(({failureDomain}) => restored.has(failureDomain)));
				this.#refreshTargets();
				this.#context.admission.processQueue(nowMs());
			},
			onKnown: () => {
				this.#updateInformed();
			},
		});
		const suspendAwareClock = new SuspendAwareClock(options.clock);
		const permitNowMs = () => suspendAwareClock.nowMs();
		this.#coldWatch = new ColdWatch({
			clock: options.clock, services: () => this.#documents.table?.state.services ?? [], isInService: () => this.isReady, logger, metrics,
		});
		this.#selector = new TargetSelector({
			failureDomain,
			entryPosition: () => this.#entries.position,
			writersWithin: (service, figures, atMs) => this.#writersWithin(service, figures, atMs),
			engineOf: service => this.#engineOf(service),
			exclusions: [this.#domains.drained, this.#outcomes.table],
			coldLimitOf: report => this.#coldWatch.limitOf(report),
			hasSeenStart: target => this.#coldWatch.hasSeenStart(target),
			permitNowMs,
			hasConnection: address => exchange.hasIdle(address),
		});
		this.#permitReport = new PermitReport({permits: this.#selector.permits, logger, metrics});
		this.#permitRequests = new PermitRequests({
			permits: this.#selector.permits,
			limitedTargets: service => this.#selector.permitTargets(service, nowMs()),
			waitingCount: () => this.#context.admission.waitingCount,
			take: async request => this.#authorityCalls.call(request.targetId, linkService.permit, request),
			onGranted: () => {
				this.#context.admission.processQueue(nowMs());
			},
			nowMs: permitNowMs,
			random,
		});
		this.#authorityCalls = new AuthorityCalls({controls: () => [...this.#links.nodes.values()], nowMs});
		const crashWatch = new CrashWatch({
			isReachable,
			onNewEvidence: records => {
				this.#links.send({type: 'evidence', records});
			},
			requestTrial: async component => this.#isTrialGranted(component),
			random,
			nowMs,
			logger,
			metrics,
		});
		this.#accountUsage = new AccountUsage({failureDomain, metrics, nowMs});
		this.#queueTimer = new QueueTimer({
			nowMs, nextChangeAtMs: atMs => this.#context.admission.nextChangeAtMs(atMs), process: () => this.#processWaiting(),
		});
		const room = new ExpectedRoom();
		this.#context = {
			headerCodec,
			exchange,
			logger,
			metrics,
			selector: this.#selector,
			admission: new AdmissionQueue({
				selector: this.#selector,
				random,
				room,
				order: new ShareOrder(this.#accountUsage.shares),
				returnTimes: new RoomReturnTimes({random, room, permitWaitMs: (waitingCount, atMs) => this.#selector.permits.expectedWaitMs(waitingCount, atMs)}),
				onWaiting: () => {
					this.#queueTimer.schedule();
				},
			}),
			retryBudget: new RetryBudget(options.allowance),
			streamSilence: new StreamSilence(),
			crashWatch,
			responseBytes: new ByteBudget(limits.maxResponseBytes),
			requestMemory: new RequestMemory({
				budget: new ByteBudget(limits.maxRequestBytes),
				nowMs,
				onStopped() {
					metrics.limitsMet.inc({limit: 'requestMemory'});
				},
			}),
			unsentBytes: new UnsentBudget({maxBytes: limits.maxUnsentBytes, nowMs}),
			firstAttempts: new FirstAttemptEstimator(),
			accountUsage: this.#accountUsage,
			outcomes: this.#outcomes,
			stallWatch: new StallWatch(permitNowMs),
			nowMs,
			random,
			table: () => this.#table,
			tableWait: this.#tableWait,
			newestVersion: () => this.#documents.newestVersion,
			entryCount: () => this.#entries.count,
			onTargetLeaving: target => this.#onTargetLeaving(target),
			onTargetLimit: limit => this.#onTargetLimit(limit),
			onTargetCold: (word, requestId) => {
				this.#onTargetCold(word, requestId);
			},
			permitRequests: this.#permitRequests,
			plannedStop: this.#plannedStop,
		};
		this.#server = new CallerServer({
			host: options.callerHost,
			port: options.callerPort,
			maxConnections: limits.maxCallerConnections,
			maxConnectionBytes: limits.maxCallerConnectionBytes,
			onLimit: limitMet,
			onRequest: (request, response, connectionRequest) => {
				void serveRequest(this.#context, request, response, connectionRequest);
			},
		});
		this.#documents = new DocumentFollower({
			codec: options.codec,
			logger,
			sources: () => this.#links.connectedAddresses(failureDomain),
			onState: state => {
				this.#server.setLimits(state.limits);
				rejectRevoked(this.#context.crashWatch.forwarding, this.#documents.table!);
				metrics.revisionInForce.set(state.version);
				this.#updateInformed();
			},
			onNewestVersion(version) {
				metrics.newestRevision.set(version);
			},
		});
		this.#links = new ControlLinks({
			nowMs,
			seeds: options.seeds,
			followedCount: followedControls,
			card: () => this.#card(),
			onMessage: (message, address) => {
				this.#onMessage(message, address);
			},
			onNodes: cards => {
				this.#hasNodeList ||= cards.some(card => card.role === 'control');
				this.#entries.update(cards.filter(card => card.role === 'entry'));
				this.#updateInformed();
			},
			onConnectionChange: (linkAddress, isUp) => {
				logger.log(isUp ? 'info' : 'warn', isUp ? 'controlReached' : 'controlLost', {linkAddress});
				if (isUp) {
					this.#sendKnownFacts(linkAddress);
				} else {
					this.#documents.dropConnection(linkAddress);
					this.#domains.dropConnection(linkAddress);
				}
			},
		});
	}

	/** Whether this entry may receive callers: it has a desired state, knows the drained failure domains and the other entries, and is not draining. */
	get isReady(): boolean {
		return this.#isInformed && !this.#isLeaving;
	}

	/** Starts listening for callers. */
	async start(): Promise<void> {
		const {nowMs} = this.#context;
		await this.#server.start();
		this.#every(targetRefreshIntervalMs, () => {
			this.#context.stallWatch.touch();
			this.#targets.expire(nowMs());
			this.#refreshTargets();
		});
		this.#every(useIntervalMs, () => {
			this.#tellUses();
		});
	}

	/** Returns the addresses of ready entries for a caller in the given failure domain; undefined until this entry knows them. */
	entryAddressesFor(failureDomain: string | undefined): string[] | undefined {
		return this.#isInformed ? this.#entries.addressesFor(failureDomain) : undefined;
	}

	/** Reports not ready, goes on serving while callers learn of other entries, takes on only what it can finish, and ends when no connection is open, or at the limit. */
	async stop(schedule: StopSchedule): Promise<void> {
		const {nowMs, logger, crashWatch} = this.#context;
		this.#isLeaving = true;
		this.#links.sendHello();
		const stop = new GracefulStop({
			plannedStop: this.#plannedStop, server: this.#server, requests: crashWatch.forwarding, logger, nowMs,
		});
		await stop.run(schedule);
		this.close();
	}

	/** Closes everything at once. */
	close(): void {
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		this.#links.close();
		this.#authorityCalls.close();
		this.#documents.close();
		this.#domains.close();
		this.#server.close();
		this.#options.exchange.close();
	}

	/** Processes the admission queue; returns whether requests still wait. */
	#processWaiting(): boolean {
		const {admission, nowMs} = this.#context;
		admission.processQueue(nowMs());
		for (const service of admission.waitingServices) {
			this.#permitRequests.askForWaiting(service);
		}

		return admission.waitingCount > 0;
	}

	#every(intervalMs: number, work: () => void): void {
		this.#timers.push(setInterval(work, intervalMs));
	}

	/** The routes in force; undefined until the drained failure domains are known, too. */
	get #table(): RouteTable | undefined {
		return this.#domains.isKnown ? this.#documents.table : undefined;
	}

	/** Announces this entry as ready once it has a desired state, a register of failure domains and a node list. It keeps all of them when it loses its control processes. */
	#updateInformed(): void {
		this.#tableWait.release();
		if (!this.#isInformed && this.#hasNodeList && this.#table !== undefined) {
			this.#isInformed = true;
			this.#links.sendHello();
		}
	}

	/** Writers that keep the pauses of the service's strictest route within its objective; undefined if it has none or no engine. */
	#writersWithin(service: string, figures: GroupFigures, nowMs: number): number | undefined {
		const {state} = this.#documents.table ?? {};
		const engine = this.#engineOf(service);
		const limits = this.#pauseObjectives.of(state, service);
		const writers = engine && limits !== undefined && engine.expertSets > 0 ? this.#passLimit.writers(engine, limits, figures, nowMs) : undefined;
		// Published figures that make no sense limit nothing.
		return Number.isFinite(writers) ? writers : undefined;
	}

	#engineOf(service: string): EngineProfile | undefined {
		return this.#documents.table?.state.services.find(({name}) => name === service)?.engine;
	}

	#card(): NodeCard {
		const {nodeId, failureDomain, callerHost, callerPort} = this.#options;
		return {
			nodeId, role: 'entry', failureDomain, callerAddress: `${callerHost}:${callerPort}`, isLeaving: this.#isLeaving, isReady: this.isReady,
		};
	}

	#onMessage(message: DownMessage, address: string): void {
		const nowMs = this.#context.nowMs();
		switch (message.type) {
			case 'targets': {
				for (const report of message.reports) {
					const isNewLifetime = this.#targets.get(report.targetId)?.bornMs !== report.bornMs;
					if (this.#targets.add(report, nowMs)) {
						this.#coldWatch.onReport(report, isNewLifetime);
					}
				}

				this.#refreshTargets();
				break;
			}

			case 'heartbeats': {
				for (const heartbeat of message.targets) {
					this.#targets.touch(heartbeat, nowMs);
				}

				break;
			}

			case 'loads': {
				this.#selector.setLoads(message.loads, nowMs);
				this.#context.admission.processQueue(nowMs);
				break;
			}

			case 'leaving': {
				for (const target of message.targets) {
					this.#targets.markLeaving(target, nowMs);
				}

				this.#refreshTargets();
				break;
			}

			case 'version': {
				this.#domains.recordDocument(address);
				this.#documents.recordVersion(address, message.version);
				break;
			}

			case 'domains': {
				this.#domains.receive(message.register, address);
				break;
			}

			case 'limits': {
				for (const limit of message.limits) {
					this.#selector.setLimit(limit);
				}

				for (const word of message.cold ?? []) {
					this.#coldWatch.onStated(word, {leftMs: word.coldLeftMs, source: 'relayed'});
				}

				break;
			}

			case 'accusations': {
				this.#outcomes.receive(message.accusations);
				break;
			}

			case 'evidence': {
				this.#context.crashWatch.guard.receive(message.records);
				break;
			}

			case 'useTotals': {
				this.#accountUsage.setTotals(message.uses);
				break;
			}

			case 'beat':
			case 'nodes':
			case 'use':
			case 'nodesChanged': {
				break;
			}
		}
	}

	/** A control process that has restarted learns from the entries which limits targets name, and what crashes them. */
	#sendKnownFacts(linkAddress: string): void {
		const records = this.#context.crashWatch.guard.openCases;
		const {limits} = this.#selector;
		const cold = this.#coldWatch.words;
		if (records.length > 0) {
			this.#links.send({type: 'evidence', records}, linkAddress);
		}

		if (limits.length + cold.length > 0) {
			this.#links.send({type: 'limits', limits, cold}, linkAddress);
		}
	}

	/** A target that leaves gets no further requests from this entry, and the other entries are told. */
	#onTargetLeaving(target: TargetLifetime): boolean {
		const isNew = this.#targets.markLeaving(target, this.#context.nowMs());
		if (isNew) {
			this.#refreshTargets();
			this.#links.send({type: 'leaving', target});
		}

		return isNew;
	}

	/** A target's limit is for the requests of all entries, so the others are told. */
	#onTargetLimit(limit: TargetLimit): boolean {
		const isNew = this.#selector.setLimit(limit);
		if (isNew) {
			this.#links.send({type: 'limits', limits: [limit]});
		}

		return isNew;
	}

	/** All entries share a cold target's limit, so the others are told. */
	#onTargetCold(word: ColdWord, requestId: string | undefined): void {
		if (this.#coldWatch.onStated(word, {leftMs: word.coldLeftMs, source: 'answer', requestId})) {
			this.#links.send({type: 'limits', limits: [], cold: [word]});
		}
	}

	/** Without an answer of the authority there is no trial. */
	async #isTrialGranted(component: string): Promise<boolean> {
		const reply = await this.#authorityCalls.call(component, linkService.trial, {component});
		return reply?.isGranted === true;
	}

	/** Works out the shares of client accounts anew, and tells the nearest control process what they used here. */
	#tellUses(): void {
		const {nodeId, failureDomain} = this.#options;
		const uses = this.#accountUsage.update();
		const [nearest] = this.#links.connectedAddresses(failureDomain);
		if (uses.length > 0 && nearest !== undefined) {
			this.#links.send({type: 'use', nodeId, uses}, nearest);
		}
	}

	#refreshTargets(): void {
		const ready = this.#targets.ready();
		this.#selector.setTargets(ready, this.#context.nowMs());
		// The share of targets that may be ejected is one of those in use.
		this.#outcomes.setTargets(ready.filter(report => this.#domains.drained.reasonAgainst(report) === undefined));
		this.#options.metrics.targetsKnown.set(ready.length);
		this.#coldWatch.refresh(targetId => this.#targets.get(targetId) !== undefined);
		this.#permitReport.refresh();
	}
}

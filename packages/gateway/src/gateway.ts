/** One entry: follows control, answers callers, and knows which entries callers may use. */

import type {DocumentCodec} from '@rattanspring/desired-state';
import {
	ControlLinks, type DownMessage, type NodeCard,
} from '@rattanspring/fleet-link';
import type {Logger} from '@rattanspring/logger';
import type {DaemonMetrics} from '@rattanspring/metrics';
import {
	AdmissionQueue, CrashGuard, type EntryPosition, type RetryAllowance, RetryBudget, TargetSelector,
} from '@rattanspring/placement';
import {isReachable, type TargetExchange} from '@rattanspring/target-connection';
import {TargetTable} from '@rattanspring/target-table';
import type {Clock} from '@rattanspring/types';
import type {CallDialect} from './call-dialect.js';
import {CallerServer} from './caller-server.js';
import {CrashWatch} from './crash-watch.js';
import {DocumentFollower} from './document-follower.js';
import {FirstTries} from './first-tries.js';
import type {FlowContext} from './flow-context.js';
import {serveRequest} from './request-flow.js';

/** Time between looks at targets that fell silent. */
const refreshIntervalMs = 500;

/** Time between looks at waiting requests. */
const pumpIntervalMs = 10;

/** Entries in one answer to a caller. */
const maxEntriesTold = 64;

/** Entries of the caller's own failure domain suffice from this number on. */
const enoughNearEntries = 2;

/** Options of an entry. */
export type GatewayOptions = {
	readonly nodeId: string;
	readonly failureDomain: string;
	/** Where callers reach this entry. */
	readonly callerHost: string;
	readonly callerPort: number;
	readonly seeds: () => readonly string[];
	readonly codec: DocumentCodec;
	readonly dialect: CallDialect;
	readonly exchange: TargetExchange;
	readonly allowance: RetryAllowance;
	readonly clock: Clock;
	/** Random numbers in [0, 1). */
	readonly random: () => number;
	readonly logger: Logger;
	readonly metrics: DaemonMetrics;
};

/** One entry. */
export class Gateway {
	readonly #options: GatewayOptions;
	readonly #server: CallerServer;
	readonly #links: ControlLinks;
	readonly #documents: DocumentFollower;
	readonly #targets = new TargetTable();
	readonly #board: TargetSelector;
	readonly #context: FlowContext;
	readonly #timers: NodeJS.Timeout[] = [];
	#active = 0;
	#isPumping = false;
	#entries: readonly NodeCard[] = [];
	#entryPlace: EntryPosition = {index: 0, count: 1};
	#isLeaving = false;

	constructor(options: GatewayOptions) {
		this.#options = options;
		const nowMs = () => options.clock.monotonicMs();
		const {random, logger, metrics, dialect, exchange, failureDomain} = options;
		this.#board = new TargetSelector({failureDomain, entryPosition: () => this.#entryPlace});
		const crashWatch = new CrashWatch({
			isReachable,
			onCrash: crash => {
				logger.log('warn', 'targetDied', {targetId: crash.targetId, bornMs: crash.bornMs, fingerprint: crash.fingerprint});
				this.#context.guard.recordCrash(crash);
				this.#links.send({type: 'crash', crash});
			},
		});
		const inProgress = new Map<string, number>();
		this.#context = {
			dialect,
			exchange,
			logger,
			metrics,
			board: this.#board,
			admission: new AdmissionQueue({
				selector: this.#board, random, inProgressOf: name => inProgress.get(name) ?? 0, onWaiting: () => {
					this.#pumpSoon();
				},
			}),
			budget: new RetryBudget(options.allowance),
			guard: new CrashGuard(),
			firstTries: new FirstTries(),
			inProgress,
			nowMs,
			random,
			table: () => this.#documents.table,
			entryCount: () => Math.max(1, this.#entries.length),
			onBroken(crash, address) {
				crashWatch.suspect(crash, address);
			},
		};
		this.#server = new CallerServer({
			host: options.callerHost,
			port: options.callerPort,
			onRequest: (request, response) => {
				this.#active++;
				response.on('close', () => {
					this.#active--;
				});
				void serveRequest(this.#context, request, response);
			},
		});
		this.#documents = new DocumentFollower({
			codec: options.codec,
			logger,
			sources: () => this.#links.upAddresses(failureDomain),
			onState: state => {
				this.#server.setLimits(state.limits);
				metrics.revisionInForce.set(state.version);
			},
		});
		this.#links = new ControlLinks({
			nowMs,
			seeds: options.seeds,
			card: () => this.#card(),
			onMessage: (message, address) => {
				this.#onMessage(message, address);
			},
			onNodes: cards => {
				this.#noteEntries(cards.filter(card => card.role === 'entry'));
			},
			onState(linkAddress, isUp) {
				logger.log(isUp ? 'info' : 'warn', isUp ? 'controlReached' : 'controlLost', {linkAddress});
			},
		});
	}

	/** Whether callers may be sent here. */
	get isReady(): boolean {
		return !this.#isLeaving && this.#documents.table !== undefined;
	}

	/** Requests in progress. */
	get active(): number {
		return this.#active;
	}

	/** Listens. */
	async start(): Promise<void> {
		await this.#server.start();
		this.#every(refreshIntervalMs, () => {
			this.#refreshTargets();
		});
	}

	/** Addresses for a caller of a failure domain. */
	entriesFor(failureDomain: string | undefined): string[] {
		const own = this.#card();
		const cards = [...this.#entries.filter(card => card.nodeId !== own.nodeId), own].filter(card => !card.isLeaving);
		const near = cards.filter(card => card.failureDomain === failureDomain);
		const told = near.length >= enoughNearEntries ? near : cards;
		return told.flatMap(card => card.callerAddress ?? []).slice(0, maxEntriesTold);
	}

	/** Stops being ready; requests are still served, and each connection ends with its next answer. */
	leave(): void {
		this.#isLeaving = true;
		this.#links.sayHello();
		this.#server.leave();
	}

	/** Takes no new connections. */
	stopListening(): void {
		this.#server.stopListening();
	}

	/** Stops. */
	close(): void {
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		this.#links.close();
		this.#documents.close();
		this.#server.close();
		this.#options.exchange.close();
	}

	/** Looks at waiting requests every few milliseconds as long as there are any. */
	#pumpSoon(): void {
		if (this.#isPumping) {
			return;
		}

		this.#isPumping = true;
		setTimeout(() => {
			this.#isPumping = false;
			this.#context.admission.processQueue(this.#context.nowMs());
			if (this.#context.admission.waitingCount > 0) {
				this.#pumpSoon();
			}
		}, pumpIntervalMs);
	}

	#every(intervalMs: number, work: () => void): void {
		this.#timers.push(setInterval(work, intervalMs));
	}

	#noteEntries(cards: readonly NodeCard[]): void {
		const {nodeId} = this.#options;
		this.#entries = cards;
		const ids = [...new Set([nodeId, ...cards.filter(card => !card.isLeaving).map(card => card.nodeId)])].toSorted();
		this.#entryPlace = {index: ids.indexOf(nodeId), count: ids.length};
	}

	#card(): NodeCard {
		const {nodeId, failureDomain, callerHost, callerPort} = this.#options;
		return {
			nodeId, role: 'entry', failureDomain, callerAddress: `${callerHost}:${callerPort}`, isLeaving: this.#isLeaving,
		};
	}

	#onMessage(message: DownMessage, address: string): void {
		const nowMs = this.#context.nowMs();
		switch (message.type) {
			case 'targets': {
				for (const report of message.reports) {
					this.#targets.add(report, nowMs);
				}

				this.#refreshTargets();
				break;
			}

			case 'loads': {
				this.#board.setLoads(message.loads, nowMs);
				this.#context.admission.processQueue(nowMs);
				break;
			}

			case 'version': {
				this.#documents.told(address, message.version);
				break;
			}

			case 'crashes': {
				for (const crash of message.crashes) {
					this.#context.guard.recordCrash(crash);
				}

				break;
			}

			case 'beat':
			case 'nodes':
			case 'nodesChanged': {
				break;
			}
		}
	}

	#refreshTargets(): void {
		const ready = this.#targets.ready();
		this.#board.setTargets(ready);
		this.#options.metrics.targetsKnown.set(ready.length);
	}
}

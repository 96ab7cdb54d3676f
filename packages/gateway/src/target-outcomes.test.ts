import {Buffer} from 'node:buffer';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {ByteBudget, RequestMemory} from '@rattanspring/byte-collector';
import {type DesiredState, type Route, RouteTable} from '@rattanspring/desired-state';
import {SilentLogger} from '@rattanspring/logger';
import {DaemonMetrics} from '@rattanspring/metrics';
import {
	AdmissionQueue, RetryBudget, StreamSilence, TargetSelector,
} from '@rattanspring/placement';
import {ConnectionPool, type ResponseHead} from '@rattanspring/target-connection';
import type {TargetReport} from '@rattanspring/target-table';
import {freePorts} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {AccountUsage} from './account-usage.js';
import {CrashWatch} from './crash-watch.js';
import {FirstAttemptEstimator} from './first-attempt-estimator.js';
import type {GatewayContext} from './gateway-context.js';
import {serveRequest} from './request-flow.js';
import {PlannedStop} from './planned-stop.js';
import {StallWatch} from './stall-watch.js';
import {TableWait} from './table-wait.js';
import {TargetOutcomes} from './target-outcomes.js';
import {UnsentBudget} from './unsent-budget.js';
import {
	CallerServer, type ForwardingMetadata, HeaderCodec, type RequestMetadata, type ResponseMetadata,
} from './index.js';

class PlainHeaders extends HeaderCodec {
	readRequest(headers: http.IncomingHttpHeaders): RequestMetadata {
		return {requestId: headers['x-id'] as string};
	}

	targetHeaders(rawHeaders: readonly string[], _metadata: ForwardingMetadata): string[] {
		return rawHeaders.flatMap((name, index) => index % 2 === 0 && name.toLowerCase() === 'x-id' ? [name, rawHeaders[index + 1]] : []);
	}

	readResponse({headers}: ResponseHead): ResponseMetadata {
		return {
			requestId: headers.get('x-id'), isNotExecuted: false, isSigned: true, isLeaving: false,
		};
	}

	callerHeaders(): string[] {
		return [];
	}

	refusalHeaders(): Record<string, string> {
		return {};
	}
}

const route: Route = {
	name: 'plain', host: 'a.example', pathPrefix: '/', kind: 'nonIdempotent', timeoutMs: 3000, objectiveMs: 1000, priority: 1, split: [{service: 's', weight: 1}], maxAttempts: 2, isPublic: true, isResumable: false,
};

const state: DesiredState = {
	version: 1,
	routes: [route],
	services: [{name: 's', healthPath: '/healthz', maxConnections: 100}],
	limits: {
		maxHeaderBytes: 4096, maxBodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 5000,
	},
	clientAccounts: [],
};

/** A target that takes some time for a request, fails a part of them, and says of itself what the test sets. */
class Target {
	failedShare = 0;
	isHealthy = true;
	count = 0;
	readonly #server = http.createServer((request, response) => {
		if (request.url === '/healthz') {
			response.writeHead(this.isHealthy ? 200 : 503).end();
			return;
		}

		this.count++;
		const isFailing = Math.floor(this.count * this.failedShare) > Math.floor((this.count - 1) * this.failedShare);
		setTimeout(() => {
			response.writeHead(isFailing ? 500 : 200, {'x-id': request.headers['x-id'] ?? '', 'content-length': 4}).end(Buffer.from('done'));
		}, 20);
	});

	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	async start(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	stop(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}
}

/** Three entries that tell each other their accusations, and callers that keep all slots in use, so that targets are not just avoided. */
class TestService {
	readonly targets = Array.from({length: 4}, () => new Target());
	readonly outcomes: TargetOutcomes[] = [];
	readonly #contexts: GatewayContext[] = [];
	readonly #servers: CallerServer[] = [];
	#reports: TargetReport[] = [];
	#isCalling = true;
	#callers: Array<Promise<void>> = [];
	readonly #timer: NodeJS.Timeout;

	constructor() {
		this.#timer = setInterval(() => {
			for (const entry of this.outcomes) {
				entry.setTargets(this.#reports);
			}

			for (const {admission, nowMs} of this.#contexts) {
				admission.processQueue(nowMs());
			}
		}, 10);
	}

	async start({isEjecting = true} = {}): Promise<void> {
		await Promise.all(this.targets.map(async target => target.start()));
		this.#reports = this.targets.map((target, index): TargetReport => ({
			targetId: `t${index}`, bornMs: 1, sequence: 1, service: 's', address: `127.0.0.1:${target.port}`, failureDomain: 'a', slots: 2, state: 'ready', coldLeftMs: 0,
		}));
		const ports = await freePorts(3);
		await Promise.all(ports.map(async (port, index) => this.#startEntry(`e${index}`, port, isEjecting)));
		this.#callers = ports.flatMap(port => Array.from({length: 9}, async () => this.#callOn(port)));
	}

	/** Share of the requests of the next milliseconds that the first target gets. */
	async shareOfFirst(forMs: number): Promise<number> {
		const counts = () => this.targets.map(({count}) => count);
		const before = counts();
		await sleep(forMs);
		const sums = counts().map((count, index) => count - before[index]);
		return sums[0] / sums.reduce((sum, count) => sum + count, 0);
	}

	async close(): Promise<void> {
		this.#isCalling = false;
		clearInterval(this.#timer);
		await Promise.all(this.#callers);
		for (const server of this.#servers) {
			server.close();
		}

		for (const {exchange} of this.#contexts) {
			exchange.close();
		}

		for (const target of this.targets) {
			target.stop();
		}
	}

	async #startEntry(nodeId: string, port: number, isEjecting: boolean): Promise<void> {
		const nowMs = () => performance.now();
		const logger = new SilentLogger();
		const metrics = new DaemonMetrics();
		const outcomes = new TargetOutcomes({
			nodeId, logger, metrics, nowMs, onAccusation: accusation => {
				for (const entry of this.outcomes) {
					entry.receive([accusation]);
				}
			},
		});
		outcomes.setTargets(this.#reports);
		const selector = new TargetSelector({failureDomain: 'a', exclusions: isEjecting ? [outcomes.table] : []});
		selector.setTargets(this.#reports, 0);
		const context: GatewayContext = {
			headerCodec: new PlainHeaders(),
			exchange: new ConnectionPool(),
			selector,
			admission: new AdmissionQueue({selector, random: Math.random, onWaiting: () => undefined}),
			retryBudget: new RetryBudget({ratio: 0.2, slack: 100, windowMs: 10_000}),
			streamSilence: new StreamSilence(),
			crashWatch: new CrashWatch({
				isReachable: async () => true, onNewEvidence: () => undefined, requestTrial: async () => false, random: Math.random, nowMs, logger, metrics,
			}),
			responseBytes: new ByteBudget(50_000_000),
			requestMemory: new RequestMemory({budget: new ByteBudget(50_000_000), nowMs: () => performance.now(), onStopped: () => undefined}),
			unsentBytes: new UnsentBudget({maxBytes: 50_000_000, nowMs: () => performance.now()}),
			firstAttempts: new FirstAttemptEstimator(),
			logger,
			metrics,
			accountUsage: new AccountUsage({failureDomain: 'a', metrics, nowMs}),
			outcomes,
			stallWatch: new StallWatch(nowMs),
			nowMs,
			random: Math.random,
			table: () => new RouteTable(state),
			tableWait: new TableWait(() => undefined),
			newestVersion: () => 1,
			entryCount: () => 3,
			onTargetCold: () => undefined,
			onTargetLimit: () => false,
			onTargetLeaving: () => false,
			permitRequests: {ask: () => undefined},
			plannedStop: new PlannedStop(),
		};
		const server = new CallerServer({
			host: '127.0.0.1', port, onRequest(request, response) {
				void serveRequest(context, request, response);
			},
		});
		await server.start();
		server.setLimits(state.limits);
		this.outcomes.push(outcomes);
		this.#contexts.push(context);
		this.#servers.push(server);
	}

	async #callOn(port: number): Promise<void> {
		const agent = new http.Agent({keepAlive: true, maxSockets: 1});
		while (this.#isCalling) {
			await new Promise<void>(resolve => {
				http.get({port, agent, headers: {host: 'a.example', 'x-id': 'r1'}}, response => {
					response.on('close', resolve).resume();
				}).on('error', () => {
					resolve();
				});
			});
		}

		agent.destroy();
	}
}

describe('targets of a service with several entries', () => {
	let service: TestService;

	beforeEach(() => {
		service = new TestService();
	});
	afterEach(async () => {
		await service.close();
	});

	it('that fail a part of their requests while they say that they are well get few of them, and their share back once they do well', async () => {
		await service.start();
		const usual = await service.shareOfFirst(1500);
		service.targets[0].failedShare = 0.4;
		const failing = await service.shareOfFirst(6000);
		service.targets[0].failedShare = 0;
		expect(failing).toBeLessThan(usual / 4);
		let share = 0;
		for (let second = 0; second < 12 && share < usual / 2; second++) {
			share = await service.shareOfFirst(1000);
		}

		expect(share).toBeGreaterThan(usual / 2);
	});

	it('that say that they are ill but answer well stay in use', async () => {
		service.targets[0].isHealthy = false;
		await service.start();
		expect(await service.shareOfFirst(1500)).toBeGreaterThan(0.15);
		expect(service.outcomes.map(({table}) => table.ejectedCount)).toEqual([0, 0, 0]);
	});
});

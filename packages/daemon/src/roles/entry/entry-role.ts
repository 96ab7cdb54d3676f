/**
The entry role: accepts requests of callers over HTTP and gives callers the addresses of the entries.
*/

import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Server as TlsServer} from 'node:tls';
import {type ControlAccess, GrpcClientPool, fromJsonBytes} from '@rattanspring/control-client';
import {
	server as createServer, type Server, type Request, type ResponseObject, type ResponseToolkit,
} from '@hapi/hapi';
import {
	applyAnnouncement, emptyDirectory, expire, type DirectoryState,
} from '@rattanspring/directory';
import {effectiveDeadlineMs} from '@rattanspring/fleet-state';
import type {Logger} from '@rattanspring/logger';
import type {DaemonMetrics} from '@rattanspring/metrics';
import {
	announcementFromMessage, directoryProtocol, type KeyMaterial,
} from '@rattanspring/protocol';
import {SuspectListCache} from '@rattanspring/routing';
import type {EntrySettings} from '@rattanspring/settings';
import {stopAccepting} from '@rattanspring/stop-accepting';
import {
	err, type ClientAccountId, type Clock, type IdempotencyClass, type RequestFailure, type Result,
} from '@rattanspring/types';
import {ExchangeAgentConnections} from '../../adapters/exchange/exchange-agent-connections.js';
import {ReconnectingStream} from '../../adapters/reconnecting-stream.js';
import type {InForceConfiguration} from '../../in-force-configuration.js';
import type {AgentConnections} from '../../ports/agent-connection.js';
import {Role} from '../../ports/role.js';
import {authenticate} from './authenticate.js';
import {watchCallerTls, readCallerTls} from './caller-tls.js';
import type {CallerRequest} from './caller-request.js';
import {entriesMaxAgeMs, EntryAddresses} from './entry-addresses.js';
import {HttpCallerResponse} from './http-caller-response.js';
import {MeasuredResponse} from './measured-response.js';
import {listServedModels} from './model-list.js';
import {notRun, toProblem} from './problem.js';
import {RequestRunner} from './request-runner.js';
import {SuspectListPoller} from './suspect-list-poller.js';
import {idempotencyClassOf} from './routes.js';
import {isOperatorSecret, ServiceLevelMonitor} from './service-level-monitor.js';

/** Interval at which expired announcements are removed from the directory. */
const expireIntervalMs = 250;

/** Maximum time that draining waits for requests in progress. */
const maxDrainMs = 600_000;

/** Longest time in which the listener waits for a moment without new connections: callers that keep coming do not keep it open. */
const maxTakeoverMs = 1000;

const drainPollIntervalMs = 50;

/** A drain ends after this time without a request, since requests may be on their way on open connections. */
const calmBeforeEndMs = 300;

/** Path of model requests. */
const chatPath = '/v1/chat/completions';

/** Request headers that are not forwarded to targets: they concern the caller's connection or the entry. */
const unforwardedHeaders = new Set(['authorization', 'host', 'connection', 'content-length', 'transfer-encoding', 'accept-encoding', 'keep-alive', 'expect', 'x-remaining-ms', 'idempotency-key']);

/** Options of `EntryRole`. */
export type EntryRoleOptions = {
	readonly daemonId: string;
	readonly failureDomain: string;
	readonly settings: EntrySettings;
	readonly inForce: InForceConfiguration;
	readonly control: ControlAccess;
	readonly metrics: DaemonMetrics;
	readonly logger: Logger;
	readonly clock: Clock;
	readonly keys?: KeyMaterial;
};

/** Serves requests of callers. */
export class EntryRole extends Role {
	readonly #options: EntryRoleOptions;
	readonly #server: Server;
	readonly #directory: DirectoryState = emptyDirectory();
	readonly #agents: AgentConnections;
	readonly #directoryClients: GrpcClientPool<directoryProtocol.DirectoryClient>;
	readonly #runner: RequestRunner;
	readonly #serviceLevelMonitor: ServiceLevelMonitor;
	readonly #addresses: EntryAddresses;
	readonly #suspects = new SuspectListCache();
	readonly #streams: Array<{stop(): void}> = [];
	#openRequests = 0;
	#isDraining = false;
	#expireTimer: NodeJS.Timeout | undefined;

	constructor(options: EntryRoleOptions) {
		super();
		this.#options = options;
		const {listen, maxBodyBytes} = options.settings;
		this.#server = createServer({
			host: listen.host, port: listen.port, compression: false, tls: readCallerTls(options.settings.transport), routes: {payload: {parse: false, output: 'data', maxBytes: maxBodyBytes}},
		});
		this.#agents = new ExchangeAgentConnections({keys: options.keys});
		this.#directoryClients = new GrpcClientPool({clientClass: directoryProtocol.DirectoryClient, keys: options.keys});
		this.#addresses = new EntryAddresses({
			...options, ...options.settings, url: options.settings.advertisedUrl, clients: this.#directoryClients,
		});
		this.#serviceLevelMonitor = new ServiceLevelMonitor({...options, directory: this.#directory});
		this.#runner = new RequestRunner({
			...options, directory: this.#directory, agents: this.#agents, suspects: this.#suspects,
		});
	}

	get name(): string {
		return 'entry';
	}

	async start(): Promise<void> {
		this.#watchDirectory();
		this.#followSuspects();
		this.#addresses.start();
		this.#addRoutes();
		this.#watchRequests();
		await this.#server.start();
		this.#streams.push({stop: watchCallerTls(this.#options.settings.transport, this.#server.listener as unknown as TlsServer)});
		this.#expireTimer = setInterval(() => {
			expire(this.#directory, this.#options.clock.monotonicMs());
			this.#options.metrics.targetsKnown.set(this.#directory.targets.size);
		}, expireIntervalMs);
	}

	isReady(): boolean {
		return this.#options.inForce.isConfirmed && !this.#isDraining;
	}

	async drain(): Promise<void> {
		this.#isDraining = true;
		this.#addresses.withdraw();
		const {clock} = this.#options;
		const latestEndMs = clock.monotonicMs() + maxDrainMs;
		await sleep(entriesMaxAgeMs);
		await stopAccepting(this.#server.listener, maxTakeoverMs);
		for (let calmSinceMs = clock.monotonicMs(); clock.monotonicMs() < Math.min(calmSinceMs + calmBeforeEndMs, latestEndMs);) {
			await sleep(drainPollIntervalMs);
			calmSinceMs = this.#openRequests > 0 ? clock.monotonicMs() : calmSinceMs;
		}
	}

	async stop(): Promise<void> {
		clearInterval(this.#expireTimer);
		this.#addresses.stop();
		for (const stream of this.#streams) {
			stream.stop();
		}

		await this.#server.stop({timeout: 1000});
		this.#agents.close();
		this.#directoryClients.close();
	}

	/** Counts the requests whose response is not closed yet. While the entry drains, a connection ends with its response, so that there are fewer and fewer. */
	#watchRequests(): void {
		this.#server.listener.prependListener('request', (_request, response) => {
			this.#openRequests++;
			response.shouldKeepAlive &&= !this.#isDraining;
			response.on('close', () => {
				this.#openRequests--;
			});
		});
	}

	#watchDirectory(): void {
		const {daemonId, failureDomain, settings} = this.#options;
		const follower = new ReconnectingStream<directoryProtocol.DirectoryUpdate>({
			addresses: settings.relayAddresses,
			open: address => this.#directoryClients.clientFor(address).watch({
				daemonId, role: 'entry', failureDomain, entryUrl: settings.advertisedUrl,
			}),
			onMessage: update => {
				const nowMs = this.#options.clock.monotonicMs();
				this.#addresses.apply(update.entries);
				for (const message of update.announcements) {
					const announcement = announcementFromMessage(message);
					if (announcement) {
						applyAnnouncement(this.#directory, announcement, nowMs, message.ageMs);
					}
				}
			},
		});
		this.#streams.push(follower);
		follower.start();
	}

	#followSuspects(): void {
		const {settings, clock} = this.#options;
		const follower = new SuspectListPoller({
			suspectList: this.#suspects, relayAddresses: settings.relayAddresses, clients: this.#directoryClients, clock,
		});
		this.#streams.push(follower);
		follower.start();
	}

	#addRoutes(): void {
		this.#server.route({method: 'GET', path: '/v1/entries', handler: request => this.#addresses.entriesFor(this.#callerIdentity(request))});
		this.#server.route({
			method: 'POST', path: chatPath, handler: (request, toolkit) => this.#serveModel(request, toolkit),
		});
		this.#server.route({
			method: 'GET', path: '/v1/requests/{requestId}', handler: (request, toolkit) => this.#resume(request, toolkit),
		});
		this.#server.route({method: 'GET', path: '/v1/models', handler: (request, toolkit) => this.#listModels(request, toolkit)});
		this.#server.route({method: 'GET', path: '/v1/targets', handler: (request, toolkit) => this.#targets(request, toolkit)});
		this.#server.route({method: 'GET', path: '/v1/service-level', handler: (request, toolkit) => this.#reportServiceLevel(request, toolkit)});
		this.#server.route({
			method: '*', path: '/{service}/{rest*}', handler: (request, toolkit) => this.#serveService(request, toolkit),
		});
	}

	/** Returns the client account of a caller, or its IP address if it has no valid key. */
	#callerIdentity(request: Request): string {
		const {inForce, clock} = this.#options;
		const account = authenticate(inForce.configuration, singleHeader(request, 'authorization'), clock.wallMs());
		return account.ok ? account.value : request.info.remoteAddress;
	}

	#serveModel(request: Request, toolkit: ResponseToolkit): ResponseObject | symbol {
		const model = modelName(request.payload as Uint8Array | undefined);
		if (!model) {
			return problemResponse(toolkit, notRun('malformedRequest', 'The body must be JSON with a "model".'));
		}

		return this.#serve(request, toolkit, model, chatPath);
	}

	#serveService(request: Request, toolkit: ResponseToolkit): ResponseObject | symbol {
		const {service} = request.params as {service: string};
		const path = `${request.path.slice(service.length + 1)}${request.url.search}`;
		return this.#serve(request, toolkit, service, path === '' ? '/' : path);
	}

	#serve(request: Request, toolkit: ResponseToolkit, service: string, path: string): ResponseObject | symbol {
		const {inForce, clock} = this.#options;
		const account = this.#authenticate(request);
		if (!account.ok) {
			return problemResponse(toolkit, withUnknownExecutionIfKeyed(request, account.failure));
		}

		const nowMs = clock.wallMs();

		const method = request.method.toUpperCase();
		const idempotencyClass: IdempotencyClass = idempotencyClassOf(inForce.configuration, {service, method, path}, nowMs);
		const defaultMs = effectiveDeadlineMs(inForce.configuration, {service, clientAccount: account.value}, nowMs);
		const remainingMs = Number(singleHeader(request, 'x-remaining-ms') ?? defaultMs);
		const answer = new HttpCallerResponse(request.raw.res);
		const admitted: CallerRequest = {
			clientAccount: account.value,
			service,
			method,
			path,
			headers: forwardedHeaders(request),
			body: (request.payload as Uint8Array | undefined) ?? Buffer.alloc(0),
			idempotencyClass,
			idempotencyKey: singleHeader(request, 'idempotency-key'),
			deadlineMs: clock.monotonicMs() + (Number.isFinite(remainingMs) ? remainingMs : defaultMs),
		};
		const measured = new MeasuredResponse(answer, clock);
		void this.#answer(answer, async () => {
			await this.#runner.run(admitted, measured);
			this.#serviceLevelMonitor.record(admitted, measured.measurements);
		});
		return toolkit.abandon;
	}

	/** Resumes a response for the client account that owns it, whichever entry the request was sent to. */
	#resume(request: Request, toolkit: ResponseToolkit): ResponseObject | symbol {
		const account = this.#authenticate(request);
		if (!account.ok) {
			return problemResponse(toolkit, account.failure);
		}

		const {requestId} = request.params as {requestId: string};
		const lastEventId = singleHeader(request, 'last-event-id') ?? '';
		const answer = new HttpCallerResponse(request.raw.res);
		void this.#answer(answer, async () => this.#runner.resume({requestId, clientAccount: account.value, lastEventId}, answer));
		return toolkit.abandon;
	}

	/** Lists the models that targets serve, in the format that client libraries request first. */
	#listModels(request: Request, toolkit: ResponseToolkit): ResponseObject {
		const account = this.#authenticate(request);
		return account.ok ? toolkit.response(listServedModels(this.#directory)) : problemResponse(toolkit, account.failure);
	}

	/** Lists the targets that this entry knows; for operators only. */
	#targets(request: Request, toolkit: ResponseToolkit): ResponseObject {
		const {inForce, clock} = this.#options;
		if (!isOperatorSecret(inForce.configuration, singleHeader(request, 'authorization'), clock.wallMs())) {
			return problemResponse(toolkit, notRun('unauthenticated', 'Send an operator key as "Authorization: Bearer KEY".'));
		}

		return toolkit.response({targets: [...this.#directory.targets.values()].map(entry => entry.announcement)});
	}

	/** Returns the parts of the service-level report: all of them for an operator, those of its client account for a caller. */
	#reportServiceLevel(request: Request, toolkit: ResponseToolkit): ResponseObject {
		const {inForce, clock} = this.#options;
		if (isOperatorSecret(inForce.configuration, singleHeader(request, 'authorization'), clock.wallMs())) {
			return toolkit.response({parts: this.#serviceLevelMonitor.parts()});
		}

		const account = this.#authenticate(request);
		return account.ok ? toolkit.response({parts: this.#serviceLevelMonitor.parts(account.value)}) : problemResponse(toolkit, account.failure);
	}

	#authenticate(request: Request): Result<ClientAccountId, RequestFailure> {
		const {inForce, clock} = this.#options;
		if (!inForce.isConfirmed) {
			return err(notRun('configurationNotInForce', 'This entry has not learned the configuration yet.', 1000));
		}

		return authenticate(inForce.configuration, singleHeader(request, 'authorization'), clock.wallMs());
	}

	/** Counts a request as in progress until its final response has been written. */
	async #answer(answer: HttpCallerResponse, run: () => Promise<void>): Promise<void> {
		try {
			await run();
			await answer.finished();
		} catch (error) {
			// It is unknown whether the request ran. The error is handled here so that it does not end the process with its other requests.
			this.#options.logger.log('error', 'requestFault', {reason: String(error)});
			answer.fail({type: 'internal', message: 'The entry failed.', execution: 'unknown'});
		}
	}
}

function modelName(payload: Uint8Array | undefined): string | undefined {
	const body = payload ? fromJsonBytes<{model?: unknown}>(payload) : undefined;
	return typeof body?.model === 'string' ? body.model : undefined;
}

function singleHeader(request: Request, name: string): string | undefined {
	const value = request.headers[name] as string | string[] | undefined;
	return typeof value === 'string' ? value : undefined;
}

function forwardedHeaders(request: Request): Record<string, string> {
	const headers: Record<string, string> = {};
	for (const name of Object.keys(request.headers)) {
		const value = singleHeader(request, name);
		if (value !== undefined && !unforwardedHeaders.has(name)) {
			headers[name] = value;
		}
	}

	return headers;
}

/** Marks a failure that precedes the ledger lookup as `unknown` if the request has an idempotency key, as an earlier request with the same key may have run. */
function withUnknownExecutionIfKeyed(request: Request, failure: RequestFailure): RequestFailure {
	return singleHeader(request, 'idempotency-key') === undefined ? failure : {...failure, execution: 'unknown'};
}

function problemResponse(toolkit: ResponseToolkit, failure: RequestFailure): ResponseObject {
	const problem = toProblem(failure);
	const response = toolkit.response(problem.body).code(problem.status);
	for (const [name, value] of Object.entries(problem.headers)) {
		response.header(name, value);
	}

	return response;
}

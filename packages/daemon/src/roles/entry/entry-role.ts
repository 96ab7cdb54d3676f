/**
The entry role: tells callers which addresses to use, and takes their requests over HTTP.
*/

import {Buffer} from 'node:buffer';
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
import {
	err, type ClientAccountId, type Clock, type IdempotencyClass, type RequestFailure, type Result,
} from '@rattanspring/types';
import {AgentLinks} from '../../adapters/exchange/agent-link.js';
import {StreamFollower} from '../../adapters/stream-follower.js';
import type {InForceConfiguration} from '../../in-force-configuration.js';
import type {AgentConnections} from '../../ports/agent-connection.js';
import {Role} from '../../ports/role.js';
import {authenticate} from './authenticate.js';
import {followCallerTls, readCallerTls} from './caller-tls.js';
import type {CallerRequest} from './caller-request.js';
import {entriesMaxAgeMs, EntryAddresses} from './entry-addresses.js';
import {HttpCallerAnswer} from './http-caller-answer.js';
import {MeasuredAnswer} from './measured-answer.js';
import {modelList} from './model-list.js';
import {notRun, problemOf} from './problem.js';
import {RequestRunner} from './request-runner.js';
import {SuspectFollower} from './suspect-follower.js';
import {idempotencyClassOf} from './routes.js';
import {isOperatorSecret, ServiceLevelMonitor} from './service-level-monitor.js';

/** How often expired announcements are removed. */
const expireIntervalMs = 250;

/** Longest wait for requests in progress at shutdown. */
const drainLimitMs = 600_000;

const drainPollMs = 50;

/** The route of model requests. */
const chatPath = '/v1/chat/completions';

/** Request headers that belong to the caller's connection or to this entry. */
const ownHeaders = new Set(['authorization', 'host', 'connection', 'content-length', 'transfer-encoding', 'accept-encoding', 'keep-alive', 'expect', 'x-remaining-ms', 'idempotency-key']);

/** Options of the role. */
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

/** Serves callers. */
export class EntryRole extends Role {
	readonly #options: EntryRoleOptions;
	readonly #server: Server;
	readonly #directory: DirectoryState = emptyDirectory();
	readonly #agents: AgentConnections;
	readonly #directoryClients: GrpcClientPool<directoryProtocol.DirectoryClient>;
	readonly #runner: RequestRunner;
	readonly #monitor: ServiceLevelMonitor;
	readonly #addresses: EntryAddresses;
	readonly #suspects = new SuspectListCache();
	readonly #streams: Array<{stop(): void}> = [];
	#inProgress = 0;
	#isDraining = false;
	#expireTimer: NodeJS.Timeout | undefined;

	constructor(options: EntryRoleOptions) {
		super();
		this.#options = options;
		const {listen, maxBodyBytes} = options.settings;
		this.#server = createServer({
			host: listen.host, port: listen.port, compression: false, tls: readCallerTls(options.settings.transport), routes: {payload: {parse: false, output: 'data', maxBytes: maxBodyBytes}},
		});
		this.#agents = new AgentLinks({keys: options.keys});
		this.#directoryClients = new GrpcClientPool({clientClass: directoryProtocol.DirectoryClient, keys: options.keys});
		this.#addresses = new EntryAddresses({
			...options, ...options.settings, url: options.settings.advertisedUrl, clients: this.#directoryClients,
		});
		this.#monitor = new ServiceLevelMonitor({...options, directory: this.#directory});
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
		await this.#server.start();
		this.#streams.push({stop: followCallerTls(this.#options.settings.transport, this.#server.listener as unknown as TlsServer)});
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
		const earliest = clock.monotonicMs() + entriesMaxAgeMs;
		const latest = clock.monotonicMs() + drainLimitMs;
		while (clock.monotonicMs() < latest && (clock.monotonicMs() < earliest || this.#inProgress > 0)) {
			await new Promise(resolve => {
				setTimeout(resolve, drainPollMs);
			});
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

	#watchDirectory(): void {
		const {daemonId, failureDomain, settings} = this.#options;
		const follower = new StreamFollower<directoryProtocol.DirectoryUpdate>({
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
		const follower = new SuspectFollower({
			view: this.#suspects, relayAddresses: settings.relayAddresses, clients: this.#directoryClients, clock,
		});
		this.#streams.push(follower);
		follower.start();
	}

	#addRoutes(): void {
		this.#server.route({method: 'GET', path: '/v1/entries', handler: request => this.#addresses.answerFor(this.#callerOf(request))});
		this.#server.route({
			method: 'POST', path: chatPath, handler: (request, toolkit) => this.#serveModel(request, toolkit),
		});
		this.#server.route({
			method: 'GET', path: '/v1/requests/{requestId}', handler: (request, toolkit) => this.#resume(request, toolkit),
		});
		this.#server.route({method: 'GET', path: '/v1/models', handler: (request, toolkit) => this.#models(request, toolkit)});
		this.#server.route({method: 'GET', path: '/v1/targets', handler: (request, toolkit) => this.#targets(request, toolkit)});
		this.#server.route({method: 'GET', path: '/v1/service-level', handler: (request, toolkit) => this.#serviceLevel(request, toolkit)});
		this.#server.route({
			method: '*', path: '/{service}/{rest*}', handler: (request, toolkit) => this.#serveService(request, toolkit),
		});
	}

	/** The client account, or the address of a caller without a valid key. */
	#callerOf(request: Request): string {
		const {inForce, clock} = this.#options;
		const account = authenticate(inForce.configuration, headerOf(request, 'authorization'), clock.wallMs());
		return account.ok ? account.value : request.info.remoteAddress;
	}

	#serveModel(request: Request, toolkit: ResponseToolkit): ResponseObject | symbol {
		const model = modelOf(request.payload as Uint8Array | undefined);
		if (!model) {
			return respond(toolkit, notRun('malformedRequest', 'The body must be JSON with a "model".'));
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
		const account = this.#accountOf(request);
		if (!account.ok) {
			return respond(toolkit, refusalOfResend(request, account.failure));
		}

		const nowMs = clock.wallMs();

		const method = request.method.toUpperCase();
		const idempotencyClass: IdempotencyClass = idempotencyClassOf(inForce.configuration, {service, method, path}, nowMs);
		const defaultMs = effectiveDeadlineMs(inForce.configuration, {service, clientAccount: account.value}, nowMs);
		const remainingMs = Number(headerOf(request, 'x-remaining-ms') ?? defaultMs);
		const answer = new HttpCallerAnswer(request.raw.res);
		const admitted: CallerRequest = {
			clientAccount: account.value,
			service,
			method,
			path,
			headers: passedHeaders(request),
			body: (request.payload as Uint8Array | undefined) ?? Buffer.alloc(0),
			idempotencyClass,
			idempotencyKey: headerOf(request, 'idempotency-key'),
			deadlineMs: clock.monotonicMs() + (Number.isFinite(remainingMs) ? remainingMs : defaultMs),
		};
		const measured = new MeasuredAnswer(answer, clock);
		void this.#count(answer, async () => {
			await this.#runner.run(admitted, measured);
			this.#monitor.record(admitted, measured.notes);
		});
		return toolkit.abandon;
	}

	/** Sends the rest of an answer to its owner, whichever entry it began at. */
	#resume(request: Request, toolkit: ResponseToolkit): ResponseObject | symbol {
		const account = this.#accountOf(request);
		if (!account.ok) {
			return respond(toolkit, account.failure);
		}

		const {requestId} = request.params as {requestId: string};
		const lastEventId = headerOf(request, 'last-event-id') ?? '';
		const answer = new HttpCallerAnswer(request.raw.res);
		void this.#count(answer, async () => this.#runner.resume({requestId, clientAccount: account.value, lastEventId}, answer));
		return toolkit.abandon;
	}

	/** The models that targets serve now, in the shape that client libraries ask for first. */
	#models(request: Request, toolkit: ResponseToolkit): ResponseObject {
		const account = this.#accountOf(request);
		return account.ok ? toolkit.response(modelList(this.#directory)) : respond(toolkit, account.failure);
	}

	/** The targets that this entry knows; for operators. */
	#targets(request: Request, toolkit: ResponseToolkit): ResponseObject {
		const {inForce, clock} = this.#options;
		if (!isOperatorSecret(inForce.configuration, headerOf(request, 'authorization'), clock.wallMs())) {
			return respond(toolkit, notRun('unauthenticated', 'Send an operator key as "Authorization: Bearer KEY".'));
		}

		return toolkit.response({targets: [...this.#directory.targets.values()].map(entry => entry.announcement)});
	}

	/** The parts of the service-level report: everything for an operator, a caller's own for a caller. */
	#serviceLevel(request: Request, toolkit: ResponseToolkit): ResponseObject {
		const {inForce, clock} = this.#options;
		if (isOperatorSecret(inForce.configuration, headerOf(request, 'authorization'), clock.wallMs())) {
			return toolkit.response({parts: this.#monitor.parts()});
		}

		const account = this.#accountOf(request);
		return account.ok ? toolkit.response({parts: this.#monitor.parts(account.value)}) : respond(toolkit, account.failure);
	}

	#accountOf(request: Request): Result<ClientAccountId, RequestFailure> {
		const {inForce, clock} = this.#options;
		if (!inForce.isConfirmed) {
			return err(notRun('configurationNotInForce', 'This entry has not learned the configuration yet.', 1000));
		}

		return authenticate(inForce.configuration, headerOf(request, 'authorization'), clock.wallMs());
	}

	/** Counts a request as in progress until its final answer is written. */
	async #count(answer: HttpCallerAnswer, run: () => Promise<void>): Promise<void> {
		this.#inProgress++;
		try {
			await run();
			await answer.finished();
		} catch (error) {
			// Nothing is known about the request; one fault must not end the other requests of this process.
			this.#options.logger.log('error', 'requestFault', {reason: String(error)});
			answer.fail({type: 'internal', message: 'The entry failed.', execution: 'unknown'});
		} finally {
			this.#inProgress--;
		}
	}
}

function modelOf(payload: Uint8Array | undefined): string | undefined {
	const body = payload ? fromJsonBytes<{model?: unknown}>(payload) : undefined;
	return typeof body?.model === 'string' ? body.model : undefined;
}

function headerOf(request: Request, name: string): string | undefined {
	const value = request.headers[name] as string | string[] | undefined;
	return typeof value === 'string' ? value : undefined;
}

function passedHeaders(request: Request): Record<string, string> {
	const headers: Record<string, string> = {};
	for (const name of Object.keys(request.headers)) {
		const value = headerOf(request, name);
		if (value !== undefined && !ownHeaders.has(name)) {
			headers[name] = value;
		}
	}

	return headers;
}

/** A refusal before the ledger was asked says nothing about an earlier request with the same key. */
function refusalOfResend(request: Request, failure: RequestFailure): RequestFailure {
	return headerOf(request, 'idempotency-key') === undefined ? failure : {...failure, execution: 'unknown'};
}

function respond(toolkit: ResponseToolkit, failure: RequestFailure): ResponseObject {
	const problem = problemOf(failure);
	const response = toolkit.response(problem.body).code(problem.status);
	for (const [name, value] of Object.entries(problem.headers)) {
		response.header(name, value);
	}

	return response;
}

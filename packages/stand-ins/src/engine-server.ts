/**
The HTTP interface of the model engine: chat completions as server-sent events, load reports with a configurable lag,
cache events with gaps, orders with fencing numbers, and cancellation, export and import of requests.
*/

import type {ServerResponse} from 'node:http';
import {
	server as createServer, type Server, type Request, type ResponseToolkit,
} from '@hapi/hapi';
import * as z from 'zod';
import {
	defaultEngineOptions, EngineCore, type EngineEvent, type EngineLoad, type EngineOptions, type EngineRequest,
} from './engine-core.js';

export type EngineServerOptions = {
	readonly host: string;
	/** Port to listen on; 0 selects any free port. */
	readonly port: number;
	readonly engine?: Partial<EngineOptions>;
	/** Age of the reported load. */
	readonly loadLagMs?: number;
	/** Omits every n-th cache event from the published events; 0 omits none. */
	readonly cacheEventGap?: number;
	/** Whether an order is rejected if its fencing number is lower than the highest one seen. */
	readonly checksFencing?: boolean;
	/** The engine crashes on a prompt that contains this text. */
	readonly crashText?: string;
	/** Called when the engine crashes: a separate process exits, a test closes the server. */
	readonly onCrash?: () => void;
};

const chatSchema = z.object({
	model: z.string(),
	messages: z.array(z.object({role: z.string(), content: z.string()})).min(1),
	max_tokens: z.int().min(1).max(100_000).default(32),
	stream: z.boolean().default(false),
	priority: z.number().default(0),
});

const orderSchema = z.object({
	fencingNumber: z.int(), kind: z.enum(['loadModel', 'loadAdapter', 'loadVersion', 'setRole', 'loadExperts', 'activateMap']), name: z.string(),
});

/** An order that the engine has executed. */
export type EngineOrder = z.infer<typeof orderSchema>;

const requestSchema = z.object({
	requestId: z.string(), prompt: z.string(), maxTokens: z.int(), priority: z.number(), cacheSalt: z.string(), generatedTokens: z.int(),
});

/** Serves an engine over HTTP. */
export class EngineServer {
	readonly #options: EngineServerOptions;
	readonly #core: EngineCore;
	readonly #server: Server;
	readonly #orders: EngineOrder[] = [];
	readonly #loads: Array<{atMs: number; load: EngineLoad}> = [];
	readonly #runs = new Map<string, number>();
	#highestFencingNumber = 0;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: EngineServerOptions) {
		this.#options = options;
		this.#core = new EngineCore({...defaultEngineOptions, ...options.engine});
		this.#server = createServer({host: options.host, port: options.port, compression: false});
	}

	/** Base URL; valid once the server has started. */
	get url(): string {
		return this.#server.info.uri;
	}

	/** Executed orders, oldest first. */
	get orders(): readonly EngineOrder[] {
		return this.#orders;
	}

	/** Number of executions of each prompt, for tests that verify how often a prompt ran. */
	get runs(): ReadonlyMap<string, number> {
		return this.#runs;
	}

	/** Starts the HTTP server and the step timer. */
	async start(): Promise<void> {
		this.#server.route({method: 'POST', path: '/v1/chat/completions', handler: (request, toolkit) => this.#chat(request, toolkit)});
		this.#server.route({method: 'GET', path: '/load', handler: () => this.#reportedLoad()});
		this.#server.route({method: 'GET', path: '/cache-events', handler: () => this.#publishedCacheEvents()});
		this.#server.route({method: 'GET', path: '/runs', handler: () => Object.fromEntries(this.#runs)});
		this.#server.route({method: 'POST', path: '/orders', handler: (request, toolkit) => this.#order(request, toolkit)});
		this.#server.route({method: 'POST', path: '/requests/{id}/cancel', handler: request => ({cancelled: this.#core.cancel((request.params as {id: string}).id)})});
		this.#server.route({
			method: 'POST', path: '/requests/{id}/export', handler: (request, toolkit) => this.#export(request, toolkit),
		});
		this.#server.route({method: 'POST', path: '/requests/import', handler: (request, toolkit) => this.#import(request, toolkit)});
		await this.#server.start();
		const {stepMs} = {...defaultEngineOptions, ...this.#options.engine};
		this.#timer = setInterval(() => {
			this.#core.step();
			this.#recordLoad();
		}, stepMs);
	}

	/** Closes every connection, as a crash would, but keeps running. */
	breakConnections(): void {
		this.#server.listener.closeAllConnections();
	}

	/** Stops the step timer and the server without waiting for open connections. */
	async stop(): Promise<void> {
		clearInterval(this.#timer);
		await this.#server.stop({timeout: 0});
	}

	#chat(request: Request, toolkit: ResponseToolkit): ReturnType<ResponseToolkit['response']> | symbol {
		const parsed = chatSchema.safeParse(request.payload);
		if (!parsed.success) {
			return toolkit.response({type: 'malformedRequest', message: parsed.error.message}).code(400);
		}

		const {messages, max_tokens: maxTokens, stream, priority} = parsed.data;
		const prompt = messages.map(message => `${message.role}: ${message.content}`).join('\n');
		this.#runs.set(prompt, (this.#runs.get(prompt) ?? 0) + 1);
		if (this.#options.crashText && prompt.includes(this.#options.crashText)) {
			this.#options.onCrash?.();
			request.raw.res.destroy();
			return toolkit.abandon;
		}

		const requestId = headerValue(request, 'x-request-id') ?? `local-${request.info.id}`;
		const engineRequest: EngineRequest = {
			requestId, prompt, maxTokens, priority, cacheSalt: headerValue(request, 'x-cache-salt') ?? '', generatedTokens: 0,
		};
		this.#answer(request.raw.res, stream, engineRequest, listener => {
			this.#core.submit(engineRequest, listener);
		});
		return toolkit.abandon;
	}

	#export(request: Request, toolkit: ResponseToolkit): EngineRequest | ReturnType<ResponseToolkit['response']> {
		const {id} = request.params as {id: string};
		return this.#core.exportRequest(id) ?? toolkit.response({type: 'unknownRequest'}).code(404);
	}

	#import(request: Request, toolkit: ResponseToolkit): ReturnType<ResponseToolkit['response']> | symbol {
		const parsed = requestSchema.safeParse(request.payload);
		if (!parsed.success) {
			return toolkit.response({type: 'malformedRequest', message: parsed.error.message}).code(400);
		}

		this.#answer(request.raw.res, true, parsed.data, listener => {
			this.#core.importRequest(parsed.data, listener);
		});
		return toolkit.abandon;
	}

	#answer(response: ServerResponse, isStream: boolean, request: EngineRequest, submit: (listener: (event: EngineEvent) => void) => void): void {
		response.on('close', () => {
			this.#core.cancel(request.requestId);
		});
		if (isStream) {
			response.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store'});
			submit(event => {
				writeEvent(response, request, event);
			});
			return;
		}

		const tokens: string[] = [];
		submit(event => {
			if (event.kind === 'token') {
				tokens.push(event.text);
				return;
			}

			response.writeHead(200, {'content-type': 'application/json'});
			response.end(JSON.stringify({id: request.requestId, choices: [{message: {role: 'assistant', content: tokens.join(' ')}, finish_reason: event.reason}]}));
		});
	}

	#order(request: Request, toolkit: ResponseToolkit): ReturnType<ResponseToolkit['response']> {
		const parsed = orderSchema.safeParse(request.payload);
		if (!parsed.success) {
			return toolkit.response({type: 'malformedOrder', message: parsed.error.message}).code(400);
		}

		const order = parsed.data;
		if (this.#options.checksFencing && order.fencingNumber < this.#highestFencingNumber) {
			return toolkit.response({type: 'oldFencingNumber', highest: this.#highestFencingNumber}).code(409);
		}

		this.#highestFencingNumber = Math.max(this.#highestFencingNumber, order.fencingNumber);
		this.#orders.push(order);
		return toolkit.response({done: true});
	}

	#recordLoad(): void {
		const nowMs = Date.now();
		const lagMs = this.#options.loadLagMs ?? 0;
		this.#loads.push({atMs: nowMs, load: this.#core.load});
		while (this.#loads.length > 1 && this.#loads[1].atMs <= nowMs - lagMs) {
			this.#loads.shift();
		}
	}

	#reportedLoad(): EngineLoad {
		return this.#loads.at(0)?.load ?? this.#core.load;
	}

	#publishedCacheEvents(): unknown {
		const interval = this.#options.cacheEventGap ?? 0;
		return this.#core.cacheEvents.filter(event => interval === 0 || event.sequence % interval !== interval - 1);
	}
}

function headerValue(request: Request, name: string): string | undefined {
	const value = request.headers[name] as string | string[] | undefined;
	return typeof value === 'string' ? value : undefined;
}

function writeEvent(response: ServerResponse, request: EngineRequest, event: EngineEvent): void {
	const id = request.requestId;
	if (event.kind === 'token') {
		const chunk = {id, choices: [{index: 0, delta: {content: `${event.text} `}, finish_reason: null}]};
		response.write(`id: ${event.index}\ndata: ${JSON.stringify(chunk)}\n\n`);
		return;
	}

	const finalChunk = {id, choices: [{index: 0, delta: {}, finish_reason: event.reason}]};
	response.end(`data: ${JSON.stringify(finalChunk)}\n\ndata: [DONE]\n\n`);
}

/** Runs one attempt against its target over HTTP and writes the answer to the attempt's buffer. */

import {Buffer} from 'node:buffer';
import {Agent, type IncomingMessage} from 'node:http';
import Wreck from '@hapi/wreck';
import type {TargetSettings} from '@rattanspring/settings';
import {FailureError, type RequestFailureType} from '@rattanspring/types';
import {createFailure, type Attempt} from './attempt-table.js';
import {hasCrashed} from './crash-check.js';
import {isConnectionRefused} from './engine-load.js';
import type {StreamMemory} from './stream-memory.js';

/** Headers that belong to one connection and are not passed on. */
const connectionHeaders = new Set(['connection', 'keep-alive', 'transfer-encoding', 'content-length', 'upgrade', 'te', 'trailer', 'proxy-authenticate', 'proxy-authorization']);

/** Pause between looks for free stream memory while the target is not read. */
const roomPollMs = 10;

/** Time for a target to take a cancel. */
const cancelTimeoutMs = 2000;

/** How long an idle connection to a target is kept; shorter than targets keep theirs. */
const idleConnectionMs = 2000;

const keptConnections = new Agent({keepAlive: true, timeout: idleConnectionMs});
const freshConnections = new Agent({keepAlive: false});

/** Last event of a whole stream of a model engine. */
const lastEvent = 'data: [DONE]';

/** Bytes at the end of a stream in which its last event is looked for. */
const tailBytes = 64;

/** Options of a run. */
export type TargetRunOptions = {
	readonly target: TargetSettings;
	readonly attempt: Attempt;
	readonly memory: StreamMemory;
	/** Called when the target begins to answer. */
	readonly onFirstByte?: () => void;
};

type Stop = {readonly type: RequestFailureType; readonly message: string};

/** One run of one attempt. */
export class TargetRun {
	readonly #options: TargetRunOptions;
	readonly #aborts = new AbortController();
	#answer: IncomingMessage | undefined;
	#stop: Stop | undefined;

	constructor(options: TargetRunOptions) {
		this.#options = options;
	}

	/** Name of the attempt at the target. */
	get #targetRequestId(): string {
		const {requestId, attempt} = this.#options.attempt.request;
		return `${requestId}.${attempt}`;
	}

	/** Stops the target's work on the attempt. */
	abort(type: RequestFailureType, message: string): void {
		if (this.#stop) {
			return;
		}

		this.#stop = {type, message};
		this.#aborts.abort();
		this.#answer?.destroy();
		void this.#cancelAtEngine();
	}

	/** Sends the request and copies the answer; ends the buffer in every case. Returns whether the answer was whole. */
	async run(): Promise<boolean> {
		const {buffer, request} = this.#options.attempt;
		const timer = setTimeout(() => {
			this.abort('deadlineExceeded', 'The request did not end before its deadline.');
		}, request.remainingMs);
		try {
			await this.#copy(await this.#send());
			buffer.end();
			return true;
		} catch (error) {
			const {type, message} = this.#stop ?? await this.#failureAfter(error);
			buffer.refuse(createFailure(type, message));
			return false;
		} finally {
			clearTimeout(timer);
		}
	}

	/** Tells a crash of the target during the run from other failures. A target that was down before did not crash on this request. */
	async #failureAfter(error: unknown): Promise<Stop> {
		const wasDown = isConnectionRefused(error);
		const isCrash = !wasDown && await hasCrashed(this.#options.target.baseUrl);
		return {type: isCrash ? 'targetCrashed' : 'targetFailed', message: `The target failed: ${String(error)}`};
	}

	async #send(): Promise<IncomingMessage> {
		const {target, attempt} = this.#options;
		const {
			method, path, headers, body, claimed,
		} = attempt.request;
		const sent = Wreck.request(method, new URL(path, target.baseUrl).href, {
			payload: body.length > 0 ? body : undefined,
			headers: {...headers, 'x-request-id': this.#targetRequestId},
			// A kept connection may be closed by the target just as it is used, and then nobody knows whether the request ran.
			agent: claimed ? freshConnections : keptConnections,
		});
		const {req} = sent as unknown as {readonly req?: {destroy(): void}};
		this.#aborts.signal.addEventListener('abort', () => {
			req?.destroy();
		});
		this.#answer = await sent;
		this.#throwIfStopped();
		return this.#answer;
	}

	async #copy(answer: IncomingMessage): Promise<void> {
		const {buffer} = this.#options.attempt;
		const headers = passedHeaders(answer);
		requireDelimited(answer);
		this.#options.onFirstByte?.();
		buffer.head({status: answer.statusCode ?? 502, headers});
		const tail = await this.#copyBody(answer);
		this.#throwIfStopped();
		const isModelStream = this.#options.target.kind === 'model' && headers['content-type']?.startsWith('text/event-stream');
		if (!answer.complete || (isModelStream && !tail.includes(lastEvent))) {
			throw truncated();
		}
	}

	/** Copies the body as it comes; returns its last bytes as text. Listeners cost less for a token than an iteration. */
	async #copyBody(answer: IncomingMessage): Promise<string> {
		const {buffer} = this.#options.attempt;
		let tail = '';
		return new Promise((resolve, reject) => {
			answer.on('data', (chunk: Uint8Array) => {
				buffer.data(chunk);
				tail = (tail + Buffer.from(chunk.subarray(-tailBytes)).toString('latin1')).slice(-tailBytes);
				if (!this.#options.memory.hasRoom()) {
					answer.pause();
					this.#waitForRoom().then(() => answer.resume(), reject);
				}
			});
			answer.on('end', () => {
				resolve(tail);
			});
			answer.on('error', reject);
			answer.on('close', () => {
				reject(truncated());
			});
		});
	}

	async #waitForRoom(): Promise<void> {
		while (!this.#options.memory.hasRoom()) {
			this.#throwIfStopped();
			await new Promise(resolve => {
				setTimeout(resolve, roomPollMs);
			});
		}
	}

	#throwIfStopped(): void {
		if (this.#stop) {
			throw new FailureError(this.#stop);
		}
	}

	async #cancelAtEngine(): Promise<void> {
		const {target} = this.#options;
		if (target.kind !== 'model') {
			return;
		}

		const url = new URL(`/requests/${encodeURIComponent(this.#targetRequestId)}/cancel`, target.baseUrl);
		try {
			await Wreck.post(url.href, {timeout: cancelTimeoutMs});
		} catch {
			// The engine is gone, or has noticed the closed connection before.
		}
	}
}

/** An answer that ends with its connection cannot be told from one that was cut short. */
function requireDelimited(answer: IncomingMessage): void {
	const hasNoBody = answer.statusCode === 204 || answer.statusCode === 304;
	const isDelimited = hasNoBody || answer.headers['content-length'] !== undefined || answer.headers['transfer-encoding'] !== undefined;
	if (!isDelimited) {
		throw truncated();
	}
}

function truncated(): FailureError {
	return new FailureError({type: 'answerTruncated', message: 'The answer of the target ended early.'});
}

function passedHeaders(answer: IncomingMessage): Record<string, string> {
	const headers: Record<string, string> = {};
	for (const [name, value] of Object.entries(answer.headers)) {
		if (typeof value === 'string' && !connectionHeaders.has(name)) {
			headers[name] = value;
		}
	}

	return headers;
}

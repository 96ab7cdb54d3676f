/** Runs one attempt against its target over HTTP and writes the response to the attempt's buffer. */

import {Buffer} from 'node:buffer';
import {Agent, type IncomingMessage} from 'node:http';
import Wreck from '@hapi/wreck';
import type {TargetSettings} from '@rattanspring/settings';
import {FailureError, isHttpStatus, type RequestFailureType} from '@rattanspring/types';
import {createFailure, type Attempt} from './attempt-table.js';
import {hasCrashed} from './crash-check.js';
import {isConnectionRefused} from './engine-load.js';
import type {StreamMemory} from './stream-memory.js';

/** Headers that apply to a single connection and are not forwarded. */
const hopByHopHeaders = new Set(['connection', 'keep-alive', 'transfer-encoding', 'content-length', 'upgrade', 'te', 'trailer', 'proxy-authenticate', 'proxy-authorization']);

/** Interval between checks for free stream memory while reading from the target is paused. */
const memoryPollIntervalMs = 10;

/** Timeout of a cancel request to a target. */
const cancelTimeoutMs = 2000;

/** Idle time after which a connection to a target is closed; shorter than the targets' own idle timeout. */
const idleConnectionTimeoutMs = 2000;

const keepAliveAgent = new Agent({keepAlive: true, timeout: idleConnectionTimeoutMs});
const singleUseAgent = new Agent({keepAlive: false});

/** Last event of a complete stream from a model engine. */
const endOfStreamEvent = 'data: [DONE]';

/** Number of bytes at the end of a stream that are searched for its last event. */
const tailBytes = 64;

/** Options of a run. */
export type TargetRunOptions = {
	readonly target: TargetSettings;
	readonly attempt: Attempt;
	readonly memory: StreamMemory;
	/** Called when the target starts to respond. */
	readonly onFirstByte?: () => void;
};

type StopReason = {readonly type: RequestFailureType; readonly message: string};

/** Executes one attempt once. */
export class TargetRun {
	readonly #options: TargetRunOptions;
	readonly #abortController = new AbortController();
	#answer: IncomingMessage | undefined;
	#stop: StopReason | undefined;

	constructor(options: TargetRunOptions) {
		this.#options = options;
	}

	/** Identifies the attempt to the target. */
	get #targetRequestId(): string {
		const {requestId, attempt} = this.#options.attempt.request;
		return `${requestId}.${attempt}`;
	}

	/** Aborts the request and cancels it at the target; only the first call has an effect. */
	abort(type: RequestFailureType, message: string): void {
		if (this.#stop) {
			return;
		}

		this.#stop = {type, message};
		this.#abortController.abort();
		this.#answer?.destroy();
		void this.#cancelAtTarget();
	}

	/** Sends the request and copies the response; always ends the buffer. Resolves to whether the response was complete. */
	async run(): Promise<boolean> {
		const {buffer, request} = this.#options.attempt;
		const timer = setTimeout(() => {
			this.abort('deadlineExceeded', 'The target did not complete the response before the deadline.');
		}, request.remainingMs);
		try {
			await this.#copyResponse(await this.#send());
			buffer.end();
			return true;
		} catch (error) {
			const {type, message} = this.#stop ?? await this.#classifyFailure(error);
			buffer.refuse(createFailure(type, message));
			return false;
		} finally {
			clearTimeout(timer);
		}
	}

	/** Distinguishes a crash of the target during the run from other failures. A target that refused the connection was down before and did not crash on this request. */
	async #classifyFailure(error: unknown): Promise<StopReason> {
		const wasConnectionRefused = isConnectionRefused(error);
		const isCrash = !wasConnectionRefused && await hasCrashed(this.#options.target.baseUrl);
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
			// The target may close a reused connection just as a request is sent on it, and then it is unknown whether the request ran.
			agent: claimed ? singleUseAgent : keepAliveAgent,
		});
		const {req} = sent as unknown as {readonly req?: {destroy(): void}};
		this.#abortController.signal.addEventListener('abort', () => {
			req?.destroy();
		});
		this.#answer = await sent;
		this.#throwIfStopped();
		return this.#answer;
	}

	async #copyResponse(answer: IncomingMessage): Promise<void> {
		const {buffer} = this.#options.attempt;
		const headers = endToEndHeaders(answer);
		requireStatus(answer);
		requireFraming(answer);
		this.#options.onFirstByte?.();
		buffer.head({status: answer.statusCode ?? 502, headers});
		const tail = await this.#copyBody(answer);
		this.#throwIfStopped();
		const isModelStream = this.#options.target.kind === 'model' && headers['content-type']?.startsWith('text/event-stream');
		if (!answer.complete || (isModelStream && !tail.includes(endOfStreamEvent))) {
			throw truncationError();
		}
	}

	/** Copies the body as it arrives; resolves to its last bytes as text. Event listeners cost less per token than async iteration. */
	async #copyBody(answer: IncomingMessage): Promise<string> {
		const {buffer} = this.#options.attempt;
		let tail = '';
		return new Promise((resolve, reject) => {
			answer.on('data', (chunk: Uint8Array) => {
				buffer.data(chunk);
				tail = (tail + Buffer.from(chunk.subarray(-tailBytes)).toString('latin1')).slice(-tailBytes);
				if (!this.#options.memory.hasCapacity()) {
					answer.pause();
					this.#waitForMemory().then(() => answer.resume(), reject);
				}
			});
			answer.on('end', () => {
				resolve(tail);
			});
			answer.on('error', reject);
			answer.on('close', () => {
				reject(truncationError());
			});
		});
	}

	async #waitForMemory(): Promise<void> {
		while (!this.#options.memory.hasCapacity()) {
			this.#throwIfStopped();
			await new Promise(resolve => {
				setTimeout(resolve, memoryPollIntervalMs);
			});
		}
	}

	#throwIfStopped(): void {
		if (this.#stop) {
			throw new FailureError(this.#stop);
		}
	}

	async #cancelAtTarget(): Promise<void> {
		const {target} = this.#options;
		if (target.kind !== 'model') {
			return;
		}

		const url = new URL(`/requests/${encodeURIComponent(this.#targetRequestId)}/cancel`, target.baseUrl);
		try {
			await Wreck.post(url.href, {timeout: cancelTimeoutMs});
		} catch {
			// The engine has stopped, or has already cancelled the request because its connection closed.
		}
	}
}

/** Rejects a response whose status HTTP does not know. */
function requireStatus({statusCode = 0}: IncomingMessage): void {
	if (!isHttpStatus(statusCode)) {
		throw new FailureError({type: 'answerInvalid', message: `The response of the target has the status ${statusCode}.`});
	}
}

/** Rejects a response that is delimited only by the end of its connection: it cannot be distinguished from a truncated one. */
function requireFraming(answer: IncomingMessage): void {
	const hasNoBody = answer.statusCode === 204 || answer.statusCode === 304;
	const isFramed = hasNoBody || answer.headers['content-length'] !== undefined || answer.headers['transfer-encoding'] !== undefined;
	if (!isFramed) {
		throw truncationError();
	}
}

function truncationError(): FailureError {
	return new FailureError({type: 'answerTruncated', message: 'The response of the target was truncated.'});
}

function endToEndHeaders(answer: IncomingMessage): Record<string, string> {
	const headers: Record<string, string> = {};
	for (const [name, value] of Object.entries(answer.headers)) {
		if (typeof value === 'string' && !hopByHopHeaders.has(name)) {
			headers[name] = value;
		}
	}

	return headers;
}

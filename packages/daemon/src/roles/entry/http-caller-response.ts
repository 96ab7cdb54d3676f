/** The response to a caller over HTTP. */

import type {ServerResponse} from 'node:http';
import type {RequestFailure} from '@rattanspring/types';
import {CallerResponse} from './caller-response.js';
import {toProblem} from './problem.js';

/** Writes to a response of Node's HTTP server. */
export class HttpCallerResponse extends CallerResponse {
	readonly #response: ServerResponse;

	constructor(response: ServerResponse) {
		super();
		this.#response = response;
	}

	get isStarted(): boolean {
		return this.#response.headersSent;
	}

	get isClosed(): boolean {
		return this.#response.destroyed;
	}

	get isResumable(): boolean {
		return this.#response.headersSent && String(this.#response.getHeader('content-type')).startsWith('text/event-stream');
	}

	head(status: number, headers: Readonly<Record<string, string>>): void {
		for (const [name, value] of Object.entries(headers)) {
			this.#response.setHeader(name, value);
		}

		this.#response.writeHead(status);
		this.#response.flushHeaders();
	}

	async data(bytes: Uint8Array): Promise<void> {
		if (bytes.length === 0 || this.#response.destroyed || this.#response.write(bytes)) {
			return;
		}

		await new Promise<void>(resolve => {
			const done = (): void => {
				this.#response.off('drain', done);
				this.#response.off('close', done);
				resolve();
			};

			this.#response.on('drain', done);
			this.#response.on('close', done);
		});
	}

	end(): void {
		this.#response.end();
	}

	fail(failure: RequestFailure): void {
		if (this.isStarted) {
			this.#response.destroy();
			return;
		}

		const problem = toProblem(failure);
		this.#response.writeHead(problem.status, problem.headers);
		this.#response.end(problem.body);
	}

	/** Resolves when the response has been handed to the operating system or the caller has disconnected. */
	async finished(): Promise<void> {
		const response = this.#response;
		if (response.writableFinished || response.destroyed) {
			return;
		}

		await new Promise<void>(resolve => {
			response.once('finish', resolve);
			response.once('close', resolve);
		});
	}
}

/** The response to a caller. */

import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {ResponseHead} from '@rattanspring/target-connection';
import type {HeaderCodec} from './call-dialect.js';

/** Whether a request ran, as far as the entry knows. */
export type Execution = 'didNotRun' | 'unknown';

/** Writes the response to one caller. Ignores writes after the end of the response and after the caller disconnected. */
export class CallerAnswer {
	readonly #response: ServerResponse;
	readonly #dialect: HeaderCodec;
	#isOver = false;

	constructor(response: ServerResponse, dialect: HeaderCodec) {
		this.#response = response;
		this.#dialect = dialect;
	}

	/** Whether the response has ended. */
	get isOver(): boolean {
		return this.#isOver;
	}

	/** Whether the head of the response has been sent. */
	get isBegun(): boolean {
		return this.#response.headersSent;
	}

	/** Sends 503 with a guarantee that the request did not run, and the time after which to retry. */
	refuse(reason: string, retryAfterMs: number): void {
		this.#problem(503, reason, 'didNotRun', this.#dialect.refusalHeaders(retryAfterMs));
	}

	/** Reports that no target returned a response; the request may have run. Closes the connection if the response has started. */
	fail(status: 502 | 504, reason: string): void {
		if (this.isBegun) {
			this.breakOff();
		} else {
			this.#problem(status, reason, 'unknown');
		}
	}

	/** Rejects a request that is malformed or that the desired state does not allow. */
	reject(status: number, reason: string): void {
		this.#problem(status, reason, 'didNotRun');
	}

	/** Forwards a complete response. */
	pass(head: ResponseHead, body: Buffer): void {
		if (this.#begin(head, ['Content-Length', String(body.byteLength)])) {
			this.#isOver = true;
			this.#response.end(body);
		}
	}

	/** Forwards the head of a stream. */
	beginStream(head: ResponseHead): void {
		this.#begin(head, []);
	}

	/** Forwards a part of a stream. */
	write(bytes: Buffer): void {
		if (!this.#isOver) {
			this.#response.write(bytes);
		}
	}

	/** Ends a complete stream. */
	end(): void {
		if (!this.#isOver) {
			this.#isOver = true;
			this.#response.end();
		}
	}

	/** Closes the connection, so that the caller can't take the response for complete. */
	breakOff(): void {
		this.#isOver = true;
		this.#response.destroy();
	}

	#begin(head: ResponseHead, framing: readonly string[]): boolean {
		if (this.#isOver || this.isBegun) {
			return false;
		}

		this.#response.writeHead(head.status, [...this.#dialect.callerHeaders(head), ...framing]);
		return true;
	}

	#problem(status: number, reason: string, execution: Execution, headers: Readonly<Record<string, string>> = {}): void {
		if (this.#isOver) {
			return;
		}

		this.#isOver = true;
		const body = Buffer.from(JSON.stringify({type: `urn:rattanspring:${reason}`, status, execution}));
		this.#response.writeHead(status, {'Content-Type': 'application/problem+json', 'Content-Length': body.byteLength, ...headers});
		this.#response.end(body);
	}
}

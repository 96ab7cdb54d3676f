/** The one answer that a caller gets. */

import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {AnswerHead} from '@rattanspring/target-connection';
import type {CallDialect} from './call-dialect.js';

/** Whether a request ran, as far as its entry knows. */
export type Execution = 'didNotRun' | 'unknown';

/** Writes to one caller. Nothing is written after the end, nor to a caller that left. */
export class CallerAnswer {
	readonly #response: ServerResponse;
	readonly #dialect: CallDialect;
	#isOver = false;

	constructor(response: ServerResponse, dialect: CallDialect) {
		this.#response = response;
		this.#dialect = dialect;
	}

	/** Whether the answer has ended. */
	get isOver(): boolean {
		return this.#isOver;
	}

	/** Whether a part of the answer has gone out. */
	get isBegun(): boolean {
		return this.#response.headersSent;
	}

	/** Promises that the request did not run, and tells when to come back. */
	refuse(reason: string, retryAfterMs: number): void {
		this.#problem(503, reason, 'didNotRun', this.#dialect.refusalHeaders(retryAfterMs));
	}

	/** Says that no answer came; the request may have run. */
	fail(status: 502 | 504, reason: string): void {
		if (this.isBegun) {
			this.breakOff();
		} else {
			this.#problem(status, reason, 'unknown');
		}
	}

	/** Turns down a request that the desired state does not allow, or that cannot be read. */
	reject(status: number, reason: string): void {
		this.#problem(status, reason, 'didNotRun');
	}

	/** Passes on a whole answer. */
	pass(head: AnswerHead, body: Buffer): void {
		if (this.#begin(head, ['Content-Length', String(body.byteLength)])) {
			this.#isOver = true;
			this.#response.end(body);
		}
	}

	/** Passes on the head of a stream. */
	beginStream(head: AnswerHead): void {
		this.#begin(head, []);
	}

	/** Passes on a part of a stream. */
	write(bytes: Buffer): void {
		if (!this.#isOver) {
			this.#response.write(bytes);
		}
	}

	/** Ends a stream as complete. */
	end(): void {
		if (!this.#isOver) {
			this.#isOver = true;
			this.#response.end();
		}
	}

	/** Ends the connection, so that the answer cannot be taken for complete. */
	breakOff(): void {
		this.#isOver = true;
		this.#response.destroy();
	}

	#begin(head: AnswerHead, framing: readonly string[]): boolean {
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

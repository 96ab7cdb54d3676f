/** The response to a caller. */

import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {ByteCollector} from '@rattanspring/byte-collector';
import type {ResponseHead} from '@rattanspring/target-connection';
import type {HeaderCodec} from './header-codec.js';

/** A body is written in parts of this size, so that it shows whether its caller reads it. */
const partBytes = 262_144;

/** Whether a request ran, as far as the entry knows. */
export type Execution = 'didNotRun' | 'unknown';

/**
Writes the response to one caller. Ignores writes after the end of the response and after the caller disconnected.
A response that has started is never followed by another one: it is broken off.
*/
export class CallerResponse {
	readonly #response: ServerResponse;
	readonly #headerCodec: HeaderCodec;
	#isFinished = false;
	/** Parts of a stream that wait for the part before them to be written, in one piece. */
	readonly #waiting = new ByteCollector();
	#isWriting = false;
	/** Bytes of a whole body that were not written yet. */
	#leftBytes = 0;
	/** Size of a whole body. */
	#wholeBytes = 0;
	#givenBytes = 0;

	constructor(response: ServerResponse, headerCodec: HeaderCodec) {
		this.#response = response;
		this.#headerCodec = headerCodec;
	}

	/** Whether the response has ended. */
	get isFinished(): boolean {
		return this.#isFinished;
	}

	/** Whether the head of the response has been sent. */
	get isStarted(): boolean {
		return this.#response.headersSent;
	}

	/** Whether the caller has closed its connection. This is known before the response reports its close, which takes a further turn of the event loop. */
	get hasCallerLeft(): boolean {
		return this.#response.destroyed || this.#response.socket?.readableEnded === true;
	}

	/** Memory of what waits to be sent, as the caller has not read what came before: of a whole body all, as long as a part of it waits. */
	get unsentBytes(): number {
		const isBodyHeld = this.#wholeBytes > 0 && this.#response.writableLength + this.#leftBytes > 0;
		return isBodyHeld ? this.#wholeBytes : this.#response.writableLength + this.#waiting.heldBytes;
	}

	/** Bytes of the body that were sent. */
	get deliveredBytes(): number {
		return this.#givenBytes - this.#response.writableLength - this.#waiting.length - this.#leftBytes;
	}

	/** Sends 503 with a guarantee that the request did not run, and the time after which to retry. */
	refuse(reason: string, retryAfterMs: number): void {
		this.#sendProblem(503, reason, 'didNotRun', this.#headerCodec.refusalHeaders(retryAfterMs));
	}

	/** Reports that no target returned a response; the request may have run. */
	fail(status: 502 | 504, reason: string): void {
		this.#sendProblem(status, reason, 'unknown');
	}

	/** Rejects a request that is malformed or that the desired state does not allow. */
	reject(status: number, reason: string): void {
		this.#sendProblem(status, reason, 'didNotRun');
	}

	/** Forwards a complete response. */
	pass(head: ResponseHead, body: Buffer): void {
		if (this.#canBegin()) {
			this.#sendHead(head, ['Content-Length', String(body.byteLength)]);
			this.#isFinished = true;
			this.#givenBytes = body.byteLength;
			this.#wholeBytes = body.byteLength;
			this.#writeParts(body);
		}
	}

	/** Forwards the head of a stream. */
	startStream(head: ResponseHead): void {
		if (this.#canBegin()) {
			this.#sendHead(head, []);
		}
	}

	/** Forwards a part of a stream. */
	write(bytes: Buffer): void {
		if (this.#isFinished) {
			return;
		}

		this.#givenBytes += bytes.byteLength;
		this.#writeNext(bytes);
	}

	/** Ends a complete stream. */
	end(): void {
		if (!this.#isFinished) {
			this.#isFinished = true;
			this.#response.end(this.#waiting.length > 0 ? this.#waiting.take() : undefined);
		}
	}

	/** Closes the connection, so that the caller can't take the response for complete. A close is the regular end of a response without chunks, as for HTTP/1.0: that connection is reset. */
	closeConnection(): void {
		this.#isFinished = true;
		if (this.isStarted && !this.#response.chunkedEncoding) {
			this.#response.socket?.resetAndDestroy();
		}

		this.#response.destroy();
	}

	/** Whether a response may begin. One that has started but not ended is broken off. */
	#canBegin(): boolean {
		if (!this.#isFinished && this.isStarted) {
			this.closeConnection();
		}

		return !this.#isFinished;
	}

	/** Writes a part of a stream once the part before it is written. */
	#writeNext(bytes: Buffer): void {
		if (this.#isWriting) {
			this.#waiting.append(bytes);
			return;
		}

		this.#isWriting = true;
		this.#response.write(bytes, () => {
			this.#isWriting = false;
			if (!this.#isFinished && this.#waiting.length > 0) {
				this.#writeNext(this.#waiting.take());
			}
		});
	}

	/** Writes what is left of a body, a part at a time. */
	#writeParts(left: Buffer): void {
		this.#leftBytes = Math.max(0, left.byteLength - partBytes);
		if (this.#leftBytes === 0) {
			this.#response.end(left);
			return;
		}

		this.#response.write(left.subarray(0, partBytes), error => {
			if (error) {
				this.#leftBytes = 0;
			} else {
				this.#writeParts(left.subarray(partBytes));
			}
		});
	}

	#sendHead(head: ResponseHead, framing: readonly string[]): void {
		this.#response.writeHead(head.status, [...this.#headerCodec.callerHeaders(head), ...framing]);
	}

	#sendProblem(status: number, reason: string, execution: Execution, headers: Readonly<Record<string, string>> = {}): void {
		if (!this.#canBegin()) {
			return;
		}

		this.#isFinished = true;
		const body = Buffer.from(JSON.stringify({type: `urn:rattanspring:${reason}`, status, execution}));
		this.#response.writeHead(status, {'Content-Type': 'application/problem+json', 'Content-Length': body.byteLength, ...headers});
		this.#response.end(body);
	}
}

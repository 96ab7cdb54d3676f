/** Sends the frames of an attempt to a reader, with backpressure. */

import type {agentProtocol} from '@rattanspring/protocol';
import type {FrameReader} from '../../adapters/exchange/agent-exchange.js';
import {createFailure, type Attempt} from './attempt-table.js';

/** The stream on which an entry reads an attempt's frames. */
export type AttemptStream = FrameReader<agentProtocol.ExecuteRequest> | FrameReader<agentProtocol.ResumeRequest>;

/** Options of a sender. */
export type FrameSenderOptions = {
	readonly reader: AttemptStream;
	readonly attempt: Attempt;
	readonly fromSequence: number;
	/** Called once, when the stream has ended or the reader has disconnected. */
	readonly onClosed: () => void;
};

/** Sends one attempt to one reader. */
export class FrameSender {
	readonly #options: FrameSenderOptions;
	#unsubscribe: (() => void) | undefined;
	#nextSequence: number;
	#isPaused = false;
	#isClosed = false;

	constructor(options: FrameSenderOptions) {
		this.#options = options;
		this.#nextSequence = options.fromSequence;
	}

	/** Sends the available frames and then each new one, until the final frame or until the reader disconnects. */
	start(): void {
		const {reader, attempt} = this.#options;
		this.#unsubscribe = attempt.buffer.onFrame(() => {
			this.#sendAvailable();
		});
		reader.onDrain(() => {
			this.#isPaused = false;
			this.#sendAvailable();
		});
		reader.onClose(() => {
			this.#close();
		});

		this.#sendAvailable();
	}

	#sendAvailable(): void {
		while (!this.#isPaused && !this.#isClosed && this.#sendNextFrame()) {
			this.#nextSequence++;
		}
	}

	/** Sends the next frame, if any; returns whether further frames may follow. */
	#sendNextFrame(): boolean {
		const {reader, attempt} = this.#options;
		const found = attempt.buffer.frameAt(this.#nextSequence);
		if (found.kind === 'notYet') {
			return false;
		}

		if (found.kind === 'dropped') {
			sendFailure(reader, attempt, createFailure('answerTruncated', 'The requested frame is no longer buffered; the response cannot be resumed from there.'));
			return false;
		}

		this.#isPaused = !reader.write(found.frame);
		attempt.buffer.markDelivered(this.#nextSequence);
		if (isFinalFrame(found.frame)) {
			reader.end();
			return false;
		}

		return true;
	}

	#close(): void {
		if (!this.#isClosed) {
			this.#isClosed = true;
			this.#unsubscribe?.();
			this.#options.onClosed();
		}
	}
}

/** Ends a stream with a failure that is not part of the attempt's buffered response. */
export function sendFailure(reader: AttemptStream, name: {readonly request: {readonly requestId: string; readonly attempt: number}}, refusal: agentProtocol.Refusal): void {
	const {requestId, attempt} = name.request;
	reader.write({
		requestId, attempt, sequence: 0, incarnation: 0, content: {$case: 'refusal', value: refusal},
	});
	reader.end();
}

function isFinalFrame(frame: agentProtocol.Frame): boolean {
	return frame.content?.$case === 'end' || frame.content?.$case === 'refusal';
}

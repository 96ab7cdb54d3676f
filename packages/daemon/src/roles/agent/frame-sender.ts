/** Sends the frames of an attempt to a reader, no faster than the reader takes them. */

import type {agentProtocol} from '@rattanspring/protocol';
import type {FrameReader} from '../../adapters/exchange/agent-exchange.js';
import {createFailure, type Attempt} from './attempt-table.js';

/** Reads an attempt for an entry. */
export type AttemptReader = FrameReader<agentProtocol.ExecuteRequest> | FrameReader<agentProtocol.ResumeRequest>;

/** Options of a sender. */
export type FrameSenderOptions = {
	readonly reader: AttemptReader;
	readonly attempt: Attempt;
	readonly fromSequence: number;
	/** Called once, when the reading has ended or the reader went away. */
	readonly onClosed: () => void;
};

/** Serves one reader of one attempt. */
export class FrameSender {
	readonly #options: FrameSenderOptions;
	#stopListening: (() => void) | undefined;
	#nextSequence: number;
	#isPaused = false;
	#isClosed = false;

	constructor(options: FrameSenderOptions) {
		this.#options = options;
		this.#nextSequence = options.fromSequence;
	}

	/** Sends what there is, and goes on until the last frame or until the reader goes away. */
	start(): void {
		const {reader, attempt} = this.#options;
		this.#stopListening = attempt.buffer.onFrame(() => {
			this.#send();
		});
		reader.onDrain(() => {
			this.#isPaused = false;
			this.#send();
		});
		reader.onClose(() => {
			this.#close();
		});

		this.#send();
	}

	#send(): void {
		while (!this.#isPaused && !this.#isClosed && this.#sendNext()) {
			this.#nextSequence++;
		}
	}

	/** Sends the next frame; returns whether there was one and more may follow. */
	#sendNext(): boolean {
		const {reader, attempt} = this.#options;
		const found = attempt.buffer.frameAt(this.#nextSequence);
		if (found.kind === 'notYet') {
			return false;
		}

		if (found.kind === 'dropped') {
			sendFailure(reader, attempt, createFailure('answerTruncated', 'The beginning of this answer is no longer held.'));
			return false;
		}

		this.#isPaused = !reader.write(found.frame);
		attempt.buffer.markDelivered(this.#nextSequence);
		if (isLast(found.frame)) {
			reader.end();
			return false;
		}

		return true;
	}

	#close(): void {
		if (!this.#isClosed) {
			this.#isClosed = true;
			this.#stopListening?.();
			this.#options.onClosed();
		}
	}
}

/** Ends a reading with a failure that is not part of any answer. */
export function sendFailure(reader: AttemptReader, name: {readonly request: {readonly requestId: string; readonly attempt: number}}, refusal: agentProtocol.Refusal): void {
	const {requestId, attempt} = name.request;
	reader.write({
		requestId, attempt, sequence: 0, incarnation: 0, content: {$case: 'refusal', value: refusal},
	});
	reader.end();
}

function isLast(frame: agentProtocol.Frame): boolean {
	return frame.content?.$case === 'end' || frame.content?.$case === 'refusal';
}

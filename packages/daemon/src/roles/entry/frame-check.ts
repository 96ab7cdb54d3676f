/**
Validates the frames of one attempt: request id, attempt number, sequence without gaps, length and checksum.

Does no I/O. One check spans several connections to the agent: a resumed call begins at `nextSequence`.
*/

import {createHash} from 'node:crypto';
import type {agentProtocol} from '@rattanspring/protocol';
import type {RequestFailure, RequestFailureType} from '@rattanspring/types';

/** Event of an attempt: the head, then data, then exactly one `whole` or `failed`. */
export type AttemptEvent
	= | {readonly kind: 'head'; readonly status: number; readonly headers: Readonly<Record<string, string>>}
		| {readonly kind: 'data'; readonly bytes: Uint8Array}
		| {readonly kind: 'whole'}
		| {readonly kind: 'failed'; readonly failure: RequestFailure; readonly isFinal: boolean};

/** Validates the frames of one attempt. */
export class FrameCheck {
	readonly #requestId: string;
	readonly #attempt: number;
	readonly #digest = createHash('sha256');
	#lengthBytes = 0;
	#nextSequence = 0;

	constructor(name: {readonly requestId: string; readonly attempt: number}) {
		this.#requestId = name.requestId;
		this.#attempt = name.attempt;
	}

	/** Sequence number that the next frame must have. */
	get nextSequence(): number {
		return this.#nextSequence;
	}

	/** Validates a frame and returns its event. */
	accept(frame: agentProtocol.Frame): AttemptEvent {
		const {content} = frame;
		if (frame.requestId !== this.#requestId || frame.attempt !== this.#attempt) {
			return failed('answerTruncated', 'A frame of another answer came.');
		}

		if (content?.$case === 'refusal') {
			return refusalEvent(content.value);
		}

		if (frame.sequence !== this.#nextSequence) {
			return failed('answerTruncated', 'A frame of the answer is missing.');
		}

		this.#nextSequence++;
		switch (content?.$case) {
			case 'head': {
				return {kind: 'head', ...content.value};
			}

			case 'data': {
				this.#digest.update(content.value);
				this.#lengthBytes += content.value.length;
				return {kind: 'data', bytes: content.value};
			}

			case 'end': {
				const isWhole = content.value.lengthBytes === this.#lengthBytes && content.value.digest === this.#digest.digest('hex');
				return isWhole ? {kind: 'whole'} : failed('answerTruncated', 'The answer does not match its checksum.');
			}

			case undefined: {
				return failed('answerTruncated', 'An empty frame came.');
			}
		}
	}
}

/** Failure after which it is unknown whether the request ran. It is final unless the agent can still report the result later. */
export function failed(type: RequestFailureType, message: string, isFinal = true): AttemptEvent {
	return {kind: 'failed', failure: {type, message, execution: 'unknown'}, isFinal};
}

/** Failure of an attempt that the agent has sealed: it did not run. */
export function sealedEvent(): AttemptEvent {
	return {
		kind: 'failed', failure: {type: 'noTarget', message: 'The target did not get the request.', execution: 'didNotRun'}, isFinal: true,
	};
}

function refusalEvent(refusal: agentProtocol.Refusal): AttemptEvent {
	return {
		kind: 'failed',
		failure: {
			type: refusal.type as RequestFailureType,
			message: refusal.message,
			execution: refusal.execution === 'didNotRun' ? 'didNotRun' : 'unknown',
			retryAfterMs: refusal.retryAfterMs > 0 ? refusal.retryAfterMs : undefined,
		},
		isFinal: true,
	};
}

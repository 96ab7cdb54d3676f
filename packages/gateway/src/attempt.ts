/**
One exchange with one target. Reports a complete response, the complete events of a stream, or how the exchange failed.
A response that is not shown to belong to the request or a truncated response is never reported as complete, and a refusal in it proves nothing.
*/

import type {Buffer} from 'node:buffer';
import {
	BudgetShare, type ByteBudget, ByteCollector, garbageWatch,
} from '@rattanspring/byte-collector';
import type {AttemptOutcome} from '@rattanspring/placement';
import {
	type CompleteEvents, EventSplitter, type Exchange, type ExchangeFailure, type ResponseHead, StreamContinuation, type TargetRequest, type TargetTransport,
} from '@rattanspring/target-connection';
import type {HeaderCodec, ResponseMetadata} from './header-codec.js';

/** Details of attempts that the entry itself has ended, so that they say nothing of the target's connection. */
const ownEnds = ['silent', 'answerOfAnotherRequest', 'answerWithoutId', 'refusalWithoutProof', 'answerWithoutSignature', 'answerIsEncoded', 'eventTooLarge', 'answerTooLarge', 'noStream', 'eventsOutOfOrder', 'answerWithoutHead'] as const;
type OwnEnd = typeof ownEnds[number];

/** Whether an attempt with this detail ended because its connection broke. */
export function isBrokenConnection(detail: string): boolean {
	return !ownEnds.includes(detail as OwnEnd);
}

const eventStreamPattern = /^\s*text\/event-stream\s*(;|$)/i;

/** Maximum size of a response that is buffered before it is forwarded. */
const maxResponseBytes = 8_388_608;

/** A response with its complete body. */
export type CompleteResponse = {readonly head: ResponseHead; readonly body: Buffer};

/** Receives the results of an attempt. `onResponse`, `onStreamEnd` or `onOutcome` is the last call. */
export type AttemptListener = {
	/** Called with the head of every response to the request, also of one that counts as failed later. */
	readonly onMetadata: (metadata: ResponseMetadata) => void;
	readonly onResponse: (answer: CompleteResponse) => void;
	readonly onEvents: (head: ResponseHead, events: CompleteEvents) => void;
	readonly onStreamEnd: (head: ResponseHead) => void;
	readonly onOutcome: (outcome: AttemptOutcome, detail: string) => void;
};

/** Options of an attempt. */
export type AttemptOptions = {
	readonly exchange: TargetTransport;
	readonly headerCodec: HeaderCodec;
	readonly address: string;
	readonly request: TargetRequest;
	/** Only an answer with the same id belongs to the request. Without an id, it needs a connection that no other request has used. */
	readonly requestId?: string;
	/** Whether a successful response is a stream of events. */
	readonly isStream: boolean;
	/** Given if the response continues a stream that another target began, after the event with this id. */
	readonly continuedAfter?: {readonly lastEventId: string | undefined};
	/** Whether the request may run more than once. If not, it needs a connection that the target's idle timeout cannot close. */
	readonly isRetryable: boolean;
	/** Memory that the responses and incomplete events of all attempts may hold. */
	readonly responseBytes: ByteBudget;
	readonly listener: AttemptListener;
};

/** Sends one request to one target. */
export class Attempt {
	readonly #options: AttemptOptions;
	readonly #exchange: Exchange;
	readonly #events = new EventSplitter();
	readonly #held: BudgetShare;
	readonly #continuation: StreamContinuation | undefined;
	#body = new ByteCollector({expectedBytes: maxResponseBytes});
	#head: ResponseHead | undefined;
	#isNotExecuted = false;
	#isSent = false;
	#isFinished = false;

	constructor(options: AttemptOptions) {
		this.#options = options;
		this.#held = new BudgetShare(options.responseBytes);
		const {
			exchange, address, isRetryable, request, requestId, continuedAfter,
		} = options;
		this.#continuation = continuedAfter && new StreamContinuation(continuedAfter.lastEventId);
		this.#exchange = exchange.send({
			address,
			needsFreshConnection: !isRetryable || requestId === undefined,
			request,
			listener: {
				onSending: () => {
					this.#isSent = true;
				},
				onHead: head => {
					this.#onHead(head);
				},
				onData: chunk => {
					this.#onData(chunk);
				},
				onEnd: () => {
					this.#onEnd();
				},
				onFailed: failure => {
					this.#onFailed(failure);
				},
			},
		});
	}

	/** Whether the target may have received the request. */
	get isSent(): boolean {
		return this.#isSent;
	}

	/** Abandons the exchange. The listener is not called any more. */
	abandon(): void {
		this.#finish();
		this.#exchange.abandon();
	}

	/** Ends the attempt and gives up what it has buffered. */
	#finish(): void {
		this.#isFinished = true;
		garbageWatch.addBuffer(this.#body.heldBytes);
		this.#held.release();
		this.#body = new ByteCollector();
	}

	#onHead(head: ResponseHead): void {
		const metadata = this.#options.headerCodec.readResponse(head);
		if (metadata.requestId !== this.#options.requestId) {
			this.#fail(metadata.requestId === undefined ? 'answerWithoutId' : 'answerOfAnotherRequest');
			return;
		}

		this.#options.listener.onMetadata(metadata);
		this.#isNotExecuted = metadata.isNotExecuted;
		if (metadata.isTakenForNotExecuted && !metadata.isNotExecuted && !this.#options.isRetryable) {
			this.#fail('refusalWithoutProof');
			return;
		}

		if (!metadata.isSigned && !metadata.isNotExecuted && head.status < 300) {
			this.#fail('answerWithoutSignature');
			return;
		}

		if (head.headers.has('content-encoding')) {
			this.#fail('answerIsEncoded');
			return;
		}

		this.#head = head;
		if (head.status === 200 && this.#continuation && !this.#isStreaming) {
			this.#fail('noStream');
		}
	}

	#onData(chunk: Buffer): void {
		garbageWatch.addPiece(chunk.byteLength);
		if (this.#isFinished || !this.#head) {
			return;
		}

		if (this.#isStreaming) {
			const events = this.#events.push(chunk);
			if (this.#continuation?.accepts(events.bytes) === false) {
				this.#fail('eventsOutOfOrder');
				return;
			}

			if (events.bytes.byteLength > 0) {
				this.#options.listener.onEvents(this.#head, events);
			}

			if (!this.#isFinished && (this.#events.isOversized || !this.#held.hold(this.#events.heldBytes))) {
				this.#fail('eventTooLarge');
			}

			return;
		}

		if (this.#body.length + chunk.byteLength > maxResponseBytes || this.#body.isFragmented || !this.#held.hold(this.#body.heldAfter(chunk.byteLength))) {
			this.#fail('answerTooLarge');
			return;
		}

		this.#body.append(chunk);
	}

	/** A response of another type is no stream. One without a type may be, unless it has to continue one. */
	get #isStreaming(): boolean {
		const type = this.#head?.headers.get('content-type');
		const isEvents = type === undefined ? !this.#continuation : eventStreamPattern.test(type);
		return this.#options.isStream && this.#head?.status === 200 && isEvents;
	}

	/** A response without a length ends with its connection: it is whole if that was closed in order, and, as a stream, after a whole event. */
	#onEnd(): void {
		if (this.#isFinished) {
			return;
		}

		const body = this.#body.take();
		this.#finish();
		const {listener} = this.#options;
		if (!this.#head) {
			listener.onOutcome('broken', 'answerWithoutHead');
			return;
		}

		if (this.#isNotExecuted) {
			listener.onOutcome('notRun', `status ${this.#head.status}`);
		} else if (!this.#isStreaming) {
			listener.onResponse({head: this.#head, body});
		} else if (this.#events.isAtEventBoundary) {
			listener.onStreamEnd(this.#head);
		} else {
			listener.onOutcome('broken', 'streamEndsInsideEvent');
		}
	}

	#onFailed({type, message}: ExchangeFailure): void {
		if (!this.#isFinished) {
			this.#finish();
			this.#options.listener.onOutcome(type, message);
		}
	}

	#fail(detail: OwnEnd): void {
		this.abandon();
		this.#options.listener.onOutcome('broken', detail);
	}
}

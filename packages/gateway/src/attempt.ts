/**
One exchange with one target. It tells the request whole answers, whole events of a stream, or how the exchange ended
without either. Answers that belong to another request, and answers that break off, are never passed on as whole.
*/

import {Buffer} from 'node:buffer';
import type {AttemptOutcome} from '@rattanspring/placement';
import {
	type AnswerHead, EventSplitter, type Exchange, type ExchangeFailure, type TargetExchange, type TargetRequest,
} from '@rattanspring/target-connection';
import type {CallDialect} from './call-dialect.js';

/** Detail of an answer that is whole only if its connection was not cut. */
export const unframed = 'unframed';

/** Bytes of an answer that is passed on as a whole. */
const maxAnswerBytes = 33_554_432;

/** A whole answer. */
export type WholeAnswer = {readonly head: AnswerHead; readonly body: Buffer};

/** Takes what an attempt brings. One of `onAnswer`, `onStreamEnd` and `onOutcome` ends it. */
export type AttemptListener = {
	readonly onAnswer: (answer: WholeAnswer) => void;
	readonly onEvents: (head: AnswerHead, bytes: Buffer, lastId: string | undefined) => void;
	readonly onStreamEnd: (head: AnswerHead) => void;
	readonly onOutcome: (outcome: AttemptOutcome, detail: string) => void;
};

/** Options of an attempt. */
export type AttemptOptions = {
	readonly exchange: TargetExchange;
	readonly dialect: CallDialect;
	readonly address: string;
	readonly request: TargetRequest;
	readonly requestId?: string;
	/** Whether a good answer is a stream of events. */
	readonly isStream: boolean;
	/** What may be repeated is, rather than to trust an answer that only the end of its connection ends. */
	readonly isRepeatable: boolean;
	readonly listener: AttemptListener;
};

/** One attempt. */
export class Attempt {
	readonly #options: AttemptOptions;
	readonly #exchange: Exchange;
	readonly #events = new EventSplitter();
	readonly #chunks: Buffer[] = [];
	#length = 0;
	#head: AnswerHead | undefined;
	#isNotRun = false;
	#isSent = false;
	#isOver = false;

	constructor(options: AttemptOptions) {
		this.#options = options;
		const {exchange, address, isRepeatable, request} = options;
		this.#exchange = exchange.send({
			address,
			needsFreshConnection: !isRepeatable,
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
				onEnd: isFramed => {
					this.#onEnd(isFramed);
				},
				onFailed: failure => {
					this.#onFailed(failure);
				},
			},
		});
	}

	/** Whether the target may have the request. */
	get isSent(): boolean {
		return this.#isSent;
	}

	/** Gives the exchange up; nothing more is told. */
	abandon(): void {
		this.#isOver = true;
		this.#exchange.abandon();
	}

	#onHead(head: AnswerHead): void {
		const facts = this.#options.dialect.readAnswer(head);
		const {requestId} = this.#options;
		if (facts.requestId !== undefined && requestId !== undefined && facts.requestId !== requestId) {
			this.#fail('answerOfAnotherRequest');
			return;
		}

		this.#isNotRun = facts.isNotRun;
		if (!facts.isSigned && !facts.isNotRun && head.status < 300) {
			this.#fail('answerWithoutSignature');
			return;
		}

		if (head.headers.has('content-encoding')) {
			this.#fail('answerIsEncoded');
			return;
		}

		this.#head = head;
	}

	#onData(chunk: Buffer): void {
		if (this.#isOver || !this.#head) {
			return;
		}

		if (this.#isStreaming) {
			const {bytes, lastId} = this.#events.push(chunk);
			if (bytes.byteLength > 0) {
				this.#options.listener.onEvents(this.#head, bytes, lastId);
			}

			if (this.#events.isOversized) {
				this.#fail('eventTooLarge');
			}

			return;
		}

		this.#length += chunk.byteLength;
		this.#chunks.push(chunk);
		if (this.#length > maxAnswerBytes) {
			this.#fail('answerTooLarge');
		}
	}

	get #isStreaming(): boolean {
		return this.#options.isStream && this.#head?.status === 200;
	}

	#onEnd(isFramed: boolean): void {
		if (this.#isOver || !this.#head) {
			return;
		}

		this.#isOver = true;
		const {listener} = this.#options;
		if (this.#isNotRun) {
			listener.onOutcome('notRun', `status ${this.#head.status}`);
		} else if (!isFramed && this.#options.isRepeatable) {
			listener.onOutcome('broken', unframed);
		} else if (!this.#isStreaming) {
			listener.onAnswer({head: this.#head, body: Buffer.concat(this.#chunks)});
		} else if (this.#events.isAtBorder) {
			listener.onStreamEnd(this.#head);
		} else {
			listener.onOutcome('broken', 'streamEndsInsideEvent');
		}
	}

	#onFailed({type, message}: ExchangeFailure): void {
		if (!this.#isOver) {
			this.#isOver = true;
			this.#options.listener.onOutcome(type === 'notSent' ? 'notSent' : 'broken', message);
		}
	}

	#fail(detail: string): void {
		this.abandon();
		this.#options.listener.onOutcome('broken', detail);
	}
}

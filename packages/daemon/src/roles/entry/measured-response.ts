/** Measures the response to a caller. */

import type {Clock, RequestFailure} from '@rattanspring/types';
import {CallerResponse} from './caller-response.js';
import {parsePublicRequestId} from './public-request-id.js';

/** Measurements of one response. */
export type ResponseMeasurements = {
	readonly firstTokenMs?: number;
	readonly longestGapMs?: number;
	readonly isWhole: boolean;
	readonly failure?: RequestFailure;
	readonly targetId?: string;
	readonly durationMs: number;
};

/** Forwards all calls to another response and measures them. */
export class MeasuredResponse extends CallerResponse {
	readonly #answer: CallerResponse;
	readonly #clock: Clock;
	readonly #startedAtMs: number;
	#firstDataAtMs: number | undefined;
	#lastDataAtMs: number | undefined;
	#longestGapMs: number | undefined;
	#isWhole = false;
	#failure: RequestFailure | undefined;
	#targetId: string | undefined;

	constructor(answer: CallerResponse, clock: Clock) {
		super();
		this.#answer = answer;
		this.#clock = clock;
		this.#startedAtMs = clock.monotonicMs();
	}

	get isStarted(): boolean {
		return this.#answer.isStarted;
	}

	get isClosed(): boolean {
		return this.#answer.isClosed;
	}

	get isResumable(): boolean {
		return this.#answer.isResumable;
	}

	/** The measurements so far. */
	get measurements(): ResponseMeasurements {
		return {
			firstTokenMs: this.#firstDataAtMs === undefined ? undefined : this.#firstDataAtMs - this.#startedAtMs,
			longestGapMs: this.#longestGapMs,
			isWhole: this.#isWhole,
			failure: this.#failure,
			targetId: this.#targetId,
			durationMs: this.#clock.monotonicMs() - this.#startedAtMs,
		};
	}

	head(status: number, headers: Readonly<Record<string, string>>): void {
		this.#targetId = parsePublicRequestId(headers['x-request-id'] ?? '')?.targetId;
		this.#answer.head(status, headers);
	}

	async data(bytes: Uint8Array): Promise<void> {
		const nowMs = this.#clock.monotonicMs();
		this.#firstDataAtMs ??= nowMs;
		if (this.#lastDataAtMs !== undefined) {
			this.#longestGapMs = Math.max(this.#longestGapMs ?? 0, nowMs - this.#lastDataAtMs);
		}

		this.#lastDataAtMs = nowMs;
		return this.#answer.data(bytes);
	}

	end(): void {
		this.#isWhole = true;
		this.#answer.end();
	}

	fail(failure: RequestFailure): void {
		this.#failure = failure;
		this.#answer.fail(failure);
	}
}

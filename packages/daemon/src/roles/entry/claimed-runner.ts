/**
Runs non-idempotent requests. Claims the idempotency key in the request ledger before each dispatch; then records the outcome, releases
the claim or marks it as unknown, depending on the agent's reply. A claim that another entry has not concluded is resolved by asking
the agent of the target that the claim names.
*/

import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {ControlAccess} from '@rattanspring/control-client';
import type {Logger} from '@rattanspring/logger';
import type {
	ClaimedAttempt, LedgerAnswer, LedgerCommand, LedgerKey, RecordedOutcome,
} from '@rattanspring/request-ledger';
import type {Clock, RequestFailure} from '@rattanspring/types';
import type {CallerResponse} from './caller-response.js';
import type {CallerRequest} from './caller-request.js';
import type {Dispatcher} from './dispatcher.js';
import type {AttemptEvent} from './frame-check.js';
import {notRun} from './problem.js';
import type {RoutedRun} from './request-routing.js';

/** Maximum number of own attempts and of resolutions of other claims, together, for one request. */
const maxRounds = 5;

/** Maximum number of ledger lookups before a request whose key is in use by other requests fails. */
const maxLedgerLookups = 3;

/** Retry-After value where no target is known, the key is in use or the ledger is unavailable. */
const defaultRetryAfterMs = 1000;

/** Size in bytes of the largest response that is stored in the ledger. For a larger response only the key is stored. */
const maxRecordedBytes = 262_144;

/** Options of `ClaimedRunner`. */
export type ClaimedRunnerOptions = {
	readonly dispatcher: Dispatcher;
	readonly control: ControlAccess;
	readonly clock: Clock;
	readonly logger: Logger;
};

/** A request that may run at most once. */
export type ClaimedRequest = {
	readonly requestId: string;
	readonly request: CallerRequest;
	readonly idempotencyKey: string;
	readonly run: RoutedRun;
};

type AttemptResult
	= | {readonly kind: 'whole'; readonly outcome: RecordedOutcome; readonly lengthBytes: number}
		| {readonly kind: 'failed'; readonly failure: RequestFailure; readonly isFinal: boolean};

/** Result of a round: either the final response has been sent, or the key can be claimed again. */
type RoundResult = {readonly isAnswered: boolean};

type Round = {
	readonly request: CallerRequest;
	readonly answer: CallerResponse;
	readonly key: LedgerKey;
	readonly bodyDigest: string;
	readonly run: RoutedRun;
	/** Failure of the last attempt, which did not run. */
	lastFailure?: RequestFailure;
	/** Whether routing allows no further attempt. */
	isExhausted?: boolean;
};

/** Runs requests that may run at most once. */
export class ClaimedRunner {
	readonly #options: ClaimedRunnerOptions;

	constructor(options: ClaimedRunnerOptions) {
		this.#options = options;
	}

	/** Runs a request until its final response has been sent. */
	async run({requestId, request, idempotencyKey, run}: ClaimedRequest, answer: CallerResponse): Promise<void> {
		const {clientAccount, service, method, path, body} = request;
		const round: Round = {
			request,
			answer,
			key: {clientAccount, service, idempotencyKey},
			bodyDigest: createHash('sha256').update(`${method} ${path}\n`).update(body).digest('hex'),
			run,
		};
		for (let attempt = 1; attempt <= maxRounds; attempt++) {
			const result = await this.#round(round, {requestId, attempt});
			if (result.isAnswered) {
				return;
			}

			if (round.isExhausted) {
				break;
			}
		}

		await this.#giveUp(round);
	}

	async #round(round: Round, name: {readonly requestId: string; readonly attempt: number}): Promise<RoundResult> {
		const {request, key, bodyDigest, run} = round;
		const target = run.nextTarget();
		if (!target) {
			return this.#giveUp(round);
		}

		const {targetId, incarnation} = target.announcement;
		const claim: ClaimedAttempt = {...name, targetId, incarnation};
		const claimed = await this.#submit({
			kind: 'claim', key, bodyDigest, claim, nowMs: this.#options.clock.wallMs(),
		});
		if (claimed?.kind === 'granted') {
			const result = await collectEvents(this.#options.dispatcher.dispatch({
				request, target, name, run,
			}));
			return this.#concludeAttempt(round, claim, await this.#reportToRouting(round, claim, result));
		}

		return this.#respondFromLedger(round, claimed);
	}

	/** Reports the result of an own attempt to routing; a failure in the returned result is the one to send to the caller. */
	async #reportToRouting(round: Round, {targetId, attempt}: ClaimedAttempt, result: AttemptResult): Promise<AttemptResult> {
		if (result.kind === 'whole') {
			round.run.recordSuccess();
			return result;
		}

		const {failure} = result;
		const callerFailure = await round.run.failed({
			targetId, attempt, failure, mayRunAgain: failure.execution === 'didNotRun',
		});
		round.isExhausted = callerFailure !== undefined;
		return {...result, failure: callerFailure ?? failure};
	}

	/** Sends the final response when no further attempt is possible. Looks the key up first, as another request with the same key may have run. */
	async #giveUp(round: Round): Promise<RoundResult> {
		const {key, bodyDigest, request, answer} = round;
		for (let lookups = 0; lookups < maxLedgerLookups; lookups++) {
			const found = await this.#submit({
				kind: 'look', key, bodyDigest, nowMs: this.#options.clock.wallMs(),
			});
			if (found?.kind === 'free') {
				answer.fail(round.lastFailure ?? notRun('noTarget', `No target serves "${request.service}" now.`, defaultRetryAfterMs));
				return {isAnswered: true};
			}

			const result = await this.#respondFromLedger(round, found);
			if (result.isAnswered) {
				return result;
			}
		}

		answer.fail({
			type: 'inProgress', message: 'Other requests with this Idempotency-Key are in progress.', execution: 'unknown', retryAfterMs: defaultRetryAfterMs,
		});
		return {isAnswered: true};
	}

	async #respondFromLedger(round: Round, known: LedgerAnswer | undefined): Promise<RoundResult> {
		if (known?.kind === 'claimedElsewhere') {
			return this.#resolveClaim(round, known.claim);
		}

		respondToClaim(known, round.answer);
		return {isAnswered: true};
	}

	/** Resolves the claim of another entry or of an earlier request by following its attempt. */
	async #resolveClaim(round: Round, claim: ClaimedAttempt): Promise<RoundResult> {
		const result = await collectEvents(this.#options.dispatcher.follow(claim, round.request.clientAccount));
		return this.#concludeAttempt(round, claim, result);
	}

	/** Writes the result of an attempt to the ledger, then responds to the caller; a claim of an attempt that did not run is released without a response. */
	async #concludeAttempt(round: Round, claim: ClaimedAttempt, result: AttemptResult): Promise<RoundResult> {
		const {key, answer} = round;
		const nowMs = this.#options.clock.wallMs();
		if (result.kind === 'whole') {
			const outcome = result.lengthBytes <= maxRecordedBytes ? result.outcome : undefined;
			await this.#submit({
				kind: 'record', key, claim, outcome, nowMs,
			});
			sendOutcome(result.outcome, answer);
			return {isAnswered: true};
		}

		const {failure} = result;
		if (failure.execution === 'didNotRun') {
			await this.#submit({
				kind: 'release', key, claim, nowMs,
			});
			round.lastFailure = failure;
			return {isAnswered: false};
		}

		if (!result.isFinal) {
			answer.fail({...failure, type: 'inProgress', retryAfterMs: defaultRetryAfterMs});
			return {isAnswered: true};
		}

		await this.#submit({
			kind: 'markUnknown', key, claim, nowMs,
		});
		this.#options.logger.log('warn', 'outcomeUnknown', {
			clientAccount: key.clientAccount, service: key.service, requestId: claim.requestId, target: claim.targetId, reason: failure.message,
		});
		answer.fail(failure);
		return {isAnswered: true};
	}

	async #submit(command: LedgerCommand): Promise<LedgerAnswer | undefined> {
		const result = await this.#options.control.submit({kind: 'ledger', command});
		if (!result.ok) {
			this.#options.logger.log('warn', 'ledgerUnavailable', {command: command.kind, reason: result.failure.type});
			return undefined;
		}

		return result.value.kind === 'ledger' ? result.value.answer : undefined;
	}
}

async function collectEvents(events: AsyncIterable<AttemptEvent>): Promise<AttemptResult> {
	const chunks: Uint8Array[] = [];
	let head: {status: number; headers: Readonly<Record<string, string>>} = {status: 502, headers: {}};
	for await (const event of events) {
		switch (event.kind) {
			case 'head': {
				head = {status: event.status, headers: event.headers};
				break;
			}

			case 'data': {
				chunks.push(event.bytes);
				break;
			}

			case 'failed': {
				return event;
			}

			case 'whole': {
				break;
			}
		}
	}

	const body = Buffer.concat(chunks);
	return {kind: 'whole', outcome: {...head, body: body.toString('base64')}, lengthBytes: body.length};
}

/** Responds to a request whose claim was not granted and whose key is not claimed by another attempt. */
function respondToClaim(claimed: LedgerAnswer | undefined, answer: CallerResponse): void {
	switch (claimed?.kind) {
		case 'alreadyRecorded': {
			sendOutcome(claimed.outcome, answer);
			break;
		}

		case 'bodyMismatch': {
			answer.fail(notRun('idempotencyKeyReused', 'This Idempotency-Key was used with another request; this one did not run.'));
			break;
		}

		case 'unknown': {
			answer.fail({type: 'outcomeUnknown', message: 'It is not known whether the request ran; it will not run again. Ask the operator to settle it.', execution: 'unknown'});
			break;
		}

		case 'settledAsRan':
		case 'expired': {
			answer.fail({type: 'outcomeUnknown', message: 'The request ran; its answer is no longer kept.', execution: 'ran'});
			break;
		}

		case 'full': {
			answer.fail(notRun('ledgerUnavailable', 'Too many keys are retained; this request did not run.', defaultRetryAfterMs));
			break;
		}

		case undefined:
		case 'granted':
		case 'free':
		case 'claimedElsewhere':
		case 'reasonMissing':
		case 'notSettleable':
		case 'done':
		case 'stale': {
			// This request was not dispatched, but without a ledger reply it is unknown whether an earlier request with the same key ran.
			answer.fail({
				type: 'ledgerUnavailable', message: 'The ledger did not answer; this request was not dispatched.', execution: 'unknown', retryAfterMs: defaultRetryAfterMs,
			});
		}
	}
}

function sendOutcome(outcome: RecordedOutcome, answer: CallerResponse): void {
	answer.head(outcome.status, outcome.headers);
	void answer.data(Buffer.from(outcome.body, 'base64'));
	answer.end();
}

/**
Brings one allowed request to a target, and to another one where that is allowed, until the caller has its one answer or
its time is up. What has run, or may have, is never said not to have run.
*/

import type {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {
	type Admission, type AttemptOutcome, type ExchangeOutcome, isRetryable, nextStep, type TargetView, type PendingAdmission,
} from '@rattanspring/placement';
import type {AnswerHead} from '@rattanspring/target-connection';
import type {AllowedCall} from './allowed-call.js';
import {Attempt, unframed, type WholeAnswer} from './attempt.js';
import type {CallerAnswer} from './caller-answer.js';
import type {SinceFirstTry} from './first-tries.js';
import type {FlowContext} from './flow-context.js';

/** The final answer goes out this long before the time is up. */
const deadlineMarginMs = 15;

/** A caller that asked first longer ago than this may have come back after a refusal. */
const shortestReturnMs = 50;

/** A stream without a first event, or without a next one, for this long is taken up at another target. */
const firstEventTimeoutMs = 1600;
const nextEventTimeoutMs = 1000;

/** Urgency at a target: what can still be on time goes before what cannot. */
const urgencies = {resumed: 1, onTime: 3, late: 7} as const;

const crashPauseMs = 5000;

type Running = {readonly attempt: Attempt; readonly targetId: string; readonly bornMs: number; readonly address: string};

/** One request on its way. */
export class ForwardFlow {
	readonly #context: FlowContext;
	readonly #answer: CallerAnswer;
	readonly #call: AllowedCall;
	readonly #tried = new Set<string>();
	readonly #sinceFirstTry: SinceFirstTry;
	#waiting: PendingAdmission | undefined;
	#running: Running | undefined;
	#deadline: NodeJS.Timeout | undefined;
	#silence: NodeJS.Timeout | undefined;
	#sentCount = 0;
	#unreachedCount = 0;
	#mayHaveRun = false;
	#admittedAtMs: number | undefined;
	#firstByteAtMs: number | undefined;
	#lastEventAtMs: number | undefined;
	#longestPauseMs: number | undefined;
	#lastEventId: string | undefined;
	/** The head that the caller got, or would get, for its stream. */
	#streamHead: AnswerHead | undefined;
	/** A failure that a target answered, kept in case no other target does better. */
	#failedAnswer: WholeAnswer | undefined;
	/** What the last choice of a target was made from. */
	#lastView: TargetView | undefined;
	/** Whether the target has not begun to answer. */
	#isReading = false;
	#isOver = false;

	constructor(context: FlowContext, answer: CallerAnswer, call: AllowedCall) {
		this.#context = context;
		this.#answer = answer;
		this.#call = call;
		this.#lastEventId = call.facts.lastEventId;
		this.#sinceFirstTry = context.firstTries.since(call.route, call.facts.timeLeftMs);
	}

	/** Starts; the flow ends by itself. */
	start(response: ServerResponse): void {
		const {inProgress, budget, guard} = this.#context;
		const {service, fingerprint} = this.#call;
		inProgress.set(this.#accountName, (inProgress.get(this.#accountName) ?? 0) + 1);
		response.on('close', () => {
			this.#onCallerGone();
		});
		budget.recordRequest(service, this.#nowMs);
		if (guard.isRefused(fingerprint)) {
			this.#refuse('crashesTargets', crashPauseMs);
			return;
		}

		this.#deadline = setTimeout(() => {
			this.#onDeadline();
		}, Math.max(0, this.#call.deadlineAtMs - deadlineMarginMs - this.#nowMs));
		this.#admit();
	}

	get #nowMs(): number {
		return this.#context.nowMs();
	}

	/** Whether its caller may have asked before. */
	get #mayBeBack(): boolean {
		return this.#sinceFirstTry.atMostMs > shortestReturnMs;
	}

	get #accountName(): string {
		return this.#call.account?.name ?? '';
	}

	#admit(): void {
		const {service, route, arrivedAtMs, deadlineAtMs, account} = this.#call;
		let isSettled = false;
		const waiting = this.#context.admission.admit({
			service,
			priority: account?.priority ?? route.priority,
			accountName: this.#accountName,
			arrivedAtMs,
			objectiveMs: route.objectiveMs,
			deadlineAtMs,
			sinceFirstTryMs: this.#sinceFirstTry.atLeastMs,
			mayBeRetry: this.#mayBeBack,
			isFailover: this.#sentCount > 0,
			excluded: this.#tried,
		}, this.#nowMs, admission => {
			isSettled = true;
			this.#waiting = undefined;
			this.#onAdmission(admission);
		});
		if (!isSettled) {
			this.#waiting = waiting;
		}
	}

	#onAdmission(admission: Admission): void {
		if (admission.kind === 'refused') {
			this.#giveUp(admission.reason, admission.retryAfterMs);
			return;
		}

		const {report} = admission.view;
		this.#admittedAtMs ??= this.#nowMs;
		this.#context.board.recordSent(report.targetId, this.#nowMs, this.#call.facts.promptTokens);
		this.#isReading = true;
		this.#lastView = admission.view;
		const isResumed = this.#streamHead !== undefined;
		const urgency = isResumed ? urgencies.resumed : (admission.isLate ? urgencies.late : urgencies.onTime);
		this.#send(report.address, report.targetId, report.bornMs, urgency);
	}

	#send(address: string, targetId: string, bornMs: number, urgency: number): void {
		const {dialect, exchange} = this.#context;
		const {method, path, rawHeaders, body, route, facts, deadlineAtMs} = this.#call;
		const headers = dialect.targetHeaders(rawHeaders, {
			targetId, timeLeftMs: Math.max(1, Math.floor(deadlineAtMs - this.#nowMs)), accountName: this.#call.account?.name, lastEventId: this.#lastEventId, urgency,
		});
		this.#tried.add(targetId);
		const attempt = new Attempt({
			exchange,
			dialect,
			address,
			request: {
				method, path, headers, body,
			},
			requestId: facts.requestId,
			isStream: route.kind === 'streaming',
			isRepeatable: isRetryable(route),
			listener: {
				onAnswer: answer => {
					this.#onAnswer(answer);
				},
				onEvents: (head, bytes, lastId) => {
					this.#onEvents(head, bytes, lastId);
				},
				onStreamEnd: head => {
					this.#onStreamEnd(head);
				},
				onOutcome: (outcome, detail) => {
					this.#onOutcome(outcome, detail);
				},
			},
		});
		this.#running = {
			attempt, targetId, bornMs, address,
		};
		if (route.kind === 'streaming' && isRetryable(route)) {
			this.#watchSilence(firstEventTimeoutMs);
		}
	}

	#onAnswer(answer: WholeAnswer): void {
		if (this.#streamHead) {
			this.#onOutcome('failed', `status ${answer.head.status} instead of a stream`);
			return;
		}

		const isFailure = answer.head.status >= 500;
		if (isFailure && isRetryable(this.#call.route)) {
			this.#failedAnswer = answer;
			this.#onOutcome('failed', `status ${answer.head.status}`);
			return;
		}

		this.#endAttempt(isFailure ? 'failed' : 'answered');
		this.#firstByteAtMs = this.#nowMs;
		this.#answer.pass(answer.head, answer.body);
		this.#end('answered', answer.head.status);
	}

	#onEvents(head: AnswerHead, bytes: Buffer, lastId: string | undefined): void {
		this.#noteBegun();
		if (!this.#streamHead) {
			this.#streamHead = head;
			this.#firstByteAtMs = this.#nowMs;
			this.#answer.beginStream(head);
		}

		this.#notePause();
		this.#lastEventId = lastId ?? this.#lastEventId;
		this.#answer.write(bytes);
		if (isRetryable(this.#call.route)) {
			this.#watchSilence(nextEventTimeoutMs);
		}
	}

	#noteBegun(): void {
		if (this.#isReading && this.#running) {
			this.#isReading = false;
			this.#context.board.recordPrefillEnd(this.#running.targetId, this.#call.facts.promptTokens);
		}
	}

	#notePause(): void {
		const nowMs = this.#nowMs;
		if (this.#lastEventAtMs !== undefined) {
			this.#longestPauseMs = Math.max(this.#longestPauseMs ?? 0, nowMs - this.#lastEventAtMs);
		}

		this.#lastEventAtMs = nowMs;
	}

	#onStreamEnd(head: AnswerHead): void {
		this.#endAttempt('answered');
		if (!this.#streamHead) {
			this.#answer.beginStream(head);
		}

		this.#answer.end();
		this.#end('answered', 200);
	}

	#onOutcome(outcome: AttemptOutcome, detail: string): void {
		const running = this.#running!;
		const {logger, guard, onBroken} = this.#context;
		const {route, service, fingerprint, facts} = this.#call;
		this.#endAttempt(exchangeOutcomes[outcome]);
		if (outcome === 'notSent') {
			this.#unreachedCount++;
		} else {
			this.#sentCount++;
			this.#mayHaveRun ||= outcome !== 'notRun';
		}

		if (outcome === 'broken' && detail !== 'silent' && detail !== unframed) {
			onBroken({fingerprint, targetId: running.targetId, bornMs: running.bornMs}, running.address);
		}

		const step = nextStep({
			kind: route.kind, isResumable: route.isResumable, outcome, sentCount: this.#sentCount, unreachedCount: this.#unreachedCount, maxAttempts: route.maxAttempts, mayHaveRun: this.#mayHaveRun,
		});
		const mayRepeat = step === 'tryAnother' && !guard.isRefused(fingerprint)
			&& (outcome === 'notSent' || this.#context.budget.tryConsume(service, this.#nowMs, this.#context.entryCount()));
		logger.log('info', 'attemptEnded', {
			requestId: facts.requestId, targetId: running.targetId, outcome, detail, step: mayRepeat ? step : 'giveUp', sent: this.#sentCount, lastEventId: this.#lastEventId,
		});
		if (mayRepeat) {
			this.#admit();
		} else {
			this.#giveUp(outcome, undefined);
		}
	}

	/** Gives the request its final answer at once. */
	#giveUp(reason: string, retryAfterMs: number | undefined): void {
		if (this.#failedAnswer && !this.#answer.isBegun) {
			this.#answer.pass(this.#failedAnswer.head, this.#failedAnswer.body);
			this.#end('answered', this.#failedAnswer.head.status, reason);
		} else if (this.#mayHaveRun) {
			this.#answer.fail(502, reason);
			this.#end('failed', 502, reason);
		} else {
			this.#refuse(reason, retryAfterMs ?? refusalPauseMs);
		}
	}

	#refuse(reason: string, retryAfterMs: number): void {
		this.#answer.refuse(reason, retryAfterMs);
		this.#end('refused', 503, reason);
	}

	#watchSilence(timeoutMs: number): void {
		clearTimeout(this.#silence);
		this.#silence = setTimeout(() => {
			this.#running?.attempt.abandon();
			this.#onOutcome('broken', 'silent');
		}, timeoutMs);
	}

	#onDeadline(): void {
		const {running, mayHaveRun} = {running: this.#running, mayHaveRun: this.#mayHaveRun || this.#running?.attempt.isSent === true};
		if (running) {
			running.attempt.abandon();
			this.#endAttempt('abandoned');
		}

		if (mayHaveRun) {
			this.#answer.fail(504, 'deadline');
			this.#end('failed', 504, 'deadline');
		} else {
			this.#refuse('deadline', refusalPauseMs);
		}
	}

	#onCallerGone(): void {
		if (this.#isOver) {
			return;
		}

		this.#running?.attempt.abandon();
		this.#endAttempt('abandoned');
		this.#answer.breakOff();
		this.#end('callerLeft', 0);
	}

	#endAttempt(outcome: ExchangeOutcome): void {
		clearTimeout(this.#silence);
		this.#noteBegun();
		if (this.#running) {
			this.#context.board.recordEnd(this.#running.targetId, outcome, this.#nowMs);
			this.#running = undefined;
			if (this.#context.admission.waitingCount > 0) {
				setImmediate(() => {
					this.#context.admission.processQueue(this.#nowMs);
				});
			}
		}
	}

	#end(outcome: string, status: number, reason?: string): void {
		if (this.#isOver) {
			return;
		}

		this.#isOver = true;
		this.#waiting?.cancel();
		clearTimeout(this.#deadline);
		clearTimeout(this.#silence);
		const {inProgress, logger, metrics} = this.#context;
		const {facts, route, service, arrivedAtMs} = this.#call;
		inProgress.set(this.#accountName, inProgress.get(this.#accountName)! - 1);
		metrics.requests.inc({service, outcome});
		if (this.#firstByteAtMs !== undefined) {
			metrics.firstByteSeconds.observe({service}, (this.#firstByteAtMs - arrivedAtMs) / 1000);
		}

		logger.log('info', 'requestEnded', {
			requestId: facts.requestId,
			route: route.name,
			outcome,
			status,
			reason,
			targetId: this.#lastView?.report.targetId,
			busy: this.#lastView?.busy,
			limit: this.#lastView?.limit,
			loadAgeMs: sinceMs(0, this.#lastView?.loadAgeMs),
			sent: this.#sentCount,
			sinceFirstTryMs: this.#mayBeBack ? Math.round(this.#sinceFirstTry.atLeastMs) : undefined,
			waitedMs: sinceMs(arrivedAtMs, this.#admittedAtMs),
			firstByteMs: sinceMs(arrivedAtMs, this.#firstByteAtMs),
			pauseMs: sinceMs(0, this.#longestPauseMs),
			tookMs: sinceMs(arrivedAtMs, this.#nowMs),
		});
	}
}

/** Pause told to callers whose request could not be sent. */
const refusalPauseMs = 150;

const exchangeOutcomes: Readonly<Record<AttemptOutcome, ExchangeOutcome>> = {
	notSent: 'unreachable', notRun: 'refused', failed: 'failed', broken: 'failed',
};

function sinceMs(startMs: number, endMs: number | undefined): number | undefined {
	return endMs === undefined ? undefined : Math.round(endMs - startMs);
}

/**
Forwards one request to a target, and retries it at other targets where that is allowed, until the caller has a response or the deadline
has passed. A request that ran or may have run is never reported as not executed.
*/

import type {ServerResponse} from 'node:http';
import {type RequestWork, workOf} from '@rattanspring/account-shares';
import {garbageWatch} from '@rattanspring/byte-collector';
import {mayHaveCausedCrash} from '@rattanspring/crash-evidence';
import {
	type Admission, type AttemptOutcome, type ExchangeOutcome, isRetryable, nextStep, type TargetView, type PendingAdmission,
} from '@rattanspring/placement';
import type {RouteTable} from '@rattanspring/desired-state';
import type {CompleteEvents, ResponseHead} from '@rattanspring/target-connection';
import type {TargetReport} from '@rattanspring/target-table';
import {Attempt, type CompleteResponse, isBrokenConnection} from './attempt.js';
import type {CallerResponse} from './caller-response.js';
import type {TimeSinceFirstAttempt} from './first-attempt-estimator.js';
import type {GatewayContext} from './gateway-context.js';
import {isRevoked} from './key-revocation.js';
import {stoppingRetryAfterMs} from './planned-stop.js';
import {recordEnd} from './request-record.js';
import {ResponseProgress} from './response-progress.js';
import type {RoutedRequest} from './routed-request.js';
import {SilenceTimer} from './silence-timer.js';
import {recordNotices} from './target-notices.js';
import type {ObservedExchange} from './target-outcomes.js';
import type {GateDecision} from './trial-gate.js';

/** The final response is sent this long before the deadline. */
const deadlineMarginMs = 15;

/** If the first attempt may be longer ago than this, the caller may be retrying after a refusal. */
const minRetryDelayMs = 50;

/** Bytes of a stream that may wait for a caller to read them. */
const maxUnsentBytes = 1_048_576;

/** Urgency sent to the target: requests that can still meet their objective precede those that can't. */
const urgencies = {resumed: 1, onTime: 3, late: 7} as const;

type RunningAttempt = {readonly attempt: Attempt; readonly targetId: string; readonly bornMs: number; readonly address: string; readonly exchange: ObservedExchange};

/** Forwards one request. */
export class RequestForwarder {
	readonly #context: GatewayContext;
	readonly #answer: CallerResponse;
	readonly #request: RoutedRequest;
	readonly #triedTargets = new Set<string>();
	readonly #timeSinceFirstAttempt: TimeSinceFirstAttempt;
	#pendingAdmission: PendingAdmission | undefined;
	#running: RunningAttempt | undefined;
	#deadline: NodeJS.Timeout | undefined;
	/** Absent if the request may not be sent again. */
	readonly #silenceTimer: SilenceTimer | undefined;
	#sentCount = 0;
	#unreachedCount = 0;
	#mayHaveRun = false;
	#admittedAtMs: number | undefined;
	readonly #progress = new ResponseProgress();
	#lastEventId: string | undefined;
	/** Whether the caller has received an event without an id after the last one with an id, so that the stream can't be resumed. */
	#isPositionUnknown = false;
	/** Head of the stream that the caller received or will receive. */
	#streamHead: ResponseHead | undefined;
	/** Failure response of a target, forwarded if no other target succeeds. */
	#failureResponse: CompleteResponse | undefined;
	/** Data from which the target was last chosen. */
	#lastView: TargetView | undefined;
	/** Targets that were left out for their outcomes when a target was last chosen or none was found. */
	#leftOut: string | undefined;
	/** Whether the current target has not yet started its response. */
	#isAwaitingResponse = false;
	/** Whether it is being decided whether the request may be sent, or sent again. */
	#isAwaitingDecision = false;
	/** The component on trial, if the request is one. */
	#trialOf: string | undefined;
	/** Components for which the request was refused or withdrawn. */
	#suspectedComponents: readonly string[] = [];
	/** When the current target started its response. */
	#attemptBegunAtMs: number | undefined;
	/** Time that the refusal tells the caller, if it is refused. */
	#retryAfterMs: number | undefined;
	/** Size of the whole answer that was passed on. */
	#passedBytes = 0;
	#isFinished = false;

	constructor(context: GatewayContext, answer: CallerResponse, request: RoutedRequest) {
		this.#context = context;
		this.#answer = answer;
		this.#request = request;
		this.#lastEventId = request.metadata.lastEventId;
		this.#timeSinceFirstAttempt = context.firstAttempts.estimate(request.route, request.metadata.timeLeftMs);
		const {route, service} = request;
		if (route.kind === 'streaming' && isRetryable(route)) {
			this.#silenceTimer = new SilenceTimer({
				silence: context.streamSilence, service, route, nowMs: context.nowMs, move: () => this.#moveSilentStream(),
			});
		}
	}

	/** Bytes that the caller has not read yet. */
	get unsentBytes(): number {
		return this.#answer.unsentBytes;
	}

	/** Bytes of the answer that the caller's connection has taken. */
	get deliveredBytes(): number {
		return this.#answer.deliveredBytes;
	}

	/** Starts forwarding. Cleans up when the response ends or the caller disconnects. */
	start(response: ServerResponse): void {
		const {accountUsage, retryBudget} = this.#context;
		const {service} = this.#request;
		accountUsage.asked(this.#work);
		response.on('close', () => {
			this.#onCallerDisconnect();
			this.#context.unsentBytes.remove(this);
			garbageWatch.addBuffer(this.#passedBytes);
		});
		retryBudget.recordRequest(service, this.#nowMs);
		this.#deadline = setTimeout(() => {
			this.#onDeadline();
		}, Math.max(0, this.#request.deadlineAtMs - deadlineMarginMs - this.#nowMs));
		this.#context.crashWatch.forwarding.add(this);
		this.#passGate();
	}

	/** Ends the request if it contains something that may crash targets, and no target has begun its answer. */
	withdrawIfSuspected(): void {
		if (this.#isFinished || this.#isAwaitingDecision || this.#trialOf !== undefined || this.#hasAnswerBegun) {
			return;
		}

		const refusal = this.#context.crashWatch.gate.refusalOf(this.#request.components);
		if (!refusal) {
			return;
		}

		this.#suspectedComponents = refusal.components;
		this.#mayHaveRun ||= this.#running?.attempt.isSent === true;
		this.#running?.attempt.abandon();
		this.#endAttempt('abandoned');
		this.#giveUp(refusal.reason, refusal.retryAfterMs);
	}

	/** A caller that does not read its answer is disconnected before that fills the memory. */
	endUnread(): void {
		this.#context.metrics.limitsMet.inc({limit: 'unsentBytes'});
		if (this.#isFinished) {
			this.#context.logger.log('warn', 'callersLimited', {reason: 'unsentBytes', requestId: this.#request.metadata.requestId, unsentBytes: this.unsentBytes});
			this.#answer.closeConnection();
			return;
		}

		this.#running?.attempt.abandon();
		this.#endAttempt('abandoned');
		this.#answer.closeConnection();
		this.#end('callerDoesNotRead', 0);
	}

	/** Refuses the request if it waits to be sent and will not be answered before the process stops. */
	refuseUnsent(): void {
		const isSent = this.#running !== undefined || this.#sentCount > 0;
		if (!this.#isFinished && !isSent && !this.#context.plannedStop.mayTakeOn({nowMs: this.#nowMs, deadlineAtMs: this.#request.deadlineAtMs})) {
			this.#refuse('stopping', stoppingRetryAfterMs);
		}
	}

	/** Ends the request, as the process ends: its caller is told what is known of it, unless the answer has begun. */
	endAtStop(): void {
		this.#mayHaveRun ||= this.#running?.attempt.isSent === true;
		this.#running?.attempt.abandon();
		this.#endAttempt('abandoned');
		if (this.#answer.isStarted) {
			this.#answer.closeConnection();
			this.#end('cut', 0, 'stopping');
		} else {
			this.#giveUp('stopping', stoppingRetryAfterMs);
		}
	}

	/** Ends the request if it waits to be sent and its key was revoked. One that may have run before is not called unauthorized, since that would say it did not run. */
	rejectIfRevoked(table: RouteTable): void {
		if (this.#isFinished || this.#running !== undefined || !isRevoked(this.#request, table)) {
			return;
		}

		const isOutdated = this.#context.newestVersion() > table.state.version;
		if (isOutdated || this.#mayHaveRun || this.#answer.isStarted) {
			this.#giveUp('keyRevoked', undefined);
		} else {
			this.#answer.reject(401, 'unknownKey');
			this.#end('rejected', 401, 'keyRevoked');
		}
	}

	#passGate(): void {
		const {gate} = this.#context.crashWatch;
		const {components} = this.#request;
		const decision = gate.decideNow(components);
		if (decision) {
			this.#onGateDecision(decision);
			return;
		}

		this.#isAwaitingDecision = true;
		void (async () => {
			const later = await gate.decide(components);
			this.#isAwaitingDecision = false;
			this.#onGateDecision(later);
		})();
	}

	#onGateDecision(decision: GateDecision): void {
		if (this.#isFinished) {
			return;
		}

		if (decision.kind === 'refused') {
			this.#suspectedComponents = decision.components;
			this.#refuse(decision.reason, decision.retryAfterMs);
			return;
		}

		this.#trialOf = decision.trialOf;
		this.#admit();
	}

	get #nowMs(): number {
		return this.#context.nowMs();
	}

	/** Whether a target is writing its answer. */
	get #hasAnswerBegun(): boolean {
		return this.#running !== undefined && !this.#isAwaitingResponse;
	}

	/** Whether the caller may have sent this request before. */
	get #mayBeRetry(): boolean {
		return this.#timeSinceFirstAttempt.atMostMs > minRetryDelayMs;
	}

	get #isResumable(): boolean {
		return this.#request.route.isResumable && !this.#isPositionUnknown;
	}

	get #accountName(): string {
		return this.#request.account?.name ?? '';
	}

	/** The request as a part of what its account uses. */
	get #work(): RequestWork {
		const {service, metadata, engine} = this.#request;
		return {service, account: this.#accountName, work: workOf({promptTokens: metadata.promptTokens, answerTokens: metadata.maxAnswerTokens}, engine)};
	}

	#admit(): void {
		this.#context.permitRequests.ask(this.#request.service);
		const {service, route, arrivedAtMs, deadlineAtMs, account, metadata} = this.#request;
		let isSettled = false;
		const pendingAdmission = this.#context.admission.admit({
			service,
			priority: account?.priority ?? route.priority,
			accountName: this.#accountName,
			arrivedAtMs,
			objectiveMs: route.objectiveMs,
			deadlineAtMs,
			sinceFirstTryMs: this.#timeSinceFirstAttempt.atLeastMs,
			mayBeRetry: this.#mayBeRetry || this.#lastEventId !== undefined,
			isFailover: this.#sentCount > 0,
			isTrial: this.#trialOf !== undefined,
			excluded: this.#triedTargets,
			requestLength: metadata,
		}, this.#nowMs, admission => {
			isSettled = true;
			this.#pendingAdmission = undefined;
			this.#onAdmission(admission);
		});
		if (!isSettled) {
			this.#pendingAdmission = pendingAdmission;
		}
	}

	#onAdmission(admission: Admission): void {
		if (this.#answer.hasCallerLeft) {
			this.#onCallerDisconnect();
			return;
		}

		this.#leftOut = this.#context.outcomes.leftOut(this.#request.service, admission.kind === 'refused' ? undefined : admission.view.report.targetId);
		if (admission.kind === 'refused') {
			this.#giveUp(admission.reason, admission.retryAfterMs);
			return;
		}

		const {report} = admission.view;
		if (this.#admittedAtMs === undefined) {
			this.#admittedAtMs = this.#nowMs;
			this.#context.accountUsage.admitted(this.#work, this.#nowMs - this.#request.arrivedAtMs);
		}

		this.#context.selector.sent(report.targetId, this.#nowMs, this.#request.metadata.promptTokens, this.#request.metadata);
		this.#isAwaitingResponse = true;
		this.#attemptBegunAtMs = undefined;
		this.#lastView = admission.view;
		const isResumed = this.#streamHead !== undefined;
		const urgency = isResumed ? urgencies.resumed : (admission.isLate ? urgencies.late : urgencies.onTime);
		this.#send(report, urgency);
	}

	#send(report: TargetReport, urgency: number): void {
		const {address, targetId, bornMs} = report;
		const {headerCodec, exchange} = this.#context;
		const {method, path, rawHeaders, body, route, metadata, deadlineAtMs} = this.#request;
		const headers = headerCodec.targetHeaders(rawHeaders, {
			targetId, timeLeftMs: Math.max(1, Math.floor(deadlineAtMs - this.#nowMs)), accountName: this.#request.account?.name, lastEventId: this.#lastEventId, urgency,
		});
		this.#triedTargets.add(targetId);
		const observed = this.#context.outcomes.sent(report, {requestId: metadata.requestId, route: route.name});
		const attempt = new Attempt({
			exchange,
			headerCodec,
			address,
			request: {
				method, path, headers, body,
			},
			requestId: metadata.requestId,
			isStream: route.kind === 'streaming',
			continuedAfter: this.#streamHead && {lastEventId: this.#lastEventId},
			isRetryable: isRetryable(route),
			responseBytes: this.#context.responseBytes,
			listener: {
				onMetadata: responseMetadata => {
					recordNotices(this.#context, {
						targetId, bornMs, requestId: metadata.requestId, wasSentUnderLimit: this.#lastView?.isLimited === true,
					}, responseMetadata);
				},
				onResponse: answer => {
					this.#onResponse(answer);
				},
				onEvents: (head, events) => {
					this.#onEvents(head, events);
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
			attempt, targetId, bornMs, address, exchange: observed,
		};
		this.#silenceTimer?.begin();
	}

	#onResponse(answer: CompleteResponse): void {
		if (this.#streamHead) {
			this.#onOutcome('failed', `status ${answer.head.status} instead of a stream`);
			return;
		}

		const isFailure = answer.head.status >= 500;
		if (isFailure && isRetryable(this.#request.route)) {
			this.#failureResponse = answer;
			this.#onOutcome('failed', `status ${answer.head.status}`);
			return;
		}

		this.#endAttempt(isFailure ? 'failed' : 'answered');
		this.#context.crashWatch.guard.recordAnswer(this.#request.components);
		this.#progress.recordFirstByte(this.#nowMs);
		this.#pass(answer);
	}

	/** Forwards a whole answer, whose bytes count until the caller has read them. */
	#pass({head, body}: CompleteResponse, reason?: string): void {
		this.#passedBytes = body.byteLength;
		this.#answer.pass(head, body);
		this.#end('answered', head.status, reason);
		if (this.unsentBytes > 0) {
			this.#context.unsentBytes.recordWrite(this);
		}
	}

	#onEvents(head: ResponseHead, {bytes, lastId, endsWithoutId}: CompleteEvents): void {
		this.#recordResponseStart();
		this.#context.outcomes.begun(this.#running!.exchange);
		if (!this.#streamHead) {
			this.#streamHead = head;
			this.#answer.startStream(head);
		}

		this.#progress.recordEvents(this.#nowMs);
		this.#silenceTimer?.recordEvent();
		this.#lastEventId = lastId ?? this.#lastEventId;
		this.#isPositionUnknown = endsWithoutId || (lastId === undefined && this.#isPositionUnknown);
		this.#answer.write(bytes);
		if (this.unsentBytes > maxUnsentBytes) {
			this.endUnread();
		} else {
			this.#context.unsentBytes.recordWrite(this);
		}
	}

	#recordResponseStart(): void {
		if (this.#isAwaitingResponse && this.#running) {
			this.#isAwaitingResponse = false;
			this.#attemptBegunAtMs = this.#nowMs;
			this.#context.selector.begun(this.#running, this.#request.metadata.promptTokens);
		}
	}

	#onStreamEnd(head: ResponseHead): void {
		this.#endAttempt('answered');
		this.#context.crashWatch.guard.recordAnswer(this.#request.components);
		if (!this.#streamHead) {
			this.#answer.startStream(head);
		}

		this.#answer.end();
		this.#end('answered', 200);
	}

	#onOutcome(outcome: AttemptOutcome, detail: string): void {
		const running = this.#running!;
		const answerBegunMs = this.#attemptBegunAtMs === undefined ? undefined : Math.round(this.#nowMs - this.#attemptBegunAtMs);
		this.#endAttempt(exchangeOutcomes[outcome]);
		if (outcome === 'notSent') {
			this.#unreachedCount++;
		} else if (outcome !== 'unsendable') {
			this.#sentCount++;
			this.#mayHaveRun ||= outcome !== 'notRun';
		}

		if (outcome === 'broken' && isBrokenConnection(detail)) {
			void this.#continueAfterBreak(running, detail, answerBegunMs);
		} else {
			this.#continue(running, outcome, detail);
		}
	}

	/** Tries another target only once it is known whether the first one has crashed, unless its answer had begun too long before. */
	async #continueAfterBreak(running: RunningAttempt, detail: string, answerBegunMs: number | undefined): Promise<void> {
		const {targetId, bornMs, address} = running;
		const {components, metadata} = this.#request;
		const check = this.#context.crashWatch.onConnectionBroken({
			targetId, bornMs, requestId: metadata.requestId, components, answerBegunMs, trialOf: this.#trialOf,
		}, address);
		if (mayHaveCausedCrash({answerBegunMs})) {
			this.#isAwaitingDecision = true;
			await check;
			this.#isAwaitingDecision = false;
		}

		if (!this.#isFinished) {
			this.#continue(running, 'broken', detail);
		}
	}

	/** Leaves the silent target if the stream may be sent to another one: silence alone is no reason to end it. */
	#moveSilentStream(): boolean {
		const {route, service, components} = this.#request;
		const step = nextStep({
			kind: route.kind, isResumable: this.#isResumable, outcome: 'broken', sentCount: this.#sentCount + 1, unreachedCount: this.#unreachedCount, maxAttempts: route.maxAttempts, mayHaveRun: true,
		});
		const isAccused = this.#trialOf !== undefined || this.#context.crashWatch.guard.isAccused(components);
		if (step !== 'tryAnother' || isAccused || !this.#running || !this.#context.retryBudget.isLeft(service, this.#nowMs, this.#context.entryCount())) {
			return false;
		}

		this.#running.attempt.abandon();
		this.#onOutcome('broken', 'silent');
		return true;
	}

	#continue({targetId}: RunningAttempt, outcome: AttemptOutcome, detail: string): void {
		const {logger, crashWatch} = this.#context;
		const {route, service, components, metadata} = this.#request;
		const step = nextStep({
			kind: route.kind, isResumable: this.#isResumable, outcome, sentCount: this.#sentCount, unreachedCount: this.#unreachedCount, maxAttempts: route.maxAttempts, mayHaveRun: this.#mayHaveRun,
		});
		const isAccused = this.#trialOf !== undefined || crashWatch.guard.isAccused(components);
		const mayRetry = step === 'tryAnother' && !isAccused
			&& (outcome === 'notSent' || this.#context.retryBudget.tryConsume(service, this.#nowMs, this.#context.entryCount()));
		logger.log('info', 'attemptEnded', {
			requestId: metadata.requestId, targetId, outcome, detail, step: mayRetry ? step : 'giveUp', isAccused, sent: this.#sentCount, lastEventId: this.#lastEventId,
		});
		if (mayRetry) {
			this.#admitAfterReads();
		} else {
			this.#giveUp(outcome, undefined);
		}
	}

	/** Admits the request once more when all that was received before is read: after a stall of the process, the end of an attempt and the close of the caller are read together. */
	#admitAfterReads(): void {
		setImmediate(() => {
			if (!this.#isFinished) {
				this.#admit();
			}
		});
	}

	/** Sends the final response without trying another target. */
	#giveUp(reason: string, retryAfterMs: number | undefined): void {
		if (this.#failureResponse && !this.#answer.isStarted) {
			this.#pass(this.#failureResponse, reason);
		} else if (this.#mayHaveRun) {
			this.#answer.fail(502, reason);
			this.#end('failed', 502, reason);
		} else {
			this.#refuse(reason, retryAfterMs ?? refusalRetryAfterMs);
		}
	}

	#refuse(reason: string, retryAfterMs: number): void {
		this.#context.accountUsage.refused(this.#work);
		this.#retryAfterMs = retryAfterMs;
		this.#answer.refuse(reason, retryAfterMs);
		this.#end('refused', 503, reason);
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
			this.#refuse('deadline', refusalRetryAfterMs);
		}
	}

	#onCallerDisconnect(): void {
		if (this.#isFinished) {
			return;
		}

		this.#running?.attempt.abandon();
		this.#endAttempt('abandoned');
		this.#answer.closeConnection();
		this.#end('callerLeft', 0);
	}

	#endAttempt(outcome: ExchangeOutcome): void {
		this.#silenceTimer?.stop();
		this.#recordResponseStart();
		if (this.#running) {
			this.#context.outcomes.ended(this.#running.exchange, outcome);
			this.#context.selector.ended(this.#running, outcome, this.#nowMs);
			if (outcome === 'answered' || outcome === 'abandoned') {
				this.#context.admission.recordEnded(this.#request.service, this.#nowMs);
			}

			this.#running = undefined;
			if (this.#context.admission.waitingCount > 0) {
				setImmediate(() => {
					this.#context.admission.processQueue(this.#nowMs);
				});
			}
		}
	}

	#end(outcome: string, status: number, reason?: string): void {
		if (this.#isFinished) {
			return;
		}

		this.#isFinished = true;
		this.#context.crashWatch.forwarding.delete(this);
		this.#context.unsentBytes.remove(this);
		this.#pendingAdmission?.cancel();
		clearTimeout(this.#deadline);
		this.#silenceTimer?.stop();
		recordEnd(this.#context, this.#request, {
			outcome,
			status,
			reason,
			suspectedComponents: this.#suspectedComponents,
			trialOf: this.#trialOf,
			view: this.#lastView,
			leftOut: this.#leftOut,
			sentCount: this.#sentCount,
			retryAfterMs: this.#retryAfterMs,
			sinceFirstTryMs: this.#timeSinceFirstAttempt.atLeastMs,
			mayBeRetry: this.#mayBeRetry,
			admittedAtMs: this.#admittedAtMs,
			progress: this.#progress,
		});
	}
}

/** `Retry-After` for requests that no target executed. */
const refusalRetryAfterMs = 150;

const exchangeOutcomes: Readonly<Record<AttemptOutcome, ExchangeOutcome>> = {
	notSent: 'unreachable', unsendable: 'abandoned', notRun: 'refused', failed: 'failed', broken: 'failed',
};

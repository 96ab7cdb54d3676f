/**
Lets requests run according to the fleet's suspects: most at once, a suspect alone on a target, a refused one never.
A crash is committed before its caller learns of it.
*/

import {createHash} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import type {ControlAccess} from '@rattanspring/control-client';
import type {SuspectAnswer, SuspectAttempt, SuspectCommand} from '@rattanspring/fleet-state';
import {suspectListTtlMs, type SuspectKey, type SuspectListCache} from '@rattanspring/routing';
import {
	err, ok, type Clock, type RequestFailure, type RequestId, type Result,
} from '@rattanspring/types';
import {notRun} from './problem.js';

/** Pause before a suspect asks again while another run of it is in progress. */
const busyRetryDelayMs = 50;

/** Time for control to confirm that a request is no suspect; without an answer the request runs. */
const confirmTimeoutMs = 300;

/** When a caller may come back where control cannot be asked about a suspect. */
const unreachableRetryAfterMs = 2000;

/** What tells two requests with the same effect on a target from others. */
export type RequestContent = {readonly clientAccount: string; readonly service: string; readonly method: string; readonly path: string; readonly body: Uint8Array};

/** Options of the guard. */
export type SuspectGuardOptions = {
	readonly suspectList: SuspectListCache;
	readonly control: ControlAccess;
	readonly clock: Clock;
};

/** Names a request by its account and the digest of what is sent to the target. */
export function suspectKeyOf(request: RequestContent): SuspectKey {
	const bodyDigest = createHash('sha256').update(`${request.service}\n${request.method} ${request.path}\n`).update(request.body).digest('hex');
	return {clientAccount: request.clientAccount, bodyDigest};
}

/** Admits requests to their runs. */
export class SuspectGuard {
	readonly #options: SuspectGuardOptions;

	constructor(options: SuspectGuardOptions) {
		this.#options = options;
	}

	/** Waits until a request may run, at most until its deadline. */
	async acquirePermit(request: RequestContent & {readonly deadlineMs: number}, requestId: RequestId): Promise<Result<RunPermit, RequestFailure>> {
		const permit = new RunPermit({
			...this.#options, name: suspectKeyOf(request), requestId, deadlineMs: request.deadlineMs,
		});
		const failure = await permit.acquire();
		return failure ? err(failure) : ok(permit);
	}
}

type RunPermitOptions = SuspectGuardOptions & {readonly name: SuspectKey; readonly requestId: RequestId; readonly deadlineMs: number};

/** The right of one request to run. */
export class RunPermit {
	readonly #options: RunPermitOptions;
	#isAlone = false;

	constructor(options: RunPermitOptions) {
		this.#options = options;
	}

	/** Whether the next attempt must have a target to itself. */
	get isAlone(): boolean {
		return this.#isAlone;
	}

	/** Asks for the right; returns why there is none. */
	async acquire(): Promise<RequestFailure | undefined> {
		const {suspectList, name, clock} = this.#options;
		const standing = suspectList.standing(name, clock.monotonicMs());
		switch (standing) {
			case 'free': {
				return undefined;
			}

			case 'refused': {
				return refused('didNotRun');
			}

			case 'suspect': {
				return this.#startRerun();
			}

			case 'unconfirmed': {
				return Promise.race([this.#startRerun(), sleep(confirmTimeoutMs, undefined, {ref: false})]);
			}
		}
	}

	/**
	Records that the target of an attempt crashed. Returns the failure to give to the caller, or undefined where the
	request may run again, alone. The failure is held back until no entry trusts a copy from before the crash.
	*/
	async crashed(crashed: Omit<SuspectAttempt, 'requestId'>, mayRunAgain: boolean): Promise<RequestFailure | undefined> {
		const {requestId} = this.#options;
		const answer = await this.#submit({kind: 'reportCrash', crashed: {...crashed, requestId}});
		this.#isAlone = false;
		if (answer && answer.kind !== 'refused' && mayRunAgain) {
			return this.#startRerun();
		}

		await sleep(suspectListTtlMs);
		return answer?.kind === 'refused' ? refused('unknown') : {type: 'targetCrashed', message: 'The target crashed while it ran the request.', execution: 'unknown'};
	}

	/** Ends the run; a whole answer clears a suspect. */
	async end(isWhole: boolean): Promise<void> {
		if (this.#isAlone) {
			this.#isAlone = false;
			await this.#submit({kind: 'endRerun', requestId: this.#options.requestId, isWhole});
		}
	}

	async #startRerun(): Promise<RequestFailure | undefined> {
		const {clock, deadlineMs, requestId} = this.#options;
		while (clock.monotonicMs() < deadlineMs) {
			const answer = await this.#submit({kind: 'startRerun', requestId});
			if (!answer) {
				return notRun('ledgerUnavailable', 'It cannot be confirmed that the request may run.', unreachableRetryAfterMs);
			}

			if (answer.kind === 'refused') {
				return refused('didNotRun');
			}

			if (answer.kind !== 'busy') {
				this.#isAlone = answer.kind === 'alone';
				return undefined;
			}

			await sleep(busyRetryDelayMs);
		}

		return notRun('deadlineExceeded', 'An equal request ran until the deadline; after a crash only one may run at a time.');
	}

	async #submit(command: CommandBody): Promise<SuspectAnswer | undefined> {
		const {control, clock, name} = this.#options;
		const result = await control.submit({kind: 'suspects', command: {...command, key: name, nowMs: clock.wallMs()}});
		return result.ok && result.value.kind === 'suspects' ? result.value.answer : undefined;
	}
}

type DistributiveOmit<Command, Keys extends string> = Command extends unknown ? Omit<Command, Keys> : never;
type CommandBody = DistributiveOmit<SuspectCommand, 'key' | 'nowMs'>;

function refused(execution: RequestFailure['execution']): RequestFailure {
	return {type: 'suspectRefused', message: 'Targets crashed while they ran this request; it is refused until an operator releases it.', execution};
}

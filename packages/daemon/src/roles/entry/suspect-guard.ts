/**
Decides by the fleet's list of suspects how a request may run: most requests without restriction, a suspect only alone on a target, a
refused request not at all. A crash is committed before its caller learns of it.
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

/** Delay before a suspect requests a rerun again while another rerun of it is in progress. */
const busyRetryDelayMs = 50;

/** Timeout for control to confirm that a request is not a suspect; when it expires, the request runs. */
const confirmTimeoutMs = 300;

/** Retry-After value where control cannot be reached about a suspect. */
const unreachableRetryAfterMs = 2000;

/** The parts of a request that determine its effect on a target; two requests with equal content are the same suspect. */
export type RequestContent = {readonly clientAccount: string; readonly service: string; readonly method: string; readonly path: string; readonly body: Uint8Array};

/** Options of `SuspectGuard`. */
export type SuspectGuardOptions = {
	readonly suspectList: SuspectListCache;
	readonly control: ControlAccess;
	readonly clock: Clock;
};

/** Returns the key of a request: its client account and the digest of its content. */
export function suspectKeyOf(request: RequestContent): SuspectKey {
	const bodyDigest = createHash('sha256').update(`${request.service}\n${request.method} ${request.path}\n`).update(request.body).digest('hex');
	return {clientAccount: request.clientAccount, bodyDigest};
}

/** Issues run permits. */
export class SuspectGuard {
	readonly #options: SuspectGuardOptions;

	constructor(options: SuspectGuardOptions) {
		this.#options = options;
	}

	/** Waits until a request may run, at most until its deadline, and returns its permit. */
	async acquirePermit(request: RequestContent & {readonly deadlineMs: number}, requestId: RequestId): Promise<Result<RunPermit, RequestFailure>> {
		const permit = new RunPermit({
			...this.#options, name: suspectKeyOf(request), requestId, deadlineMs: request.deadlineMs,
		});
		const failure = await permit.acquire();
		return failure ? err(failure) : ok(permit);
	}
}

type RunPermitOptions = SuspectGuardOptions & {readonly name: SuspectKey; readonly requestId: RequestId; readonly deadlineMs: number};

/** Permit of one request to run. */
export class RunPermit {
	readonly #options: RunPermitOptions;
	#isAlone = false;

	constructor(options: RunPermitOptions) {
		this.#options = options;
	}

	/** Whether the next attempt must run alone on its target. */
	get isAlone(): boolean {
		return this.#isAlone;
	}

	/** Acquires the permit; returns the failure if the request may not run. */
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
	Records that the target of an attempt crashed. Returns the failure to send to the caller, or undefined if the request may
	run again, alone. The failure is delayed until the cached lists from before the crash have expired at all entries.
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

	/** Ends the run. A complete response clears the suspect. */
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

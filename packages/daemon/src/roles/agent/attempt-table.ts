/**
Tracks the attempts that an agent has seen and guarantees that each is executed at most once.
Pure: performs no I/O and reads no clock.
*/

import type {agentProtocol} from '@rattanspring/protocol';
import type {Execution, Incarnation, RequestFailureType} from '@rattanspring/types';
import type {AttemptBuffer} from './attempt-buffer.js';
import type {StreamMemory} from './stream-memory.js';

/**
- `admitted`: queued; can still be sealed.
- `handedOver`: sent to the target, or possibly sent.
- `sealed`: reported as not run, so it must never run: refused for the whole incarnation, however often and in whatever
  order its dispatch arrives.
- `ended`: the target has run it, or may have run it.
*/
export type AttemptState = 'admitted' | 'handedOver' | 'sealed' | 'ended';

export type Attempt = {
	readonly key: string;
	readonly request: agentProtocol.ExecuteRequest;
	readonly buffer: AttemptBuffer;
	state: AttemptState;
};

/** Identifies an attempt in an entry's request, with the client account that must own it. */
export type AttemptQuery = {readonly requestId: string; readonly attempt: number; readonly clientAccount: string};

/**
How a dispatch is handled.
- `admitted`: first dispatch of the attempt; to be queued and handed over.
- `known`: a duplicate; reads the same response.
- `refused`: did not run and never will.
- `notOwner`: the request belongs to another client account, so nothing is disclosed about it.
- `gone`: handed over before, and its response is no longer held.
- `otherIncarnation`: expects an incarnation of which this agent has no records; a duplicate may have run there.
*/
export type DispatchDecision
	= | {readonly kind: 'admitted' | 'known' | 'refused'; readonly attempt: Attempt}
		| {readonly kind: 'notOwner' | 'gone' | 'otherIncarnation'};

/** Result of a seal request. */
export type SealOutcome = 'sealed' | 'held' | 'gone' | 'otherIncarnation' | 'notOwner';

/** Result of a cancel request. `abort` tells the caller to stop the target's work. */
export type CancelOutcome = {readonly execution: Execution; readonly abort: boolean};

/** Options of a table. */
export type AttemptTableOptions = {
	readonly incarnation: Incarnation;
	readonly memory: StreamMemory;
	/** Bounds the memory: at this number of records, the table starts a new incarnation and refuses dispatches that expect an earlier one. */
	readonly maxRecordsPerIncarnation?: number;
};

/** What is kept of an attempt after its response has been dropped. */
type AttemptRecord = {readonly isSealed: boolean; readonly clientAccount: string};

type IncarnationRecords = {readonly incarnation: Incarnation; readonly recordsByKey: Map<string, AttemptRecord>};

const defaultMaxRecordsPerIncarnation = 65_536;

/** Delay before a caller should retry after a refusal. */
const retryAfterMs = 500;

/** Holds the attempts of one agent. */
export class AttemptTable {
	readonly #attempts = new Map<string, Attempt>();
	readonly #maxRecordsPerIncarnation: number;
	readonly #memory: StreamMemory;
	#current: IncarnationRecords;
	#previous: IncarnationRecords | undefined;
	#isLeaving = false;

	constructor(options: AttemptTableOptions) {
		this.#current = {incarnation: options.incarnation, recordsByKey: new Map()};
		this.#memory = options.memory;
		this.#maxRecordsPerIncarnation = options.maxRecordsPerIncarnation ?? defaultMaxRecordsPerIncarnation;
	}

	/** The current incarnation. */
	get incarnation(): Incarnation {
		return this.#current.incarnation;
	}

	/** Refuses all new attempts from now on. */
	startDraining(): void {
		this.#isLeaving = true;
	}

	/** Decides how to handle a dispatch and creates the attempt if it is new. */
	dispatch(request: agentProtocol.ExecuteRequest): DispatchDecision {
		const key = attemptKey(request);
		const held = this.#attempts.get(key);
		if (held) {
			return held.request.clientAccount === request.clientAccount ? {kind: 'known', attempt: held} : {kind: 'notOwner'};
		}

		const attemptRecord = this.#findRecord(key);
		if (attemptRecord?.isSealed === false) {
			return attemptRecord.clientAccount === request.clientAccount ? {kind: 'gone'} : {kind: 'notOwner'};
		}

		if (!this.#hasRecordsOf(request.expectedIncarnation)) {
			return {kind: 'otherIncarnation'};
		}

		const refusal = this.#refusalOf(request, attemptRecord !== undefined);
		const attempt = this.#createAttempt(key, request);
		if (refusal) {
			this.refuse(attempt, refusal);
			return {kind: 'refused', attempt};
		}

		return {kind: 'admitted', attempt};
	}

	/** Seals an admitted attempt and ends its response with a refusal. Has no effect once the attempt was handed over. */
	refuse(attempt: Attempt, refusal: agentProtocol.Refusal): void {
		if (attempt.state !== 'admitted') {
			return;
		}

		attempt.state = 'sealed';
		this.#addRecord(attempt.key, {isSealed: true, clientAccount: attempt.request.clientAccount});
		attempt.buffer.refuse(refusal);
	}

	/** Marks the attempt as handed over; returns false if it was already sealed or handed over. An attempt may be sent to its target only after this returned true, so it is sent at most once. */
	handOver(attempt: Attempt): boolean {
		if (attempt.state !== 'admitted') {
			return false;
		}

		attempt.state = 'handedOver';
		this.#addRecord(attempt.key, {isSealed: false, clientAccount: attempt.request.clientAccount});
		return true;
	}

	/** Records that the target has ended its work on an attempt. */
	finish(attempt: Attempt): void {
		if (attempt.state === 'handedOver') {
			attempt.state = 'ended';
		}
	}

	/** Finds an attempt; undefined if it is not held or belongs to another client account. */
	findAttempt(query: AttemptQuery): Attempt | undefined {
		const attempt = this.#attempts.get(attemptKey(query));
		return attempt?.request.clientAccount === query.clientAccount ? attempt : undefined;
	}

	/** Returns the outcome of an attempt, and seals it if this incarnation has never seen it. */
	seal(query: AttemptQuery, incarnation: Incarnation): SealOutcome {
		const key = attemptKey(query);
		const held = this.#attempts.get(key);
		if (held) {
			return this.#sealOutcomeOf(held, query.clientAccount);
		}

		if (!this.#hasRecordsOf(incarnation)) {
			return 'otherIncarnation';
		}

		const attemptRecord = this.#findRecord(key);
		if (!attemptRecord) {
			this.#addRecord(key, {isSealed: true, clientAccount: query.clientAccount});
			return 'sealed';
		}

		if (attemptRecord.clientAccount !== query.clientAccount) {
			return 'notOwner';
		}

		return attemptRecord.isSealed ? 'sealed' : 'gone';
	}

	/** Cancels an attempt for its owner: seals it before hand-over, otherwise asks for the target's work to be aborted. */
	cancel(query: AttemptQuery): CancelOutcome {
		const attempt = this.findAttempt(query);
		if (!attempt) {
			return {execution: 'unknown', abort: false};
		}

		if (attempt.state === 'admitted') {
			this.refuse(attempt, createRefusal('cancelled', 'The request was cancelled before it ran.'));
			return {execution: 'didNotRun', abort: false};
		}

		return {execution: attempt.state === 'sealed' ? 'didNotRun' : 'unknown', abort: attempt.state === 'handedOver'};
	}

	/** Releases the response of an attempt that is sealed or has ended; the record of its outcome is kept. */
	drop(attempt: Attempt): void {
		if (attempt.state === 'sealed' || attempt.state === 'ended') {
			this.#attempts.delete(attempt.key);
			this.#memory.release(attempt.buffer);
		}
	}

	#sealOutcomeOf(attempt: Attempt, clientAccount: string): SealOutcome {
		if (attempt.request.clientAccount !== clientAccount) {
			return 'notOwner';
		}

		return attempt.state === 'sealed' ? 'sealed' : 'held';
	}

	#createAttempt(key: string, request: agentProtocol.ExecuteRequest): Attempt {
		const {requestId, attempt: number} = request;
		const buffer = this.#memory.allocate({requestId, attempt: number, incarnation: this.incarnation});
		const attempt: Attempt = {
			key, request, buffer, state: 'admitted',
		};
		this.#attempts.set(key, attempt);
		return attempt;
	}

	#refusalOf(request: agentProtocol.ExecuteRequest, isSealed: boolean): agentProtocol.Refusal | undefined {
		if (isSealed) {
			return createRefusal('cancelled', 'The attempt was sealed before its dispatch arrived.');
		}

		if (request.expectedIncarnation !== this.incarnation) {
			return createRefusal('noTarget', 'The agent has started a new incarnation since the target was selected.');
		}

		return this.#isLeaving ? createRefusal('draining', 'The agent is shutting down.') : undefined;
	}

	/** Whether records of all attempts of an incarnation are held; true for the current one and the previous one. */
	#hasRecordsOf(incarnation: Incarnation): boolean {
		return incarnation === this.#current.incarnation || incarnation === this.#previous?.incarnation;
	}

	#findRecord(key: string): AttemptRecord | undefined {
		return this.#current.recordsByKey.get(key) ?? this.#previous?.recordsByKey.get(key);
	}

	#addRecord(key: string, attemptRecord: AttemptRecord): void {
		if (this.#current.recordsByKey.size >= this.#maxRecordsPerIncarnation) {
			this.#previous = this.#current;
			this.#current = {incarnation: this.#previous.incarnation + 1, recordsByKey: new Map()};
		}

		this.#current.recordsByKey.set(key, attemptRecord);
	}
}

/** Returns a key that is unique to an attempt within an agent. */
export function attemptKey(name: {readonly requestId: string; readonly attempt: number}): string {
	return `${name.requestId}/${name.attempt}`;
}

/** Creates the refusal of an attempt that did not run. */
export function createRefusal(type: RequestFailureType, message: string): agentProtocol.Refusal {
	return {
		type, message, execution: 'didNotRun', retryAfterMs,
	};
}

/** Creates the failure of an attempt that may have run. */
export function createFailure(type: RequestFailureType, message: string): agentProtocol.Refusal {
	return {
		type, message, execution: 'unknown', retryAfterMs: 0,
	};
}

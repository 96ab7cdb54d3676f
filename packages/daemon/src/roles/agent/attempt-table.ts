/**
Which attempts an agent has seen, and the promises it gave about them.

Pure: it does no I/O and reads no clock. An attempt is handed over to its target at most once, and only `handOver`
allows it. An attempt is sealed when the agent says that it did not run: from then on it is refused for the whole
incarnation, whether its dispatch comes earlier, later or twice. Memory is bounded: when too many attempts are
remembered, the table begins a new incarnation, and dispatches meant for an earlier one are refused.
*/

import type {agentProtocol} from '@rattanspring/protocol';
import type {Execution, Incarnation, RequestFailureType} from '@rattanspring/types';
import type {AttemptBuffer} from './attempt-buffer.js';
import type {StreamMemory} from './stream-memory.js';

/**
- `admitted`: waits for its turn; may still be sealed.
- `handedOver`: the target has it, or may have it.
- `sealed`: it did not run and never will.
- `ended`: the target ran it, or may have run it.
*/
export type AttemptState = 'admitted' | 'handedOver' | 'sealed' | 'ended';

/** One attempt. */
export type Attempt = {
	readonly key: string;
	readonly request: agentProtocol.ExecuteRequest;
	readonly buffer: AttemptBuffer;
	state: AttemptState;
};

/** Names an attempt in a question of an entry. */
export type AttemptQuestion = {readonly requestId: string; readonly attempt: number; readonly clientAccount: string};

/**
What to do with a dispatch.
- `admitted`: new here; hand it over once its turn has come.
- `known`: a copy; read the same answer.
- `refused`: it did not run and never will.
- `notOwner`: another client account owns the request; nothing is said about it.
- `gone`: it was handed over before, and its answer is no longer held.
- `otherIncarnation`: it was meant for an incarnation that this agent knows nothing of; a copy may have run there.
*/
export type DispatchDecision
	= | {readonly kind: 'admitted' | 'known' | 'refused'; readonly attempt: Attempt}
		| {readonly kind: 'notOwner' | 'gone' | 'otherIncarnation'};

/** What became of an attempt. */
export type SealOutcome = 'sealed' | 'held' | 'gone' | 'otherIncarnation' | 'notOwner';

/** What a cancel did. `abort` asks the adapter to stop the target. */
export type CancelOutcome = {readonly execution: Execution; readonly abort: boolean};

/** Options of a table. */
export type AttemptTableOptions = {
	readonly incarnation: Incarnation;
	readonly memory: StreamMemory;
	/** Attempts remembered in one incarnation. */
	readonly maxRecordsPerIncarnation?: number;
};

/** What is remembered of an attempt after its answer is no longer held. */
type Remembered = {readonly isSealed: boolean; readonly clientAccount: string};

type Generation = {readonly incarnation: Incarnation; readonly remembered: Map<string, Remembered>};

/** Attempts remembered in one incarnation by default. */
const defaultMaxRemembered = 65_536;

/** When a caller may come back after a refusal. */
const retryAfterMs = 500;

/** The attempts of one agent. */
export class AttemptTable {
	readonly #attempts = new Map<string, Attempt>();
	readonly #maxRemembered: number;
	readonly #memory: StreamMemory;
	#current: Generation;
	#previous: Generation | undefined;
	#isLeaving = false;

	constructor(options: AttemptTableOptions) {
		this.#current = {incarnation: options.incarnation, remembered: new Map()};
		this.#memory = options.memory;
		this.#maxRemembered = options.maxRecordsPerIncarnation ?? defaultMaxRemembered;
	}

	/** The present incarnation. */
	get incarnation(): Incarnation {
		return this.#current.incarnation;
	}

	/** From now on every new attempt is refused. */
	leave(): void {
		this.#isLeaving = true;
	}

	/** Takes in a dispatch. */
	dispatch(request: agentProtocol.ExecuteRequest): DispatchDecision {
		const key = attemptKey(request);
		const held = this.#attempts.get(key);
		if (held) {
			return held.request.clientAccount === request.clientAccount ? {kind: 'known', attempt: held} : {kind: 'notOwner'};
		}

		const remembered = this.#lookUp(key);
		if (remembered?.isSealed === false) {
			return remembered.clientAccount === request.clientAccount ? {kind: 'gone'} : {kind: 'notOwner'};
		}

		if (!this.#isOwnIncarnation(request.expectedIncarnation)) {
			return {kind: 'otherIncarnation'};
		}

		const refusal = this.#refusalOf(request, remembered !== undefined);
		const attempt = this.#add(key, request);
		if (refusal) {
			this.refuse(attempt, refusal);
			return {kind: 'refused', attempt};
		}

		return {kind: 'admitted', attempt};
	}

	/** Seals an admitted attempt and ends its answer with a refusal. Has no effect on one that was handed over. */
	refuse(attempt: Attempt, refusal: agentProtocol.Refusal): void {
		if (attempt.state !== 'admitted') {
			return;
		}

		attempt.state = 'sealed';
		this.#remember(attempt.key, {isSealed: true, clientAccount: attempt.request.clientAccount});
		attempt.buffer.refuse(refusal);
	}

	/** Allows the hand-over to the target; false if the attempt was sealed before or handed over already. */
	handOver(attempt: Attempt): boolean {
		if (attempt.state !== 'admitted') {
			return false;
		}

		attempt.state = 'handedOver';
		this.#remember(attempt.key, {isSealed: false, clientAccount: attempt.request.clientAccount});
		return true;
	}

	/** Notes that the target has ended its work on an attempt. */
	finish(attempt: Attempt): void {
		if (attempt.state === 'handedOver') {
			attempt.state = 'ended';
		}
	}

	/** The attempt a reader comes back to; undefined if it is not held or belongs to another client account. */
	findAttempt(question: AttemptQuestion): Attempt | undefined {
		const attempt = this.#attempts.get(attemptKey(question));
		return attempt?.request.clientAccount === question.clientAccount ? attempt : undefined;
	}

	/** Says what became of an attempt, and seals it if this incarnation has never seen it. */
	seal(question: AttemptQuestion, incarnation: Incarnation): SealOutcome {
		const key = attemptKey(question);
		const held = this.#attempts.get(key);
		if (held) {
			return this.#sealHeld(held, question.clientAccount);
		}

		if (!this.#isOwnIncarnation(incarnation)) {
			return 'otherIncarnation';
		}

		const remembered = this.#lookUp(key);
		if (!remembered) {
			this.#remember(key, {isSealed: true, clientAccount: question.clientAccount});
			return 'sealed';
		}

		if (remembered.clientAccount !== question.clientAccount) {
			return 'notOwner';
		}

		return remembered.isSealed ? 'sealed' : 'gone';
	}

	/** Cancels an attempt of its owner: seals it before hand-over, else asks for the target to be stopped. */
	cancel(question: AttemptQuestion): CancelOutcome {
		const attempt = this.findAttempt(question);
		if (!attempt) {
			return {execution: 'unknown', abort: false};
		}

		if (attempt.state === 'admitted') {
			this.refuse(attempt, createRefusal('cancelled', 'The request was cancelled before it ran.'));
			return {execution: 'didNotRun', abort: false};
		}

		return {execution: attempt.state === 'sealed' ? 'didNotRun' : 'unknown', abort: attempt.state === 'handedOver'};
	}

	/** Forgets an answer that nobody will read any more; what became of the attempt stays known. */
	drop(attempt: Attempt): void {
		if (attempt.state === 'sealed' || attempt.state === 'ended') {
			this.#attempts.delete(attempt.key);
			this.#memory.release(attempt.buffer);
		}
	}

	#sealHeld(attempt: Attempt, clientAccount: string): SealOutcome {
		if (attempt.request.clientAccount !== clientAccount) {
			return 'notOwner';
		}

		return attempt.state === 'sealed' ? 'sealed' : 'held';
	}

	#add(key: string, request: agentProtocol.ExecuteRequest): Attempt {
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
			return createRefusal('cancelled', 'The attempt was sealed before its dispatch came.');
		}

		if (request.expectedIncarnation !== this.incarnation) {
			return createRefusal('noTarget', 'The agent has begun a new incarnation since the attempt was planned.');
		}

		return this.#isLeaving ? createRefusal('draining', 'The target is leaving.') : undefined;
	}

	/** Whether all attempts meant for an incarnation are remembered; true for the present one and the one before. */
	#isOwnIncarnation(incarnation: Incarnation): boolean {
		return incarnation === this.#current.incarnation || incarnation === this.#previous?.incarnation;
	}

	#lookUp(key: string): Remembered | undefined {
		return this.#current.remembered.get(key) ?? this.#previous?.remembered.get(key);
	}

	#remember(key: string, remembered: Remembered): void {
		if (this.#current.remembered.size >= this.#maxRemembered) {
			this.#previous = this.#current;
			this.#current = {incarnation: this.#previous.incarnation + 1, remembered: new Map()};
		}

		this.#current.remembered.set(key, remembered);
	}
}

/** Text that names an attempt within an agent. */
export function attemptKey(name: {readonly requestId: string; readonly attempt: number}): string {
	return `${name.requestId}/${name.attempt}`;
}

/** A refusal of an attempt that did not run. */
export function createRefusal(type: RequestFailureType, message: string): agentProtocol.Refusal {
	return {
		type, message, execution: 'didNotRun', retryAfterMs,
	};
}

/** The failure of an attempt that may have run. */
export function createFailure(type: RequestFailureType, message: string): agentProtocol.Refusal {
	return {
		type, message, execution: 'unknown', retryAfterMs: 0,
	};
}

/**
Memory that the requests at a server hold: their heads, what has come of their bodies, and the whole bodies until they are answered. When it is used up, a request whose body
has stopped coming goes first, longest silent before others; a caller that goes on sending is refused only if there is no such request.
*/

import {BudgetShare, type ByteBudget} from './byte-budget.js';
import {garbageWatch} from './garbage-watch.js';

/** A body counts as stopped when nothing has come for this long. */
const stoppedMs = 500;

/** What a request takes besides its head and body: the objects that stand for it. */
const requestOverheadBytes = 4096;

/** Options of the memory. */
export type RequestMemoryOptions = {
	readonly budget: ByteBudget;
	readonly nowMs: () => number;
	/** Called when a request was ended whose body had stopped coming. */
	readonly onStopped: () => void;
};

/** The memory of all requests at one server. */
export class RequestMemory {
	readonly #options: RequestMemoryOptions;
	/** Requests whose bodies are not complete, those that were silent for longest first, and when something last came. */
	readonly #receiving = new Map<HeldRequest, number>();

	constructor(options: RequestMemoryOptions) {
		this.#options = options;
	}

	get usedBytes(): number {
		return this.#options.budget.usedBytes;
	}

	/** Memory for a request whose head has this size. */
	open(headBytes: number): HeldRequest {
		const {budget, nowMs} = this.#options;
		const share = new BudgetShare(budget);
		const fixedBytes = headBytes + requestOverheadBytes;
		const held: HeldRequest = new HeldRequest({
			hold: bytes => {
				this.#touch(held, nowMs());
				return this.#hold(held, share, fixedBytes + bytes);
			},
			complete: () => {
				this.#receiving.delete(held);
			},
			release: () => {
				this.#receiving.delete(held);
				garbageWatch.addBuffer(share.heldBytes);
				share.release();
			},
		});
		return held;
	}

	#touch(held: HeldRequest, nowMs: number): void {
		this.#receiving.delete(held);
		this.#receiving.set(held, nowMs);
	}

	#hold(held: HeldRequest, share: BudgetShare, bytes: number): boolean {
		while (!share.hold(bytes)) {
			const stopped = this.#longestStopped();
			if (!stopped || stopped === held) {
				return false;
			}

			stopped.end();
			this.#options.onStopped();
		}

		return true;
	}

	#longestStopped(): HeldRequest | undefined {
		const [first] = this.#receiving;
		return first && this.#options.nowMs() - first[1] >= stoppedMs ? first[0] : undefined;
	}
}

type HeldRequestActions = {readonly hold: (bytes: number) => boolean; readonly complete: () => void; readonly release: () => void};

/** What one request holds. */
export class HeldRequest {
	/** Called when the request is to end, as its memory is needed for others. */
	onEnd: (() => void) | undefined;
	readonly #actions: HeldRequestActions;
	#isEnded = false;

	constructor(actions: HeldRequestActions) {
		this.#actions = actions;
	}

	/** Whether the request was ended for others. */
	get isEnded(): boolean {
		return this.#isEnded;
	}

	/** Holds this many bytes of a body from now on, as more of it has come; false, and nothing changes, if there is no memory for them. */
	hold(bytes: number): boolean {
		return !this.#isEnded && this.#actions.hold(bytes);
	}

	/** The body is complete: the request is no longer ended for others. */
	complete(): void {
		this.#actions.complete();
	}

	/** Gives everything back. */
	release(): void {
		this.#actions.release();
	}

	/** Ends the request, and gives back what it holds. */
	end(): void {
		this.#isEnded = true;
		this.release();
		this.onEnd?.();
	}
}

/**
Bytes of answers that wait at one entry for their callers to read them. Each stream has its own limit; this is the one over all answers, since many callers who read
slowly fill the memory while each stays within its own.
*/

/** An answer that is forwarded to a caller. */
export type ForwardedAnswer = {
	readonly unsentBytes: number;
	/** Bytes that the caller's connection has taken. */
	readonly deliveredBytes: number;
	/** Ends the answer because its caller does not read it. */
	readonly endUnread: () => void;
};

/** An answer of which the caller took nothing for this long is ended before others. */
const unreadMs = 1000;

type Seen = {unsentBytes: number; deliveredBytes: number; deliveredAtMs: number};

/** Options of the budget. */
export type UnsentBudgetOptions = {readonly maxBytes: number; readonly nowMs: () => number};

/** Keeps the unsent bytes of all answers below a maximum, by ending those that nobody reads, and then those with the most. */
export class UnsentBudget {
	readonly #maxBytes: number;
	readonly #nowMs: () => number;
	/** Answers when they were last seen; one without unsent bytes is not kept. */
	readonly #seen = new Map<ForwardedAnswer, Seen>();
	#totalBytes = 0;

	constructor({maxBytes, nowMs}: UnsentBudgetOptions) {
		this.#maxBytes = maxBytes;
		this.#nowMs = nowMs;
	}

	get totalBytes(): number {
		return this.#totalBytes;
	}

	/** Call it after each write to an answer. */
	recordWrite(answer: ForwardedAnswer): void {
		this.#see(answer);
		if (this.#totalBytes > this.#maxBytes) {
			this.#endUnread();
		}
	}

	/** Call it when an answer has ended. */
	remove(answer: ForwardedAnswer): void {
		this.#totalBytes -= this.#seen.get(answer)?.unsentBytes ?? 0;
		this.#seen.delete(answer);
	}

	/** Callers may have read since their answer was last seen, so all are looked at again first. */
	#endUnread(): void {
		for (const answer of this.#seen.keys()) {
			this.#see(answer);
		}

		const readBeforeMs = this.#nowMs() - unreadMs;
		const isUnread = ({deliveredAtMs}: Seen) => Number(deliveredAtMs <= readBeforeMs);
		const inOrder = [...this.#seen].toSorted(([, left], [, right]) => isUnread(right) - isUnread(left) || right.unsentBytes - left.unsentBytes);
		for (const [answer] of inOrder) {
			if (this.#totalBytes <= this.#maxBytes) {
				return;
			}

			this.remove(answer);
			answer.endUnread();
		}
	}

	#see(answer: ForwardedAnswer): void {
		const {unsentBytes, deliveredBytes} = answer;
		const earlier = this.#seen.get(answer);
		this.#totalBytes += unsentBytes - (earlier?.unsentBytes ?? 0);
		if (unsentBytes === 0) {
			this.#seen.delete(answer);
			return;
		}

		const deliveredAtMs = earlier?.deliveredBytes === deliveredBytes ? earlier.deliveredAtMs : this.#nowMs();
		this.#seen.set(answer, {unsentBytes, deliveredBytes, deliveredAtMs});
	}
}

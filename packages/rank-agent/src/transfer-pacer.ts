/**
Limits the bytes of large messages that are on their way over this VM's link at the same time. Small requests are not paced: on the link, they
wait behind the admitted messages only.
*/

import {slowestBytesPerMs} from './relay-limits.js';

/** Limit of the bytes on their way. One larger message is admitted if there is no other. */
const maxBytesOnTheWay = 24_576;

/** Admits messages in the order in which they were announced. */
export class TransferPacer {
	#bytesOnTheWay = 0;
	readonly #waiting: Array<{readonly bytes: number; readonly admit: () => void}> = [];

	/** Runs a transfer once it is admitted. It receives the time that the link may take for all messages that are on their way with this one. */
	async run<Result>(bytes: number, transfer: (allowanceMs: number) => Promise<Result>): Promise<Result> {
		await this.#admission(bytes);
		try {
			return await transfer(this.#bytesOnTheWay / slowestBytesPerMs);
		} finally {
			this.#bytesOnTheWay -= bytes;
			this.#admitNext();
		}
	}

	async #admission(bytes: number): Promise<void> {
		return new Promise(resolve => {
			this.#waiting.push({bytes, admit: resolve});
			this.#admitNext();
		});
	}

	#admitNext(): void {
		const [next] = this.#waiting;
		if (next && (this.#bytesOnTheWay === 0 || this.#bytesOnTheWay + next.bytes <= maxBytesOnTheWay)) {
			this.#waiting.shift();
			this.#bytesOnTheWay += next.bytes;
			next.admit();
			this.#admitNext();
		}
	}
}

/** Writes of a replica, in order, with the messages that must wait for them. */

import type {
	Effect, Envelope, LogEntry, LogStorage,
} from '@rattanspring/replicated-log';

/** Effects that take part in the order of writes. */
export type WriteEffect = Extract<Effect, {type: 'saveVoteState' | 'append' | 'saveSnapshot' | 'send'}>;

/** Options of the queue. */
export type WriteQueueOptions = {
	readonly storage: LogStorage;
	readonly send: (envelope: Envelope) => void;
	/** Told after each batch that had entries. */
	readonly onSynced: (index: number, term: number) => void;
};

/** Writes one batch at a time; what comes meanwhile makes up the next. */
export class WriteQueue {
	readonly #options: WriteQueueOptions;
	#waiting: WriteEffect[] = [];
	#running: Promise<void> | undefined;

	constructor(options: WriteQueueOptions) {
		this.#options = options;
	}

	/** Adds a write, or a message that waits for all writes before it. */
	add(effect: WriteEffect): void {
		if (effect.type === 'send' && !this.#running && this.#waiting.length === 0) {
			this.#options.send(effect.envelope);
			return;
		}

		this.#waiting.push(effect);
		this.#running ??= this.#run();
	}

	/** Resolves once all is written. After a failed write it resolves at once; the storage has ended the process. */
	async finish(): Promise<void> {
		await this.#running;
	}

	async #run(): Promise<void> {
		// Effects of the same step, and of others in this turn of the loop, join the batch.
		await Promise.resolve();
		try {
			while (this.#waiting.length > 0) {
				const batch = this.#waiting;
				this.#waiting = [];
				await this.#writeBatch(batch);
			}

			this.#running = undefined;
		} catch {
			// The storage told the fatal port. `#running` stays set, so that no message goes out any more.
		}
	}

	async #writeBatch(batch: readonly WriteEffect[]): Promise<void> {
		let entries: LogEntry[] = [];
		for (const effect of batch) {
			if (effect.type === 'append') {
				const [{index}] = effect.entries;
				entries = [...entries.filter(entry => entry.index < index), ...effect.entries];
			} else if (effect.type !== 'send') {
				await this.#options.storage.append(entries);
				entries = [];
				await (effect.type === 'saveVoteState' ? this.#options.storage.saveVoteState(effect.voteState) : this.#options.storage.saveSnapshot(effect.snapshot));
			}
		}

		await this.#options.storage.append(entries);
		for (const effect of batch) {
			if (effect.type === 'send') {
				this.#options.send(effect.envelope);
			}
		}

		const last = batch.findLast(effect => effect.type === 'append')?.entries.at(-1);
		if (last) {
			this.#options.onSynced(last.index, last.term);
		}
	}
}

/** Ordered queue of a replica's writes and the messages that may be sent only after them. */

import type {
	Effect, Envelope, LogEntry, LogStorage,
} from '@rattanspring/replicated-log';

/** Effects that are processed in write order. */
export type WriteEffect = Extract<Effect, {type: 'saveVoteState' | 'append' | 'saveSnapshot' | 'send'}>;

export type WriteQueueOptions = {
	readonly storage: LogStorage;
	readonly send: (envelope: Envelope) => void;
	/** Called after each batch that contained entries. */
	readonly onSynced: (index: number, term: number) => void;
};

/** Writes one batch at a time; effects added meanwhile form the next batch. */
export class WriteQueue {
	readonly #options: WriteQueueOptions;
	#queued: WriteEffect[] = [];
	#activeRun: Promise<void> | undefined;

	constructor(options: WriteQueueOptions) {
		this.#options = options;
	}

	/** Adds a write, or a message that is sent after all earlier writes. */
	add(effect: WriteEffect): void {
		if (effect.type === 'send' && !this.#activeRun && this.#queued.length === 0) {
			this.#options.send(effect.envelope);
			return;
		}

		this.#queued.push(effect);
		this.#activeRun ??= this.#run();
	}

	/** Resolves once all effects are written. After a failed write it resolves at once, since the storage has reported a fatal error. */
	async finish(): Promise<void> {
		await this.#activeRun;
	}

	async #run(): Promise<void> {
		// Lets effects of the same step, and of other steps in the same event loop turn, join the batch.
		await Promise.resolve();
		try {
			while (this.#queued.length > 0) {
				const batch = this.#queued;
				this.#queued = [];
				await this.#writeBatch(batch);
			}

			this.#activeRun = undefined;
		} catch {
			// The storage has called the fatal error handler. `#activeRun` stays set so that no further message is sent.
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

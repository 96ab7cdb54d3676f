/** In-memory suffix of a log, starting after a base position. */

import type {LogEntry} from './log-entry.js';

/** Entries after `baseIndex`. */
export class EntryList {
	#baseIndex: number;
	#baseTerm: number;
	#entries: LogEntry[] = [];

	constructor(baseIndex: number, baseTerm: number, entries: readonly LogEntry[] = []) {
		this.#baseIndex = baseIndex;
		this.#baseTerm = baseTerm;
		this.#entries = [...entries];
	}

	/** Index of the last entry that was removed from memory. */
	get baseIndex(): number {
		return this.#baseIndex;
	}

	/** Index of the last entry. */
	get lastIndex(): number {
		return this.#baseIndex + this.#entries.length;
	}

	/** Term of the last entry. */
	get lastTerm(): number {
		return this.#entries.at(-1)?.term ?? this.#baseTerm;
	}

	/** Term of the entry at `index`; undefined if the entry is not in memory. */
	termAt(index: number): number | undefined {
		return index === this.#baseIndex ? this.#baseTerm : this.#entries[index - this.#baseIndex - 1]?.term;
	}

	/** Up to `limit` entries starting at `fromIndex`; without a limit, all of them. */
	slice(fromIndex: number, limit = Number.POSITIVE_INFINITY): LogEntry[] {
		const start = fromIndex - this.#baseIndex - 1;
		return this.#entries.slice(start, start + limit);
	}

	push(entry: LogEntry): void {
		this.#entries.push(entry);
	}

	/** Removes all entries from `index` on. */
	truncateFrom(index: number): void {
		this.#entries.length = Math.max(0, index - this.#baseIndex - 1);
	}

	/** Removes all entries up to and including `index`. */
	dropThrough(index: number): void {
		if (index <= this.#baseIndex) {
			return;
		}

		this.#baseTerm = this.termAt(index)!;
		this.#entries = this.#entries.slice(index - this.#baseIndex);
		this.#baseIndex = index;
	}

	/** Removes all entries and sets a new base position. */
	reset(baseIndex: number, baseTerm: number): void {
		this.#baseIndex = baseIndex;
		this.#baseTerm = baseTerm;
		this.#entries = [];
	}
}

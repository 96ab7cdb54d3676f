/** Rebuilds the log entries from the segment records, in the order in which they were written. */

import {EntryList, type LogEntry, type LogSnapshot} from '@rattanspring/replicated-log';
import {FailureError} from '@rattanspring/types';
import {damaged} from './failures.js';

/** Content of a segment record: entries that replace the log from the first entry's index on, or a reset to the position of a snapshot. */
export type SegmentRecord
	= | {readonly kind: 'entries'; readonly entries: readonly LogEntry[]}
		| {readonly kind: 'reset'; readonly baseIndex: number; readonly baseTerm: number};

/** Last log index that a record covers. */
export function lastIndexOf(content: SegmentRecord): number {
	return content.kind === 'entries' ? content.entries.at(-1)!.index : content.baseIndex;
}

/** Applies records to an initially empty log. */
export class LogReplay {
	readonly #snapshot: LogSnapshot | undefined;
	#entries: LogEntry[] = [];

	constructor(snapshot: LogSnapshot | undefined) {
		this.#snapshot = snapshot;
	}

	/** Applies the next record; throws if entries are missing that the snapshot does not cover. */
	applyRecord(content: SegmentRecord, file: string): void {
		if (content.kind === 'reset') {
			this.#entries = [];
			return;
		}

		const firstIndex = content.entries[0].index;
		const lastIndex = this.#entries.at(-1)?.index;
		const hasGap = lastIndex !== undefined && firstIndex > lastIndex + 1;
		if (hasGap && firstIndex - 1 > this.#snapshotIndex) {
			throw new FailureError(damaged(file, `entries ${lastIndex + 1} to ${firstIndex - 1} are missing`));
		}

		// A gap is valid up to the snapshot's position: a crash may have interrupted the removal of covered segments.
		const retained = hasGap ? [] : this.#entries.slice(0, Math.max(0, firstIndex - (this.#entries.at(0)?.index ?? firstIndex)));
		this.#entries = retained;
		for (const entry of content.entries) {
			this.#entries.push(entry);
		}
	}

	/** Whether the records do not lead to the snapshot: they end before it, or have another entry at its position. */
	get isConflicting(): boolean {
		const firstIndex = this.#entries.at(0)?.index;
		if (firstIndex === undefined || firstIndex > this.#snapshotIndex) {
			return false;
		}

		const covered = this.#entries.find(entry => entry.index === this.#snapshotIndex);
		return covered?.term !== this.#snapshot?.lastTerm;
	}

	/** Entries after the snapshot; none if the log conflicts with it. */
	result(file: string): EntryList {
		const list = new EntryList(this.#snapshotIndex, this.#snapshot?.lastTerm ?? 0);
		const firstIndex = this.#entries.at(0)?.index ?? this.#snapshotIndex + 1;
		if (firstIndex > this.#snapshotIndex + 1) {
			throw new FailureError(damaged(file, `entries ${this.#snapshotIndex + 1} to ${firstIndex - 1} are missing`));
		}

		for (const entry of this.isConflicting ? [] : this.#entries) {
			if (entry.index > this.#snapshotIndex) {
				list.push(entry);
			}
		}

		return list;
	}

	get #snapshotIndex(): number {
		return this.#snapshot?.lastIndex ?? 0;
	}
}

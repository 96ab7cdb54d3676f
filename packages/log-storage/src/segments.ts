/** Segment files of the log. Records are append-only; only whole segments are removed, oldest first. */

import path from 'node:path';
import {type EntryList, type LogSnapshot} from '@rattanspring/replicated-log';
import {FailureError} from '@rattanspring/types';
import {damaged} from './failures.js';
import type {AppendFile, FileSystem} from './file-system.js';
import {encodeRecord, readRecord} from './record.js';
import {lastIndexOf, LogReplay, type SegmentRecord} from './replay.js';

const segmentNamePattern = /^segment-(\d{10})\.log$/;

type Segment = {readonly file: string; readonly number: number; lastIndex: number; sizeBytes: number};

export type SegmentsOptions = {readonly fileSystem: FileSystem; readonly folder: string; readonly maxSegmentBytes: number};

/** All segments of one log. Records are appended to the last one. */
export class Segments {
	readonly #options: SegmentsOptions;
	#segments: Segment[] = [];
	#open: AppendFile | undefined;
	/** Whether the last segment may end with a part of a record that the disk refused. */
	#hasPartialRecord = false;

	constructor(options: SegmentsOptions) {
		this.#options = options;
	}

	/**
	Replays all segments, truncates a torn record at the end of the last one, and syncs that one. Finishes the reset to a snapshot that conflicts with the log, so that
	later records do not continue what was discarded. May be repeated after the disk has refused it.
	*/
	async recover(snapshot: LogSnapshot | undefined): Promise<EntryList> {
		const {fileSystem, folder} = this.#options;
		await this.close();
		this.#hasPartialRecord = false;
		const names = await fileSystem.list(folder);
		const replay = new LogReplay(snapshot);
		this.#segments = [];
		for (const name of names.filter(candidate => segmentNamePattern.test(candidate)).toSorted()) {
			this.#segments.push({
				file: path.join(folder, name), number: Number(segmentNamePattern.exec(name)![1]), lastIndex: 0, sizeBytes: 0,
			});
		}

		for (const segment of this.#segments) {
			await this.#read(segment, replay);
		}

		const entries = replay.result(folder);
		if (replay.isConflicting) {
			await this.reset(entries.baseIndex, entries.lastTerm);
		}

		return entries;
	}

	/** Appends one record and syncs it to disk. May be repeated after the disk has refused it. */
	async append(content: SegmentRecord): Promise<void> {
		await this.#removePartialRecord();
		const last = this.#segments.at(-1);
		if (!last || last.sizeBytes >= this.#options.maxSegmentBytes) {
			await this.#startSegment();
		}

		const segment = this.#segments.at(-1)!;
		this.#open ??= await this.#options.fileSystem.openAppend(segment.file);
		const record = encodeRecord(content);
		this.#hasPartialRecord = true;
		await this.#open.write(record);
		await this.#open.sync();
		this.#hasPartialRecord = false;
		segment.sizeBytes += record.byteLength;
		segment.lastIndex = Math.max(segment.lastIndex, lastIndexOf(content));
	}

	/** Removes the oldest segments that a snapshot up to `index` covers completely. */
	async dropThrough(index: number): Promise<void> {
		const firstRetained = this.#segments.findIndex(segment => segment.lastIndex > index);
		await this.#removeOldest(firstRetained === -1 ? this.#segments.length - 1 : firstRetained);
	}

	/** Restarts the log at the position of a snapshot that conflicts with it, and removes all earlier segments. */
	async reset(baseIndex: number, baseTerm: number): Promise<void> {
		await this.#removePartialRecord();
		await this.#startSegment();
		await this.append({kind: 'reset', baseIndex, baseTerm});
		await this.#removeOldest(this.#segments.length - 1);
	}

	async close(): Promise<void> {
		await this.#open?.close();
		this.#open = undefined;
	}

	async #removePartialRecord(): Promise<void> {
		if (this.#hasPartialRecord) {
			await this.#open!.truncate(this.#segments.at(-1)!.sizeBytes);
			await this.#open!.sync();
			this.#hasPartialRecord = false;
		}
	}

	async #startSegment(): Promise<void> {
		const {fileSystem, folder} = this.#options;
		await this.close();
		const number = (this.#segments.at(-1)?.number ?? 0) + 1;
		const file = path.join(folder, `segment-${String(number).padStart(10, '0')}.log`);
		this.#open = await fileSystem.openAppend(file);
		await fileSystem.syncFolder(folder);
		this.#segments.push({
			file, number, lastIndex: 0, sizeBytes: 0,
		});
	}

	/** Each removal is on disk before the next one, so that what a loss of power leaves has no gap. */
	async #removeOldest(count: number): Promise<void> {
		const removed = this.#segments.slice(0, Math.max(0, count));
		for (const segment of removed) {
			await this.#options.fileSystem.remove(segment.file);
			await this.#options.fileSystem.syncFolder(this.#options.folder);
			this.#segments.shift();
		}
	}

	async #read(segment: Segment, replay: LogReplay): Promise<void> {
		const bytes = await this.#options.fileSystem.read(segment.file) ?? new Uint8Array();
		let offset = 0;
		while (offset < bytes.byteLength) {
			const record = readRecord(bytes, offset);
			if (!record.ok) {
				this.#requireTornTail(segment, record.failure.type, offset);
				break;
			}

			const content = record.value.content as SegmentRecord;
			replay.applyRecord(content, segment.file);
			segment.lastIndex = Math.max(segment.lastIndex, lastIndexOf(content));
			offset = record.value.endOffset;
		}

		segment.sizeBytes = offset;
		if (segment === this.#segments.at(-1)) {
			await this.#syncThrough(segment.file, offset, bytes.byteLength);
		}
	}

	/** Only the last segment can have a torn record, since every record is synced before the next segment is started. */
	#requireTornTail(segment: Segment, type: 'torn' | 'damaged', offset: number): void {
		if (type === 'damaged' || segment !== this.#segments.at(-1)) {
			throw new FailureError(damaged(segment.file, `the record at byte ${offset} is damaged`));
		}
	}

	/** Truncates what follows the last whole record, and syncs the rest. */
	async #syncThrough(file: string, endOffset: number, sizeBytes: number): Promise<void> {
		const handle = await this.#options.fileSystem.openAppend(file);
		try {
			if (endOffset < sizeBytes) {
				await handle.truncate(endOffset);
			}

			await handle.sync();
		} finally {
			await handle.close();
		}
	}
}

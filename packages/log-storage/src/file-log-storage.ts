/** Log storage in a folder: segment files with the entries, the vote state and the snapshot. */

import path from 'node:path';
import {
	EntryList, type LogEntry, type LogSnapshot, LogStorage, type RecoveredLog, type VoteState,
} from '@rattanspring/replicated-log';
import {FailureError} from '@rattanspring/types';
import {DiskSpace, isFull} from './disk-space.js';
import {diskFull, type FatalErrorHandler, writeFailed} from './failures.js';
import type {FileSystem} from './file-system.js';
import {NodeFileSystem} from './node-file-system.js';
import {Segments} from './segments.js';
import {readRecordFile, replaceRecordFile} from './record-file.js';

/** Segment size from which on the next append starts a new segment. */
const defaultMaxSegmentBytes = 8_388_608;

export type FileLogStorageOptions = {
	readonly folder: string;
	readonly fatalErrorHandler: FatalErrorHandler;
	readonly fileSystem?: FileSystem;
	readonly maxSegmentBytes?: number;
	/** The wait for room on the disk; one of its own by default. Once it has ended, writes that the disk still refuses are rejected, without a call of the fatal error handler. */
	readonly diskSpace?: DiskSpace;
};

/**
Stores the log on disk. Writes run sequentially in the order of the calls. A write that a full disk refuses waits, and all later ones with it, until the disk has room. After
any other failed write, the fatal error handler is called, the promise is rejected, and every later write is rejected as well.
*/
export class FileLogStorage extends LogStorage {
	readonly #folder: string;
	readonly #fatalErrorHandler: FatalErrorHandler;
	readonly #fileSystem: FileSystem;
	readonly #segments: Segments;
	readonly #space: DiskSpace;
	#entries = new EntryList(0, 0);
	#lastWrite: Promise<void> = Promise.resolve();

	constructor(options: FileLogStorageOptions) {
		super();
		this.#folder = options.folder;
		this.#fatalErrorHandler = options.fatalErrorHandler;
		this.#fileSystem = options.fileSystem ?? new NodeFileSystem();
		this.#space = options.diskSpace ?? new DiskSpace();
		this.#segments = new Segments({
			fileSystem: this.#fileSystem, folder: options.folder, maxSegmentBytes: options.maxSegmentBytes ?? defaultMaxSegmentBytes,
		});
	}

	/** What is recovered counts as durable, so that it is synced first: a killed process may have left its last writes unsynced. */
	async recover(): Promise<RecoveredLog> {
		return this.#space.use(async () => this.#recover());
	}

	async append(entries: readonly LogEntry[]): Promise<void> {
		if (entries.length === 0) {
			return;
		}

		await this.#write(async () => {
			await this.#segments.append({kind: 'entries', entries});
			this.#entries.truncateFrom(entries[0].index);
			for (const entry of entries) {
				this.#entries.push(entry);
			}
		});
	}

	async saveVoteState(voteState: VoteState): Promise<void> {
		await this.#write(async () => replaceRecordFile(this.#fileSystem, this.#voteFile, voteState));
	}

	async saveSnapshot(snapshot: LogSnapshot): Promise<void> {
		await this.#write(async () => {
			await replaceRecordFile(this.#fileSystem, this.#snapshotFile, snapshot);
			const {lastIndex, lastTerm} = snapshot;
			if (this.#entries.termAt(lastIndex) === lastTerm) {
				await this.#segments.dropThrough(lastIndex);
				this.#entries.dropThrough(lastIndex);
			} else {
				await this.#segments.reset(lastIndex, lastTerm);
				this.#entries.reset(lastIndex, lastTerm);
			}
		});
	}

	async close(): Promise<void> {
		this.#space.stopWaiting();
		await this.#lastWrite.catch(() => undefined);
		await this.#segments.close();
	}

	async #recover(): Promise<RecoveredLog> {
		await this.#fileSystem.makeFolder(this.#folder);
		await this.#fileSystem.syncFolder(path.dirname(this.#folder));
		await this.#fileSystem.syncFolder(this.#folder);
		const voteState = (await readRecordFile(this.#fileSystem, this.#voteFile)) as VoteState | undefined;
		const snapshot = (await readRecordFile(this.#fileSystem, this.#snapshotFile)) as LogSnapshot | undefined;
		this.#entries = await this.#segments.recover(snapshot);
		const entries = this.#entries.slice(this.#entries.baseIndex + 1);
		return {voteState: voteState ?? {term: 0}, ...(snapshot && {snapshot}), entries};
	}

	get #voteFile(): string {
		return path.join(this.#folder, 'vote');
	}

	get #snapshotFile(): string {
		return path.join(this.#folder, 'snapshot');
	}

	async #write(work: () => Promise<void>): Promise<void> {
		const write = this.#writeAfter(this.#lastWrite, work);
		this.#lastWrite = write;
		await write;
	}

	async #writeAfter(previous: Promise<void>, work: () => Promise<void>): Promise<void> {
		await previous;
		try {
			await this.#space.use(work);
		} catch (error) {
			if (isFull(error)) {
				throw new FailureError(diskFull(this.#folder, error));
			}

			const failure = writeFailed(this.#folder, error);
			this.#fatalErrorHandler.end(failure);
			throw new FailureError(failure);
		}
	}
}

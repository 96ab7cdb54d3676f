/**
What crashes targets, on this process's disk, so that it outlasts a kill or a loss of power of the whole fleet. Each process keeps its own copy:
evidence is merged in any order, so the copies need not agree. If the disk fails, the evidence is kept in memory only; while it is full, writing waits.
*/

import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {type ComponentEvidence, readEvidenceRecords} from '@rattanspring/crash-evidence';
import {
	DiskSpace, type FileSystem, NodeFileSystem, readRecordFile, replaceRecordFile,
} from '@rattanspring/log-storage';
import {describeError, type Logger} from '@rattanspring/logger';

/** The name that earlier builds know, which kept convictions only. */
const fileName = 'convictions';

/** Pause between two writes, each of which replaces the file: each answer to a request that ran beside a crash changes the evidence. */
const writePauseMs = 100;

/** Options of a store. */
export type EvidenceStoreOptions = {
	readonly folder: string;
	readonly logger: Logger;
	readonly fileSystem?: FileSystem;
};

/** The file with the evidence. */
export class EvidenceStore {
	readonly #options: Required<EvidenceStoreOptions>;
	readonly #file: string;
	readonly #space = new DiskSpace();
	#pending: readonly ComponentEvidence[] | undefined;
	#writing: Promise<void> | undefined;

	constructor(options: EvidenceStoreOptions) {
		this.#options = {fileSystem: new NodeFileSystem(), ...options};
		this.#file = path.join(options.folder, fileName);
	}

	/** Reads the stored evidence; none if there is none or the file is unreadable. */
	async load(): Promise<ComponentEvidence[]> {
		const {fileSystem, folder, logger} = this.#options;
		try {
			const content = await readRecordFile(fileSystem, this.#file);
			if (content === undefined) {
				return [];
			}

			// A killed process may have left the file's name unsynced.
			await fileSystem.syncFolder(folder);
			return readEvidenceRecords(content);
		} catch (error) {
			logger.log('warn', 'evidenceNotRead', describeError(error));
			return [];
		}
	}

	/** Replaces the stored evidence. Resolves once this, or newer one, is on the disk or could not be written. */
	async save(records: readonly ComponentEvidence[]): Promise<void> {
		this.#pending = records;
		this.#writing ??= this.#writePending();
		await this.#writing;
	}

	/** Ends the waits for room on the disk. */
	close(): void {
		this.#space.stopWaiting();
	}

	async #writePending(): Promise<void> {
		await this.#writeNewest();
		while (this.#pending) {
			await sleep(writePauseMs);
			await this.#writeNewest();
		}

		this.#writing = undefined;
	}

	/** Writes what is the newest evidence at each attempt. */
	async #writeNewest(): Promise<void> {
		const {fileSystem, folder, logger} = this.#options;
		let records: readonly ComponentEvidence[] = [];
		try {
			await this.#space.use(async () => {
				records = this.#pending ?? records;
				this.#pending = undefined;
				await fileSystem.makeFolder(folder);
				await replaceRecordFile(fileSystem, this.#file, records);
			});
		} catch (error) {
			logger.log('warn', 'evidenceNotWritten', {count: records.length, ...describeError(error)});
		}
	}
}

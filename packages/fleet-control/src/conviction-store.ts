/**
The convicted components on this process's disk, so that they outlast a loss of power of the whole fleet. Each process keeps its own copy:
evidence is merged in any order, so the copies need not agree. If the disk fails, the convictions are kept in memory only.
*/

import path from 'node:path';
import {type ComponentEvidence, readEvidenceRecords} from '@rattanspring/crash-evidence';
import {
	type FileSystem, NodeFileSystem, readRecordFile, replaceRecordFile,
} from '@rattanspring/log-storage';
import {describeError, type Logger} from '@rattanspring/logger';

/** Options of a store. */
export type ConvictionStoreOptions = {
	readonly folder: string;
	readonly logger: Logger;
	readonly fileSystem?: FileSystem;
};

/** The file with the convictions. */
export class ConvictionStore {
	readonly #options: Required<ConvictionStoreOptions>;
	readonly #file: string;
	#pending: readonly ComponentEvidence[] | undefined;
	#writing: Promise<void> | undefined;

	constructor(options: ConvictionStoreOptions) {
		this.#options = {fileSystem: new NodeFileSystem(), ...options};
		this.#file = path.join(options.folder, 'convictions');
	}

	/** Reads the stored convictions; none if there are none or the file is unreadable. */
	async load(): Promise<ComponentEvidence[]> {
		const {fileSystem, folder, logger} = this.#options;
		try {
			await fileSystem.makeFolder(folder);
			return readEvidenceRecords(await readRecordFile(fileSystem, this.#file) ?? []);
		} catch (error) {
			logger.log('warn', 'convictionsNotRead', describeError(error));
			return [];
		}
	}

	/** Replaces the stored convictions. Resolves once these, or newer ones, are on the disk or could not be written. */
	async save(records: readonly ComponentEvidence[]): Promise<void> {
		this.#pending = records;
		this.#writing ??= this.#writePending();
		await this.#writing;
	}

	async #writePending(): Promise<void> {
		const {fileSystem, logger} = this.#options;
		while (this.#pending) {
			const records = this.#pending;
			this.#pending = undefined;
			try {
				await replaceRecordFile(fileSystem, this.#file, records);
			} catch (error) {
				logger.log('warn', 'convictionsNotWritten', {count: records.length, ...describeError(error)});
			}
		}

		this.#writing = undefined;
	}
}

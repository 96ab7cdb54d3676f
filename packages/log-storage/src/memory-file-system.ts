/** In-memory file system that tracks which data was synced, for tests of crashes and disk failures. */

import path from 'node:path';
import {FailureError} from '@rattanspring/types';
import {AppendFile, FileSystem} from './file-system.js';

type StoredFile = {written: Uint8Array; synced: Uint8Array};

/** Stores files in memory; `crash` discards unsynced data. */
export class MemoryFileSystem extends FileSystem {
	/** Makes every sync fail while true. */
	failSyncs = false;
	#files = new Map<string, StoredFile>();
	#syncedFiles = new Map<string, StoredFile>();

	async makeFolder(): Promise<void> {
		// Folders are not represented; files are stored by path.
	}

	async list(folder: string): Promise<string[]> {
		return [...this.#files.keys()].filter(file => path.dirname(file) === folder).map(file => path.basename(file));
	}

	async read(file: string): Promise<Uint8Array | undefined> {
		return this.#files.get(file)?.written;
	}

	async openAppend(file: string): Promise<AppendFile> {
		const stored = this.#files.get(file) ?? {written: new Uint8Array(), synced: new Uint8Array()};
		this.#files.set(file, stored);
		return new MemoryAppendFile(this, stored);
	}

	async rename(from: string, to: string): Promise<void> {
		const stored = this.#files.get(from)!;
		this.#files.delete(from);
		this.#files.set(to, stored);
	}

	async remove(file: string): Promise<void> {
		this.#files.delete(file);
	}

	async syncFolder(folder: string): Promise<void> {
		this.throwIfSyncsFail();
		const others = [...this.#syncedFiles].filter(([file]) => path.dirname(file) !== folder);
		const inFolder = [...this.#files].filter(([file]) => path.dirname(file) === folder);
		this.#syncedFiles = new Map([...others, ...inFolder]);
	}

	/** Simulates a power failure: unsynced files and bytes are lost, except for the first `tailBytes` unsynced bytes of each file. */
	crash(tailBytes = 0): void {
		this.#files = new Map(this.#syncedFiles);
		for (const stored of this.#files.values()) {
			stored.written = stored.written.slice(0, stored.synced.byteLength + tailBytes);
			stored.synced = stored.written;
		}
	}

	/** Inverts one byte of a file. */
	corruptByte(file: string, offset: number): void {
		const {written} = this.#files.get(file)!;
		written[offset] = 0xFF - written[offset];
	}

	/** Size of a file in bytes; 0 if it does not exist. */
	sizeOf(file: string): number {
		return this.#files.get(file)?.written.byteLength ?? 0;
	}

	/** Throws if `failSyncs` is set. */
	throwIfSyncsFail(): void {
		if (this.failSyncs) {
			throw new FailureError({type: 'syncFailed', message: 'input/output error'});
		}
	}
}

class MemoryAppendFile extends AppendFile {
	readonly #fileSystem: MemoryFileSystem;
	readonly #stored: StoredFile;

	constructor(fileSystem: MemoryFileSystem, stored: StoredFile) {
		super();
		this.#fileSystem = fileSystem;
		this.#stored = stored;
	}

	async write(bytes: Uint8Array): Promise<void> {
		this.#stored.written = new Uint8Array([...this.#stored.written, ...bytes]);
	}

	async sync(): Promise<void> {
		this.#fileSystem.throwIfSyncsFail();
		this.#stored.synced = this.#stored.written;
	}

	async truncate(lengthBytes: number): Promise<void> {
		this.#stored.written = this.#stored.written.slice(0, lengthBytes);
	}

	async close(): Promise<void> {
		// There is no handle to release.
	}
}

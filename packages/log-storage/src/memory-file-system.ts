/** In-memory file system that tracks which data was synced, for tests of crashes and disk failures. */

import path from 'node:path';
import {FailureError} from '@rattanspring/types';
import {AppendFile, FileSystem} from './file-system.js';

type StoredFile = {written: Uint8Array; synced: Uint8Array};
type FolderChange = {readonly folder: string; readonly apply: (files: Map<string, StoredFile>) => void};

/** Stores files in memory; `crash` discards unsynced data, `cutPower` a random part of it. */
export class MemoryFileSystem extends FileSystem {
	/** Makes every sync fail while true. */
	failSyncs = false;
	#files = new Map<string, StoredFile>();
	#syncedFiles = new Map<string, StoredFile>();
	#unsyncedChanges: FolderChange[] = [];

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
		this.#change(file, files => {
			files.set(file, stored);
		});
		return new MemoryAppendFile(this, stored);
	}

	async rename(from: string, to: string): Promise<void> {
		const stored = this.#files.get(from)!;
		this.#change(to, files => {
			files.delete(from);
			files.set(to, stored);
		});
	}

	async remove(file: string): Promise<void> {
		this.#change(file, files => {
			files.delete(file);
		});
	}

	async syncFolder(folder: string): Promise<void> {
		this.throwIfSyncsFail();
		const others = [...this.#syncedFiles].filter(([file]) => path.dirname(file) !== folder);
		const inFolder = [...this.#files].filter(([file]) => path.dirname(file) === folder);
		this.#syncedFiles = new Map([...others, ...inFolder]);
		this.#unsyncedChanges = this.#unsyncedChanges.filter(change => change.folder !== folder);
	}

	/** Simulates a power failure: unsynced files and bytes are lost, except for the first `tailBytes` unsynced bytes of each file. */
	crash(tailBytes = 0): void {
		this.#files = new Map(this.#syncedFiles);
		this.#unsyncedChanges = [];
		for (const stored of this.#files.values()) {
			stored.written = stored.written.slice(0, stored.synced.byteLength + tailBytes);
			stored.synced = stored.written;
		}
	}

	/** Simulates a power failure: each unsynced change of a folder is lost or kept, and of each file a part of the unsynced bytes. `random` returns values from 0 up to 1. */
	cutPower(random: () => number): void {
		for (const {apply} of this.#unsyncedChanges.filter(() => random() < 0.5)) {
			apply(this.#syncedFiles);
		}

		this.#unsyncedChanges = [];
		this.#files = new Map(this.#syncedFiles);
		for (const stored of this.#files.values()) {
			const {written, synced} = stored;
			const keptBytes = synced.byteLength + Math.floor(random() * (written.byteLength - synced.byteLength + 1));
			stored.written = random() < 0.5 ? synced : written.slice(0, Math.max(0, keptBytes));
			stored.synced = stored.written;
		}
	}

	/** Writes all bytes back to the disk without a sync, as an operating system may at any time. */
	writeBack(): void {
		for (const stored of this.#files.values()) {
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

	#change(file: string, apply: FolderChange['apply']): void {
		apply(this.#files);
		this.#unsyncedChanges.push({folder: path.dirname(file), apply});
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

/** File system of the operating system. */

import {
	type FileHandle, mkdir, open, readdir, readFile, rename, rm,
} from 'node:fs/promises';
import {AppendFile, FileSystem} from './file-system.js';

class NodeAppendFile extends AppendFile {
	readonly #handle: FileHandle;

	constructor(handle: FileHandle) {
		super();
		this.#handle = handle;
	}

	async write(bytes: Uint8Array): Promise<void> {
		let offset = 0;
		while (offset < bytes.byteLength) {
			const {bytesWritten} = await this.#handle.write(bytes, offset);
			offset += bytesWritten;
		}
	}

	async sync(): Promise<void> {
		await this.#handle.sync();
	}

	async truncate(lengthBytes: number): Promise<void> {
		await this.#handle.truncate(lengthBytes);
	}

	async close(): Promise<void> {
		await this.#handle.close();
	}
}

/** File system backed by node:fs. */
export class NodeFileSystem extends FileSystem {
	async makeFolder(folder: string): Promise<void> {
		await mkdir(folder, {recursive: true});
	}

	async list(folder: string): Promise<string[]> {
		return readdir(folder);
	}

	async read(file: string): Promise<Uint8Array | undefined> {
		try {
			const bytes = await readFile(file);
			return new Uint8Array(bytes.buffer, bytes.byteOffset, bytes.byteLength);
		} catch (error) {
			if ((error as NodeJS.ErrnoException).code === 'ENOENT') {
				return undefined;
			}

			throw error;
		}
	}

	async openAppend(file: string): Promise<AppendFile> {
		return new NodeAppendFile(await open(file, 'a'));
	}

	async rename(from: string, to: string): Promise<void> {
		await rename(from, to);
	}

	async remove(file: string): Promise<void> {
		await rm(file, {force: true});
	}

	async syncFolder(folder: string): Promise<void> {
		const handle = await open(folder, 'r');
		try {
			await handle.sync();
		} finally {
			await handle.close();
		}
	}
}

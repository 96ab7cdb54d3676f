/** A disk of a control process in a test: kept in memory, with the sync time of the disks of deployments, so that the disk of the machine that runs the test has no part in it. */

import {setTimeout as sleep} from 'node:timers/promises';
import {AppendFile, MemoryFileSystem} from '@rattanspring/log-storage';

const syncMs = 1;

/** A disk that can be full: it then refuses every write. */
export class TestDisk extends MemoryFileSystem {
	isFull = false;

	override async makeFolder(): Promise<void> {
		this.#checkRoom();
	}

	override async openAppend(file: string): Promise<AppendFile> {
		return new TestAppendFile(await super.openAppend(file), () => {
			this.#checkRoom();
		});
	}

	override async syncFolder(folder: string): Promise<void> {
		await sleep(syncMs);
		await super.syncFolder(folder);
	}

	#checkRoom(): void {
		if (this.isFull) {
			throw Object.assign(new Error('no space left on device'), {code: 'ENOSPC'});
		}
	}
}

/** A file on such a disk. A refused write leaves its first half. */
class TestAppendFile extends AppendFile {
	readonly #file: AppendFile;
	readonly #checkRoom: () => void;

	constructor(file: AppendFile, checkRoom: () => void) {
		super();
		this.#file = file;
		this.#checkRoom = checkRoom;
	}

	async write(bytes: Uint8Array): Promise<void> {
		try {
			this.#checkRoom();
		} catch (error) {
			await this.#file.write(bytes.subarray(0, bytes.length / 2));
			throw error;
		}

		await this.#file.write(bytes);
	}

	async sync(): Promise<void> {
		await sleep(syncMs);
		await this.#file.sync();
	}

	async truncate(lengthBytes: number): Promise<void> {
		await this.#file.truncate(lengthBytes);
	}

	async close(): Promise<void> {
		await this.#file.close();
	}
}

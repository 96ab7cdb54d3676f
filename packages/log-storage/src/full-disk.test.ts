import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {LogEntry, LogSnapshot, RecoveredLog} from '@rattanspring/replicated-log';
import {expect} from 'earl';
import {DiskSpace} from './disk-space.js';
import {FatalErrorHandler, type StorageFailure} from './failures.js';
import {FileLogStorage} from './file-log-storage.js';
import type {AppendFile} from './file-system.js';
import {MemoryFileSystem} from './memory-file-system.js';

class RecordingFatalErrorHandler extends FatalErrorHandler {
	readonly failures: StorageFailure[] = [];

	end(failure: StorageFailure): void {
		this.failures.push(failure);
	}
}

/** A disk that has no room from one of its operations on, for some attempts or for ever. A refused write leaves its first half. */
class FullDisk extends MemoryFileSystem {
	operationCount = 0;
	refusalsLeft = 0;
	fullFrom = Number.POSITIVE_INFINITY;

	override async openAppend(file: string): Promise<AppendFile> {
		this.#useRoom();
		const opened = await super.openAppend(file);
		const {write, truncate} = opened;
		opened.write = async bytes => {
			try {
				this.#useRoom();
			} catch (error) {
				await write.call(opened, bytes.slice(0, bytes.length / 2));
				throw error;
			}

			await write.call(opened, bytes);
		};

		opened.truncate = async lengthBytes => {
			this.#useRoom();
			await truncate.call(opened, lengthBytes);
		};

		return opened;
	}

	override async rename(from: string, to: string): Promise<void> {
		this.#useRoom();
		await super.rename(from, to);
	}

	override async remove(file: string): Promise<void> {
		this.#useRoom();
		await super.remove(file);
	}

	#useRoom(): void {
		if (this.operationCount >= this.fullFrom && this.refusalsLeft > 0) {
			this.refusalsLeft--;
			throw Object.assign(new Error('no space left on device'), {code: 'ENOSPC'});
		}

		this.operationCount++;
	}
}

const folder = '/data/log';

function entries(firstIndex: number, count: number, term = 1): LogEntry[] {
	return Array.from({length: count}, (_, offset) => ({index: firstIndex + offset, term, payload: {kind: 'command', command: new Uint8Array([firstIndex + offset, term])}}));
}

function snapshotAt(lastIndex: number, lastTerm: number): LogSnapshot {
	return {
		lastIndex, lastTerm, voters: [{voterId: 'a', address: '127.0.0.1:1'}], learners: [], state: new Uint8Array([9]),
	};
}

function open(fileSystem: MemoryFileSystem, fatalErrorHandler = new RecordingFatalErrorHandler(), diskSpace = new DiskSpace()): FileLogStorage {
	return new FileLogStorage({
		folder, fatalErrorHandler, fileSystem, maxSegmentBytes: 120, diskSpace,
	});
}

/** Every kind of write: entries over several segments, votes, a snapshot of the log, one that conflicts with it, and an entry after it. */
const writes: ReadonlyArray<(storage: FileLogStorage) => Promise<void>> = [
	async storage => storage.append(entries(1, 2)),
	async storage => storage.append(entries(3, 2)),
	async storage => storage.saveVoteState({term: 2, votedFor: 'b'}),
	async storage => storage.append(entries(5, 2)),
	async storage => storage.saveSnapshot(snapshotAt(4, 1)),
	async storage => storage.append(entries(7, 1)),
	async storage => storage.saveSnapshot(snapshotAt(6, 2)),
	async storage => storage.append(entries(7, 1, 2)),
];

/** What is recovered after the first writes, without a full disk. */
async function expectedAfter(count: number): Promise<RecoveredLog> {
	const disk = new FullDisk();
	const storage = open(disk);
	await storage.recover();
	for (const write of writes.slice(0, count)) {
		await write(storage);
	}

	disk.crash();
	return open(disk).recover();
}

async function countOperations(): Promise<number> {
	const disk = new FullDisk();
	const storage = open(disk);
	await storage.recover();
	for (const write of writes) {
		await write(storage);
	}

	return disk.operationCount;
}

describe('a full disk', () => {
	it('holds up each of the writes until there is room, and leaves the same log', async () => {
		const expected = await expectedAfter(writes.length);
		await Promise.all(Array.from({length: await countOperations()}, async (_, fullFrom) => {
			const disk = new FullDisk();
			disk.fullFrom = fullFrom;
			disk.refusalsLeft = 2;
			const handler = new RecordingFatalErrorHandler();
			const storage = open(disk, handler);
			await storage.recover();
			for (const write of writes) {
				await write(storage);
			}

			disk.crash();
			expect([disk.refusalsLeft, handler.failures, await open(disk).recover()]).toEqual([0, [], expected]);
		}));
	});

	it('leaves a log that is recovered after a loss of power during the wait, with all earlier writes and perhaps the refused one', async () => {
		const expected = await Promise.all([...writes.keys(), writes.length].map(async count => expectedAfter(count)));
		await Promise.all(Array.from({length: await countOperations()}, async (_, fullFrom) => {
			const disk = new FullDisk();
			disk.fullFrom = fullFrom;
			disk.refusalsLeft = Number.POSITIVE_INFINITY;
			const diskSpace = new DiskSpace();
			const storage = open(disk, new RecordingFatalErrorHandler(), diskSpace);
			await storage.recover();
			let done = 0;
			const writing = (async () => {
				for (const write of writes) {
					await write(storage);
					done++;
				}
			})();
			await sleep(150);
			diskSpace.stopWaiting();
			await writing.catch(() => undefined);
			disk.refusalsLeft = 0;
			disk.crash(1000);
			const recovered = JSON.stringify(await open(disk).recover());
			expect([done, done + 1].some(count => JSON.stringify(expected[count]) === recovered)).toEqual(true);
		}));
	});

	it('ends the process as any other failure does if a sync fails for want of room', async () => {
		class FailingSync extends MemoryFileSystem {
			override throwIfSyncsFail(): void {
				if (this.failSyncs) {
					throw Object.assign(new Error('no space left on device'), {code: 'ENOSPC', syscall: 'fsync'});
				}
			}
		}

		const disk = new FailingSync();
		const handler = new RecordingFatalErrorHandler();
		const storage = open(disk, handler);
		await storage.recover();
		disk.failSyncs = true;
		await storage.append(entries(1, 1)).catch(() => undefined);
		expect(handler.failures.map(({type}) => type)).toEqual(['writeFailed']);
	});

	it('rejects what waits when the storage is closed, without a fatal error', async () => {
		const disk = new FullDisk();
		const handler = new RecordingFatalErrorHandler();
		const storage = open(disk, handler);
		await storage.recover();
		disk.fullFrom = disk.operationCount;
		disk.refusalsLeft = Number.POSITIVE_INFINITY;
		const written = storage.append(entries(1, 1)).then(() => 'written', (error: unknown) => String((error as {failure?: {type: string}}).failure?.type));
		await sleep(150);
		await storage.close();
		expect([await written, handler.failures]).toEqual(['diskFull', []]);
	});
});

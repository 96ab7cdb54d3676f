import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {describe, it} from 'node:test';
import type {LogEntry, LogSnapshot} from '@rattanspring/replicated-log';
import {FailureError} from '@rattanspring/types';
import {expect} from 'earl';
import {loadOrCreateDiskIdentity} from './disk-identity.js';
import {FatalErrorHandler, type StorageFailure} from './failures.js';
import {FileLogStorage} from './file-log-storage.js';
import type {AppendFile, FileSystem} from './file-system.js';
import {MemoryFileSystem} from './memory-file-system.js';

class RecordingFatalErrorHandler extends FatalErrorHandler {
	readonly failures: StorageFailure[] = [];

	end(failure: StorageFailure): void {
		this.failures.push(failure);
	}
}

/** Fails to sync folders on demand, as if the process were killed before it. */
class UnsyncedFolders extends MemoryFileSystem {
	failFolderSyncs = false;

	override async syncFolder(folder: string): Promise<void> {
		if (this.failFolderSyncs) {
			throw new FailureError({type: 'syncFailed', message: 'input/output error'});
		}

		await super.syncFolder(folder);
	}
}

/** Ends the process, on demand, before it opens a file or after it has removed one. */
class InterruptedProcess extends MemoryFileSystem {
	endBeforeOpening?: string;
	endAfterRemoving?: string;

	override async openAppend(file: string): Promise<AppendFile> {
		if (file === this.endBeforeOpening) {
			throw new FailureError({type: 'ended', message: 'the process has ended'});
		}

		return super.openAppend(file);
	}

	override async remove(file: string): Promise<void> {
		await super.remove(file);
		if (file === this.endAfterRemoving) {
			throw new FailureError({type: 'ended', message: 'the process has ended'});
		}
	}
}

const folder = '/data/log';
const firstSegment = `${folder}/segment-0000000001.log`;

function open(fileSystem: FileSystem, fatalErrorHandler = new RecordingFatalErrorHandler(), at = folder): FileLogStorage {
	return new FileLogStorage({
		folder: at, fatalErrorHandler, fileSystem, maxSegmentBytes: 200,
	});
}

async function openAndRecover(fileSystem: FileSystem): Promise<FileLogStorage> {
	const storage = open(fileSystem);
	await storage.recover();
	return storage;
}

function entries(firstIndex: number, count: number, term = 1): LogEntry[] {
	return Array.from({length: count}, (_, offset) => ({index: firstIndex + offset, term, payload: {kind: 'command', command: new Uint8Array([firstIndex + offset, term])}}));
}

function snapshotAt(lastIndex: number, lastTerm = 1): LogSnapshot {
	return {
		lastIndex, lastTerm, voters: [{voterId: 'a', address: '127.0.0.1:1'}], learners: [], state: new Uint8Array([9]),
	};
}

async function failureTypeOf(work: Promise<unknown>): Promise<string> {
	try {
		await work;
		return 'none';
	} catch (error) {
		return error instanceof FailureError ? (error as FailureError).failure.type : String(error);
	}
}

describe('FileLogStorage', () => {
	it('recovers written state from the real file system', async () => {
		const temporary = await mkdtemp(path.join(tmpdir(), 'rattanspring-log-'));
		const storage = new FileLogStorage({folder: path.join(temporary, 'log'), fatalErrorHandler: new RecordingFatalErrorHandler()});
		await storage.recover();
		await storage.saveVoteState({term: 3, votedFor: 'b'});
		await storage.append(entries(1, 5));
		await storage.append(entries(4, 3, 2));
		await storage.saveSnapshot(snapshotAt(2));
		await storage.close();
		const reopened = new FileLogStorage({folder: path.join(temporary, 'log'), fatalErrorHandler: new RecordingFatalErrorHandler()});
		expect(await reopened.recover()).toEqual({
			voteState: {term: 3, votedFor: 'b'}, snapshot: snapshotAt(2), entries: [...entries(3, 1), ...entries(4, 3, 2)],
		});
		await rm(temporary, {recursive: true});
	});

	it('retains synced entries after a crash and truncates a torn tail', async () => {
		for (const tailBytes of [0, 1, 17, 30]) {
			const fileSystem = new MemoryFileSystem();
			const storage = await openAndRecover(fileSystem);
			await storage.append(entries(1, 2));
			const syncedBytes = fileSystem.sizeOf(firstSegment);
			fileSystem.failSyncs = true;
			await failureTypeOf(storage.append(entries(3, 2)));
			fileSystem.failSyncs = false;
			fileSystem.crash(tailBytes);
			const reopened = open(fileSystem);
			const recovered = await reopened.recover();
			expect(recovered.entries).toEqual(entries(1, 2));
			expect(fileSystem.sizeOf(firstSegment)).toEqual(syncedBytes);
			await reopened.append(entries(3, 1));
			const {entries: all} = await open(fileSystem).recover();
			expect(all).toEqual(entries(1, 3));
		}
	});

	it('keeps through a loss of power the entries that a killed process left unsynced, once they were recovered', async () => {
		const fileSystem = new MemoryFileSystem();
		const killed = await openAndRecover(fileSystem);
		await killed.append(entries(1, 2));
		fileSystem.failSyncs = true;
		await failureTypeOf(killed.append(entries(3, 2)));
		fileSystem.failSyncs = false;
		const restarted = await open(fileSystem).recover();
		fileSystem.crash();
		expect(await open(fileSystem).recover()).toEqual(restarted);
	});

	it('keeps through a loss of power the vote that a killed process left unsynced, once it was recovered', async () => {
		const fileSystem = new UnsyncedFolders();
		const killed = await openAndRecover(fileSystem);
		await killed.saveVoteState({term: 1, votedFor: 'a'});
		fileSystem.failFolderSyncs = true;
		await failureTypeOf(killed.saveVoteState({term: 2, votedFor: 'b'}));
		fileSystem.failFolderSyncs = false;
		const restarted = await open(fileSystem).recover();
		fileSystem.crash();
		expect(await open(fileSystem).recover()).toEqual(restarted);
	});

	it('rejects a damaged record that is followed by a valid one, whether the header or the body is damaged', async () => {
		for (const offset of [0, 5, 9, 20]) {
			const fileSystem = new MemoryFileSystem();
			const storage = await openAndRecover(fileSystem);
			await storage.append(entries(1, 1));
			await storage.append(entries(2, 1));
			fileSystem.corruptByte(firstSegment, offset);
			expect(await failureTypeOf(open(fileSystem).recover())).toEqual('damaged');
		}
	});

	it('rejects a damaged end of an earlier segment, a missing segment and a damaged vote state', async () => {
		const fileSystem = new MemoryFileSystem();
		const storage = await openAndRecover(fileSystem);
		await storage.saveVoteState({term: 1});
		for (let index = 1; index <= 20; index++) {
			await storage.append(entries(index, 1));
		}

		const size = fileSystem.sizeOf(firstSegment);
		fileSystem.corruptByte(firstSegment, size - 1);
		expect(await failureTypeOf(open(fileSystem).recover())).toEqual('damaged');
		fileSystem.corruptByte(firstSegment, size - 1);
		await fileSystem.remove(`${folder}/segment-0000000002.log`);
		expect(await failureTypeOf(open(fileSystem).recover())).toEqual('damaged');
		fileSystem.corruptByte(`${folder}/vote`, 18);
		expect(await failureTypeOf(open(fileSystem).recover())).toEqual('damaged');
	});

	it('reports a failed sync to the fatal error handler and writes nothing more', async () => {
		const fileSystem = new MemoryFileSystem();
		const fatalErrorHandler = new RecordingFatalErrorHandler();
		const storage = open(fileSystem, fatalErrorHandler);
		await storage.recover();
		fileSystem.failSyncs = true;
		expect(await failureTypeOf(storage.append(entries(1, 1)))).toEqual('writeFailed');
		fileSystem.failSyncs = false;
		expect(await failureTypeOf(storage.append(entries(1, 1)))).toEqual('writeFailed');
		expect(fatalErrorHandler.failures.map(failure => failure.type)).toEqual(['writeFailed']);
	});

	it('removes segments covered by a snapshot and retains the entries after it', async () => {
		const fileSystem = new MemoryFileSystem();
		const storage = await openAndRecover(fileSystem);
		for (let index = 1; index <= 20; index++) {
			await storage.append(entries(index, 1));
		}

		await storage.saveSnapshot(snapshotAt(15));
		fileSystem.crash();
		const recovered = await open(fileSystem).recover();
		expect(recovered.snapshot).toEqual(snapshotAt(15));
		expect(recovered.entries).toEqual(entries(16, 5));
		expect(fileSystem.sizeOf(firstSegment)).toEqual(0);
	});

	it('discards entries that conflict with a snapshot', async () => {
		const fileSystem = new MemoryFileSystem();
		const storage = await openAndRecover(fileSystem);
		await storage.append(entries(1, 8));
		await storage.saveSnapshot(snapshotAt(5, 2));
		fileSystem.crash();
		const reopened = await openAndRecover(fileSystem);
		await reopened.append(entries(6, 1, 2));
		const recovered = await open(fileSystem).recover();
		expect(recovered.entries).toEqual(entries(6, 1, 2));
	});

	it('keeps what is appended after a kill between the two writes of a conflicting snapshot', async () => {
		const fileSystem = new InterruptedProcess();
		const killed = await openAndRecover(fileSystem);
		await killed.append(entries(1, 8));
		fileSystem.endBeforeOpening = `${folder}/segment-0000000002.log`;
		await failureTypeOf(killed.saveSnapshot(snapshotAt(6, 2)));
		fileSystem.endBeforeOpening = undefined;
		const restarted = await openAndRecover(fileSystem);
		await restarted.append(entries(7, 3, 2));
		expect(await open(fileSystem).recover()).toEqual({voteState: {term: 0}, snapshot: snapshotAt(6, 2), entries: entries(7, 3, 2)});
	});

	it('keeps its entries through a loss of power that undoes the first of two removals of segments', async () => {
		const fileSystem = new InterruptedProcess();
		const storage = await openAndRecover(fileSystem);
		await storage.append(entries(1, 10));
		await storage.append(entries(5, 6, 2));
		await storage.append(entries(11, 3, 2));
		fileSystem.endAfterRemoving = `${folder}/segment-0000000002.log`;
		await failureTypeOf(storage.saveSnapshot(snapshotAt(10, 2)));
		const isKept = [1, 0];
		fileSystem.cutPower(() => isKept.shift() ?? 0);
		expect(await open(fileSystem).recover()).toEqual({voteState: {term: 0}, snapshot: snapshotAt(10, 2), entries: entries(11, 3, 2)});
	});
});

describe('loadOrCreateDiskIdentity', () => {
	it('is created once per folder', async () => {
		const fileSystem = new MemoryFileSystem();
		const identify = async (name: string): Promise<string> => loadOrCreateDiskIdentity({folder: '/data', createId: () => name, fileSystem});
		expect([await identify('a'), await identify('b')]).toEqual(['a', 'a']);
	});

	it('is kept through a loss of power if a killed process left it unsynced', async () => {
		const fileSystem = new UnsyncedFolders();
		const identify = async (name: string): Promise<string> => loadOrCreateDiskIdentity({folder: '/data', createId: () => name, fileSystem});
		fileSystem.failFolderSyncs = true;
		await failureTypeOf(identify('a'));
		fileSystem.failFolderSyncs = false;
		const restarted = await identify('b');
		fileSystem.crash();
		expect(await identify('c')).toEqual(restarted);
	});
});

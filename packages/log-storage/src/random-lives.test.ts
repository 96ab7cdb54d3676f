/**
Random lives of a log on one disk. Each life ends at any file operation, by a kill or by a loss of power, also during recovery, and the disk may be full at any of
them. What a life has acknowledged or recovered is compared with a plain list.
*/

import {describe, it} from 'node:test';
import type {
	LogEntry, LogSnapshot, RecoveredLog, VoteState,
} from '@rattanspring/replicated-log';
import {seededRandom} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {DiskSpace} from './disk-space.js';
import {FatalErrorHandler} from './failures.js';
import {FileLogStorage} from './file-log-storage.js';
import type {AppendFile} from './file-system.js';
import {MemoryFileSystem} from './memory-file-system.js';

const lifeCount = 400;

/** Seeds 16 and 18 have refused writes whose rest a loss of power brings back. */
const seeds = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 16, 18];
const maxOperationsOfLife = 80;

/** Shares of the file operations at which the disk is full, and at which the operating system has written all back. */
const fullDiskShare = 0.2;
const writeBackShare = 0.25;

const folder = '/data/log';

class IgnoredFailures extends FatalErrorHandler {
	end(): void {
		// The life has ended.
	}
}

/** A disk under a process that ends at a given file operation, before it or after a part of it. */
class InterruptedDisk extends MemoryFileSystem {
	#operationsLeft = 0;
	#isFullAtTimes = false;
	readonly #random: () => number;

	constructor(random: () => number) {
		super();
		this.#random = random;
	}

	beginLife(operations: number, isFullAtTimes: boolean): void {
		this.#operationsLeft = operations;
		this.#isFullAtTimes = isFullAtTimes;
	}

	override async openAppend(file: string): Promise<AppendFile> {
		this.#requireRoom();
		this.#requireLife();
		const opened = await super.openAppend(file);
		const {write, sync, truncate} = opened;
		opened.write = async bytes => {
			this.#requireLife();
			const partBytes = Math.floor(this.#random() * bytes.byteLength);
			await write.call(opened, bytes.slice(0, partBytes));
			this.#requireRoom();
			this.#requireLife();
			await write.call(opened, bytes.slice(partBytes));
		};

		opened.sync = async () => {
			this.#requireLife();
			await sync.call(opened);
		};

		opened.truncate = async lengthBytes => {
			this.#requireLife();
			await truncate.call(opened, lengthBytes);
		};

		return opened;
	}

	override async rename(from: string, to: string): Promise<void> {
		this.#requireRoom();
		this.#requireLife();
		await super.rename(from, to);
	}

	override async remove(file: string): Promise<void> {
		this.#requireLife();
		await super.remove(file);
	}

	override async syncFolder(ofFolder: string): Promise<void> {
		this.#requireLife();
		await super.syncFolder(ofFolder);
	}

	#requireLife(): void {
		if (this.#operationsLeft === 0) {
			throw new Error('the process has ended');
		}

		this.#operationsLeft--;
		if (this.#random() < writeBackShare) {
			this.writeBack();
		}
	}

	#requireRoom(): void {
		if (this.#isFullAtTimes && this.#random() < fullDiskShare) {
			throw Object.assign(new Error('no space left on device'), {code: 'ENOSPC'});
		}
	}
}

/** The plain list: what a log has to contain. */
type Contents = {readonly voteState: VoteState; readonly snapshot?: LogSnapshot; readonly entries: readonly LogEntry[]};

type Operation = {readonly run: (storage: FileLogStorage) => Promise<void>; readonly after: Contents};

function chooseOperation(contents: Contents, below: (limit: number) => number): Operation {
	const {voteState, snapshot, entries} = contents;
	const baseIndex = snapshot?.lastIndex ?? 0;
	const lastTerm = entries.at(-1)?.term ?? snapshot?.lastTerm ?? 1;
	const kind = below(10);
	if (kind < 1) {
		const next = {term: voteState.term + 1, votedFor: `v${below(3)}`};
		return {run: async storage => storage.saveVoteState(next), after: {...contents, voteState: next}};
	}

	if (kind < 8) {
		const keptCount = below(4) === 0 ? below(entries.length + 1) : entries.length;
		const term = lastTerm + (keptCount < entries.length ? 1 : 0);
		const added = Array.from({length: 1 + below(3)}, (_, offset): LogEntry => ({
			index: baseIndex + keptCount + 1 + offset, term, payload: {kind: 'command', command: new Uint8Array([below(256), below(256)])},
		}));
		return {run: async storage => storage.append(added), after: {...contents, entries: [...entries.slice(0, keptCount), ...added]}};
	}

	const isConflict = kind === 8 || entries.length === 0;
	const covered = entries[below(Math.max(1, entries.length))];
	const position = isConflict ? {lastIndex: baseIndex + 1 + below(entries.length + 3), lastTerm: lastTerm + 1} : {lastIndex: covered.index, lastTerm: covered.term};
	const voters = [{voterId: 'a', address: '127.0.0.1:1'}];
	const state = new Uint8Array([below(256)]);
	const saved: LogSnapshot = {
		...position, voters, learners: [], state,
	};
	return {
		run: async storage => storage.saveSnapshot(saved),
		after: {voteState, snapshot: saved, entries: isConflict ? [] : entries.filter(({index}) => index > position.lastIndex)},
	};
}

/** Plays lives on one disk and compares what each recovers. Returns the number of those that got past their recovery. */
async function playLives(seed: number): Promise<number> {
	const random = seededRandom(seed * 7919);
	const below = (limit: number): number => Math.floor(random() * limit);
	const disk = new InterruptedDisk(random);
	let possible: readonly Contents[] = [{voteState: {term: 0}, entries: []}];
	let usedCount = 0;
	for (let life = 1; life <= lifeCount; life++) {
		disk.beginLife(1 + below(maxOperationsOfLife), below(2) === 0);
		const storage = new FileLogStorage({
			folder, fatalErrorHandler: new IgnoredFailures(), fileSystem: disk, maxSegmentBytes: 200, diskSpace: new DiskSpace({attemptPauseMs: 0}),
		});
		const recovered = await recoveredBy(storage);
		if (recovered) {
			const matching = possible.find(contents => areEqual(contents, recovered));
			expect({
				seed, life, recovered: matching ?? recovered, isPossible: matching !== undefined,
			}).toEqual({
				seed, life, recovered: matching ?? possible.at(-1)!, isPossible: true,
			});
			possible = await useUntilEnd(storage, matching!, below);
			usedCount++;
		}

		if (below(2) === 0) {
			disk.cutPower(random);
		}
	}

	return usedCount;
}

/** What a life recovers; undefined if it ends before that. Fails if a life that has not ended refuses its disk. */
async function recoveredBy(storage: FileLogStorage): Promise<RecoveredLog | undefined> {
	try {
		return await storage.recover();
	} catch (error) {
		expect(String(error)).toEqual('Error: the process has ended');
		return undefined;
	}
}

/** Uses a log until the life ends. Returns what it has to contain afterwards: the contents before or after the operation that was not finished. */
async function useUntilEnd(storage: FileLogStorage, recovered: Contents, below: (limit: number) => number): Promise<Contents[]> {
	let contents = recovered;
	for (;;) {
		const {run, after} = chooseOperation(contents, below);
		try {
			await run(storage);
		} catch {
			return [contents, after];
		}

		contents = after;
	}
}

function areEqual(contents: Contents, recovered: RecoveredLog): boolean {
	const textOf = ({voteState, snapshot, entries}: Contents): string => JSON.stringify([
		voteState.term,
		voteState.votedFor,
		snapshot?.lastIndex,
		snapshot?.lastTerm,
		snapshot && [...snapshot.state],
		entries.map(({index, term, payload}) => [index, term, payload.kind === 'command' && [...payload.command]]),
	]);
	return textOf(contents) === textOf(recovered);
}

describe('A log whose process is killed or loses power at any file operation', () => {
	for (const seed of seeds) {
		it(`loses nothing that was acknowledged or recovered, seed ${seed}`, async () => {
			expect(await playLives(seed)).toBeGreaterThan(lifeCount / 4);
		});
	}
});

/** Persistent identity of a data folder. It distinguishes a voter that lost its disk from the voter it was before. */

import path from 'node:path';
import {DiskSpace} from './disk-space.js';
import type {FileSystem} from './file-system.js';
import {NodeFileSystem} from './node-file-system.js';
import {readRecordFile, replaceRecordFile} from './record-file.js';

export type DiskIdentityOptions = {
	readonly folder: string;
	/** Generates a new unique identity. */
	readonly createId: () => string;
	readonly fileSystem?: FileSystem;
	/** The wait for room on the disk; one of its own by default. */
	readonly diskSpace?: DiskSpace;
};

/** Reads the identity of a data folder, or creates and stores a new one. Waits while the disk is full. */
export async function loadOrCreateDiskIdentity(options: DiskIdentityOptions): Promise<string> {
	const {diskSpace = new DiskSpace()} = options;
	return diskSpace.use(async () => loadOrCreate(options));
}

async function loadOrCreate({folder, fileSystem = new NodeFileSystem(), createId}: DiskIdentityOptions): Promise<string> {
	await fileSystem.makeFolder(folder);
	// A killed process may have left the file's name unsynced.
	await fileSystem.syncFolder(folder);
	const file = path.join(folder, 'identity');
	const stored = await readRecordFile(fileSystem, file);
	if (typeof stored === 'string') {
		return stored;
	}

	const created = createId();
	await replaceRecordFile(fileSystem, file, created);
	return created;
}

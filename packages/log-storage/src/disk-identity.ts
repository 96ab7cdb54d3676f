/** Persistent identity of a data folder. It distinguishes a voter that lost its disk from the voter it was before. */

import path from 'node:path';
import type {FileSystem} from './file-system.js';
import {NodeFileSystem} from './node-file-system.js';
import {readRecordFile, replaceRecordFile} from './record-file.js';

export type DiskIdentityOptions = {
	readonly folder: string;
	/** Generates a new unique identity. */
	readonly createId: () => string;
	readonly fileSystem?: FileSystem;
};

/** Reads the identity of a data folder, or creates and stores a new one. */
export async function loadOrCreateDiskIdentity(options: DiskIdentityOptions): Promise<string> {
	const fileSystem = options.fileSystem ?? new NodeFileSystem();
	await fileSystem.makeFolder(options.folder);
	// A killed process may have left the file's name unsynced.
	await fileSystem.syncFolder(options.folder);
	const file = path.join(options.folder, 'identity');
	const stored = await readRecordFile(fileSystem, file);
	if (typeof stored === 'string') {
		return stored;
	}

	const created = options.createId();
	await replaceRecordFile(fileSystem, file, created);
	return created;
}

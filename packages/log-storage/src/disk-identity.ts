/** The identity of a data folder: made once, so that a voter that lost its disk is told from the one it was. */

import path from 'node:path';
import type {FileSystem} from './file-system.js';
import {NodeFileSystem} from './node-file-system.js';
import {readWholeFile, replaceFile} from './whole-file.js';

/** Options of the identity. */
export type DiskIdentityOptions = {
	readonly folder: string;
	/** Generates a new unique identity. */
	readonly createId: () => string;
	readonly fileSystem?: FileSystem;
};

/** Reads the identity of a folder, or makes and keeps a new one. */
export async function loadOrCreateDiskIdentity(options: DiskIdentityOptions): Promise<string> {
	const fileSystem = options.fileSystem ?? new NodeFileSystem();
	await fileSystem.makeFolder(options.folder);
	const file = path.join(options.folder, 'identity');
	const kept = await readWholeFile(fileSystem, file);
	if (typeof kept === 'string') {
		return kept;
	}

	const made = options.createId();
	await replaceFile(fileSystem, file, made);
	return made;
}

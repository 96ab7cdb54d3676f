/** Single-record files that are replaced atomically: write and sync a temporary file, rename it, then sync the folder. */

import path from 'node:path';
import {FailureError} from '@rattanspring/types';
import {damaged} from './failures.js';
import type {FileSystem} from './file-system.js';
import {encodeRecord, readRecord} from './record.js';

/** Replaces a file atomically: after a crash it has either the old or the new content. */
export async function replaceRecordFile(fileSystem: FileSystem, file: string, content: unknown): Promise<void> {
	const temporary = `${file}.new`;
	await fileSystem.remove(temporary);
	const handle = await fileSystem.openAppend(temporary);
	try {
		await handle.write(encodeRecord(content));
		await handle.sync();
	} finally {
		await handle.close();
	}

	await fileSystem.rename(temporary, file);
	await fileSystem.syncFolder(path.dirname(file));
}

/** Reads a file written by `replaceRecordFile`; undefined if it does not exist. */
export async function readRecordFile(fileSystem: FileSystem, file: string): Promise<unknown> {
	const bytes = await fileSystem.read(file);
	if (!bytes) {
		return undefined;
	}

	const record = readRecord(bytes, 0);
	if (!record.ok) {
		throw new FailureError(damaged(file, 'checksum mismatch'));
	}

	return record.value.content;
}

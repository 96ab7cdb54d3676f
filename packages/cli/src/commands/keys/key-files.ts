/** Writes key files: private keys are readable only by their owner, and existing files are never overwritten. */

import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {err, ok, type Result} from '@rattanspring/types';

export type KeyFile = {readonly name: string; readonly content: string; readonly isSecret: boolean};

/** Why key files could not be read or written. */
export type KeyFileFailure = {readonly type: 'keyFileExists' | 'keyFileUnreadable' | 'keyFileUnwritable'; readonly message: string; readonly file: string};

const secretMode = 0o600;
const publicMode = 0o644;
const folderMode = 0o700;

/** Writes all files into a folder, creating it if needed; fails if a file already exists. */
export async function writeKeyFiles(folder: string, files: readonly KeyFile[]): Promise<Result<void, KeyFileFailure>> {
	try {
		await mkdir(folder, {recursive: true, mode: folderMode});
	} catch (error) {
		return err({type: 'keyFileUnwritable', message: `${folder}: ${String(error)}`, file: folder});
	}

	for (const {name, content, isSecret} of files) {
		const file = path.join(folder, name);
		try {
			await writeFile(file, content, {flag: 'wx', mode: isSecret ? secretMode : publicMode});
		} catch (error) {
			return err(failureOf(file, error));
		}
	}

	return ok(undefined);
}

function failureOf(file: string, error: unknown): KeyFileFailure {
	const exists = error instanceof Error && 'code' in error && error.code === 'EEXIST';
	return exists
		? {type: 'keyFileExists', message: `${file} already exists; remove it first if it is no longer needed.`, file}
		: {type: 'keyFileUnwritable', message: `${file}: ${String(error)}`, file};
}

import {describe, it} from 'node:test';
import {readdir} from 'node:fs/promises';
import {fileURLToPath} from 'node:url';
import {expect} from 'earl';
import {readSettings} from './index.js';

const folder = new URL('../../../examples/settings/', import.meta.url);

describe('example settings', () => {
	it('are valid', async () => {
		const files = await readdir(folder);
		const results = await Promise.all(files.map(async file => readSettings(fileURLToPath(new URL(file, folder)))));
		expect(files.length > 0).toEqual(true);
		expect(results.flatMap(result => result.ok ? [] : result.failure.map(failure => failure.message))).toEqual([]);
	});
});

import {readdir, readFile} from 'node:fs/promises';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {ConfigurationChange} from '@rattanspring/types';
import {applyChange, emptyConfiguration} from './apply-change.js';
import {effectiveNumber} from './effective.js';

const folder = new URL('../../../examples/expert-load/', import.meta.url);

describe('the example changes of expert-load weights', () => {
	it('are accepted and take effect only for their group', async () => {
		const files = await readdir(folder);
		expect(files.length).toEqual(2);
		for (const file of files) {
			const change = JSON.parse(await readFile(new URL(file, folder), 'utf8')) as ConfigurationChange;
			const result = applyChange(emptyConfiguration, change);
			if (!result.ok) {
				throw new Error(`${file}: ${result.failure.message}`);
			}

			const {scope} = result.value.exceptions[0];
			const weights = ['expertLoad.skewWeight', 'expertLoad.costWeight'];
			const ofGroup = weights.map(key => effectiveNumber(result.value, key, {group: scope.name}, 0));
			expect(ofGroup.toSorted((a, b) => a - b)).toEqual(file.startsWith('qodesh') ? [1, 8] : [1, 32]);
			expect(weights.map(key => effectiveNumber(result.value, key, {group: 'another'}, 0))).toEqual([1, 1]);
		}
	});
});

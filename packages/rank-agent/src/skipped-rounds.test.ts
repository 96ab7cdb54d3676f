import {describe, it} from 'node:test';
import type {LogFields} from '@rattanspring/logger';
import {expect} from 'earl';
import {SkippedRounds} from './skipped-rounds.js';

describe('SkippedRounds', () => {
	it('logs a reason when it changes, with the rounds that the earlier one ended', () => {
		const lines: Array<LogFields | undefined> = [];
		const skippedRounds = new SkippedRounds({
			log(_level, _event, fields) {
				lines.push(fields);
			},
		});
		for (const reason of ['gainTooSmall', 'gainTooSmall', 'gainTooSmall', 'countsMissing', undefined, undefined, 'gainTooSmall'] as const) {
			skippedRounds.observe(reason);
		}

		expect(lines).toEqual([
			{reason: 'gainTooSmall', earlierReason: undefined, earlierRounds: 0},
			{reason: 'countsMissing', earlierReason: 'gainTooSmall', earlierRounds: 3},
			{reason: 'gainTooSmall', earlierReason: undefined, earlierRounds: 2},
		]);
	});
});

import {describe, it} from 'node:test';
import {expect} from 'earl';
import {suspectListTtlMs, SuspectListCache} from './index.js';

const name = {clientAccount: 'account', bodyDigest: 'digest'};

describe('SuspectListCache', () => {
	it('is unconfirmed before the first update and after its time to live', () => {
		const cache = new SuspectListCache();
		expect(cache.standing(name, 0)).toEqual('unconfirmed');
		cache.apply({version: 0, suspects: [], confirmedAtMs: 10});
		expect(cache.standing(name, 10 + suspectListTtlMs)).toEqual('free');
		expect(cache.standing(name, 11 + suspectListTtlMs)).toEqual('unconfirmed');
		cache.apply({version: 0, confirmedAtMs: 500});
		expect(cache.standing(name, 500 + suspectListTtlMs)).toEqual('free');
	});

	it('ignores an older list', () => {
		const cache = new SuspectListCache();
		cache.apply({version: 2, suspects: [{...name, state: 'refused'}], confirmedAtMs: 10});
		cache.apply({version: 1, suspects: [], confirmedAtMs: 20});
		expect(cache.standing(name, 20)).toEqual('refused');
		expect(cache.standing(name, 1_000_000)).toEqual('refused');
	});

	it('is not confirmed by an update for a version that it does not have', () => {
		const cache = new SuspectListCache();
		cache.apply({version: 1, suspects: [], confirmedAtMs: 10});
		cache.apply({version: 2, confirmedAtMs: 5000});
		expect(cache.standing(name, 5000)).toEqual('unconfirmed');
	});
});

import {describe, it} from 'node:test';
import {expect} from 'earl';
import {suspectListTtlMs, SuspectListCache} from './index.js';

const name = {clientAccount: 'account', bodyDigest: 'digest'};

describe('suspect view', () => {
	it('is unconfirmed until the first news and when its news are too old', () => {
		const view = new SuspectListCache();
		expect(view.statusOf(name, 0)).toEqual('unconfirmed');
		view.apply({version: 0, suspects: [], confirmedAtMs: 10});
		expect(view.statusOf(name, 10 + suspectListTtlMs)).toEqual('free');
		expect(view.statusOf(name, 11 + suspectListTtlMs)).toEqual('unconfirmed');
		view.apply({version: 0, confirmedAtMs: 500});
		expect(view.statusOf(name, 500 + suspectListTtlMs)).toEqual('free');
	});

	it('never goes back to an older list', () => {
		const view = new SuspectListCache();
		view.apply({version: 2, suspects: [{...name, state: 'refused'}], confirmedAtMs: 10});
		view.apply({version: 1, suspects: [], confirmedAtMs: 20});
		expect(view.statusOf(name, 20)).toEqual('refused');
		expect(view.statusOf(name, 1_000_000)).toEqual('refused');
	});

	it('is not confirmed by news of a list that it does not hold', () => {
		const view = new SuspectListCache();
		view.apply({version: 1, suspects: [], confirmedAtMs: 10});
		view.apply({version: 2, confirmedAtMs: 5000});
		expect(view.statusOf(name, 5000)).toEqual('unconfirmed');
	});
});

import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	AuthorityRank, ColdTargets, PermitAuthority, type PermitDecision, PermitHolder, readColdWord, readPermitDecision, readPermitRequest, type TargetLimit,
} from './index.js';

const perSecond = 15;
const bound = (perSecond * 1.5) + 5;
const lifetime = {targetId: 't1', bornMs: 5};
const targets: TargetLimit[] = Array.from({length: 63}, (_, index) => ({targetId: `t${index}`, bornMs: 1, coldPerSecond: perSecond}));

function seededRandom(seed: number): () => number {
	let state = seed;
	return () => {
		state = ((state * 1_103_515_245) + 12_345) % 2_147_483_648;
		return state / 2_147_483_648;
	};
}

type Fleet = {
	readonly entryCount: number;
	readonly targetCount: number;
	readonly durationMs: number;
	/** Index of the authority that an entry believes in at a time; undefined if it is cut off from all. */
	readonly authorityOf?: (entry: number, nowMs: number) => 0 | 1 | undefined;
	readonly isFrozen?: (entry: number, nowMs: number) => boolean;
	/** Time between two calls of an entry. */
	readonly askEveryMs: number;
};

/** Plays entries that send whatever they hold permits for; returns the times of the requests by target, and the number of calls. */
function play({entryCount, targetCount, durationMs, authorityOf = () => 0, isFrozen = () => false, askEveryMs}: Fleet): {readonly sent: number[][]; readonly calls: number} {
	const random = seededRandom(7);
	const authorities = [new PermitAuthority(), new PermitAuthority()];
	const entries = Array.from({length: entryCount}, () => new PermitHolder());
	const used = targets.slice(0, targetCount);
	const sent: number[][] = used.map(() => []);
	const events = new Map<number, Array<() => void>>();
	let calls = 0;
	const at = (timeMs: number, work: () => void) => {
		const time = Math.ceil(timeMs);
		events.set(time, [...events.get(time) ?? [], work]);
	};

	const deliver = (entry: number, nowMs: number, work: (nowMs: number) => void) => {
		at(nowMs, () => {
			if (isFrozen(entry, nowMs)) {
				deliver(entry, nowMs + 50, work);
			} else {
				work(nowMs);
			}
		});
	};

	for (let nowMs = 0; nowMs < durationMs; nowMs++) {
		for (const work of events.get(nowMs) ?? []) {
			work();
		}

		events.delete(nowMs);
		for (const [entry, holder] of entries.entries()) {
			if (isFrozen(entry, nowMs)) {
				continue;
			}

			for (const [index, target] of used.entries()) {
				while (holder.has(target, nowMs)) {
					holder.use(target);
					sent[index].push(nowMs);
				}
			}

			const start = Math.floor(random() * used.length);
			const next = (nowMs + entry) % askEveryMs === 0 ? holder.nextToAsk([...used.slice(start), ...used.slice(0, start)], nowMs) : undefined;
			if (!next) {
				continue;
			}

			calls++;
			const authority = authorityOf(entry, nowMs);
			const arrivesMs = nowMs + 1 + (random() * 20);
			const returnsMs = arrivesMs + 1 + (random() * 20);
			const record = (decision: PermitDecision | undefined) => (recordMs: number) => {
				holder.record(next, decision, {askedAtMs: nowMs, nowMs: recordMs});
			};

			at(arrivesMs, () => {
				deliver(entry, Math.ceil(returnsMs), record(authority === undefined ? undefined : authorities[authority].take(next, {count: 7, isFirst: authority === 0}, Math.ceil(arrivesMs))));
			});
		}
	}

	return {sent, calls};
}

/** Largest number of requests to one target in any second. */
function mostInSecond(sent: readonly number[][]): number {
	return Math.max(...sent.map(times => {
		let from = 0;
		let most = 0;
		for (const [index, atMs] of times.entries()) {
			while (times[from] <= atMs - 1000) {
				from++;
			}

			most = Math.max(most, index - from + 1);
		}

		return most;
	}));
}

describe('permits for cold targets', () => {
	it('keep the sum in any second within half more than the limit and five, with entries cut off and frozen, and two authorities', () => {
		const {sent} = play({
			entryCount: 35, targetCount: 63, durationMs: 6000, askEveryMs: 5,
			authorityOf(entry, nowMs) {
				if (entry % 7 === 0 && nowMs > 1000) {
					return undefined;
				}

				return nowMs > 1500 && nowMs < 4500 && entry % 2 === 0 ? 1 : 0;
			},
			isFrozen: (entry, nowMs) => entry % 5 === 1 && nowMs > 2000 && nowMs < 3000,
		});
		expect(mostInSecond(sent)).toBeLessThanOrEqual(bound);
		expect(Math.min(...sent.map(({length}) => length))).toBeGreaterThan(0);
	});

	it('keep it for few targets that all entries want, and use nine tenths of the limit', () => {
		const {sent} = play({
			entryCount: 35, targetCount: 2, durationMs: 5000, askEveryMs: 10,
		});
		expect(mostInSecond(sent)).toBeLessThanOrEqual(bound);
		expect(Math.min(...sent.map(({length}) => length))).toBeGreaterThanOrEqual(0.9 * perSecond * 5);
	});

	it('need calls that do not grow with the entries: those that are refused come back in turn', () => {
		const callsOf = (entryCount: number) => play({
			entryCount, targetCount: 1, durationMs: 5000, askEveryMs: 5,
		}).calls;
		const [few, many] = [callsOf(10), callsOf(40)];
		expect(many).toBeLessThan(3 * few);
	});

	it('are at most a quarter, and one at a time, from a process that may not be the first', () => {
		const authority = new PermitAuthority();
		const options = {count: 7, isFirst: false};
		let granted = 0;
		for (let nowMs = 0; nowMs <= 4000; nowMs++) {
			const decision = authority.take(targets[0], options, nowMs);
			granted += decision.granted;
			expect(decision.granted).toBeLessThanOrEqual(1);
		}

		expect(granted).toBeLessThanOrEqual(perSecond);
		expect(authority.take(targets[0], options, 60_000).granted).toEqual(1);
	});

	it('come in batches within the lower one of both limits', () => {
		const authority = new PermitAuthority();
		const both = {...targets[0], perSecond: 4};
		authority.take(both, {}, 0);
		expect(authority.take(both, {count: 7}, 10_000).granted).toEqual(2);
		const high = {...targets[1], coldPerSecond: 160};
		authority.take(high, {}, 0);
		expect(authority.take(high, {count: 100}, 10_000).granted).toEqual(12);
	});
});

describe('AuthorityRank', () => {
	const ownAddress = 'a';
	const other = {address: 'b', isLeaving: false};
	const subjects = Array.from({length: 40}, (_, index) => `t${index}`);
	const firstFor = (rank: AuthorityRank, nowMs: number) => subjects.filter(subject => rank.isFirst(subject, nowMs)).length;

	it('is no first one until it has settled, and then for its part of the subjects', () => {
		const rank = new AuthorityRank({ownAddress, seeds: () => ['b'], startedAtMs: 0});
		expect(firstFor(rank, 10_000)).toEqual(0);
		rank.update([other], 10_000);
		expect(firstFor(rank, 12_999)).toEqual(0);
		const count = firstFor(rank, 13_000);
		expect(count > 0 && count < subjects.length).toEqual(true);
	});

	it('remembers one that is lost for a minute, and none that has left', () => {
		const rank = new AuthorityRank({ownAddress, seeds: () => ['b'], startedAtMs: 0});
		rank.update([other], 0);
		const count = firstFor(rank, 5000);
		rank.update([], 50_000);
		expect(firstFor(rank, 50_000)).toEqual(count);
		rank.update([], 61_000);
		expect(firstFor(rank, 61_000)).toEqual(subjects.length);
		rank.update([other], 62_000);
		rank.update([{...other, isLeaving: true}], 63_000);
		expect(firstFor(rank, 63_000)).toEqual(subjects.length);
	});

	it('is the first one for all subjects if it is alone', () => {
		expect(firstFor(new AuthorityRank({ownAddress, seeds: () => ['a'], startedAtMs: 0}), 3000)).toEqual(subjects.length);
	});
});

describe('ColdTargets', () => {
	const report = (sequence: number, coldLeftMs: number) => ({...lifetime, sequence, coldLeftMs});

	for (const source of ['answer', 'probe', 'relayed'] as const) {
		it(`learns from ${source} that a target turns cold at any moment, and no report takes that back`, () => {
			const cold = new ColdTargets();
			cold.recordReport(report(4, 0), 0);
			expect(cold.record(lifetime, {leftMs: 3000, source}, 100)).toEqual(true);
			cold.recordReport(report(5, 0), 200);
			expect(cold.leftMs(lifetime, 1100)).toEqual(2000);
			expect(cold.record(lifetime, {leftMs: 1000, source}, 1000)).toEqual(false);
			expect(cold.leftMs(lifetime, 1100)).toEqual(2000);
			expect(cold.takeEnded(3099)).toEqual([]);
			expect(cold.takeEnded(3100)).toEqual([{...lifetime, source, coldForMs: 3000}]);
		});
	}

	it('believes the newest report, and no older one', () => {
		const cold = new ColdTargets();
		expect(cold.recordReport(report(5, 3000), 0)).toEqual(true);
		cold.recordReport(report(4, 0), 100);
		expect(cold.leftMs(lifetime, 100)).toEqual(2900);
		cold.recordReport(report(6, 0), 200);
		expect(cold.leftMs(lifetime, 200)).toEqual(0);
		expect(cold.recordReport({...report(1, 3000), bornMs: 6}, 300)).toEqual(true);
		expect(cold.recordReport(report(7, 3000), 300)).toEqual(false);
		expect([cold.leftMs(lifetime, 300), cold.leftMs({...lifetime, bornMs: 6}, 300)]).toEqual([0, 3000]);
	});

	it('takes a target that has started without a word for cold, until anything is said', () => {
		const cold = new ColdTargets();
		expect([cold.recordStart(lifetime, 1000), cold.recordStart(lifetime, 2000)]).toEqual([true, false]);
		expect([cold.leftMs(lifetime, 1500, 3000), cold.leftMs(lifetime, 1500), cold.leftMs(lifetime, 4000, 3000)]).toEqual([2500, 0, 0]);
		cold.recordReport(report(1, 0), 1500);
		expect(cold.leftMs(lifetime, 1500, 3000)).toEqual(0);
	});

	it('bounds what is absurd, and the number of targets', () => {
		const cold = new ColdTargets({maxTargets: 2});
		for (const [index, leftMs] of [1e15, -5, Number.NaN].entries()) {
			cold.record({...lifetime, targetId: `t${index}`}, {leftMs, source: 'answer'}, 0);
		}

		expect(cold.leftMs({...lifetime, targetId: 't0'}, 0)).toEqual(0);
		expect(cold.leftMs({...lifetime, targetId: 't1'}, 0) + cold.leftMs({...lifetime, targetId: 't2'}, 0)).toEqual(0);
		expect(cold.record(lifetime, {leftMs: 1e15, source: 'answer'}, 0) && cold.leftMs(lifetime, 0)).toEqual(3_600_000);
	});
});

describe('messages on permits and cold times', () => {
	const request = {...lifetime, coldPerSecond: 15, count: 3};

	it('are read as they were sent', () => {
		const decision = {granted: 2, retryInMs: 0};
		const word = {...lifetime, coldLeftMs: 4};
		expect([readPermitRequest(request), readPermitDecision(decision), readColdWord(word)]).toEqual([request, decision, word]);
	});

	for (const value of [undefined, null, 'x', {}, {...request, count: 0}, {...request, count: 1.5}, {...request, count: 1e9}, {...request, coldPerSecond: -1}, {...request, perSecond: '4'}, {...request, bornMs: 'x'}]) {
		it(`rejects ${JSON.stringify(value)} as a call for permits`, () => {
			expect(() => readPermitRequest(value)).toThrow(TypeError);
		});
	}

	for (const value of [undefined, {}, {granted: -1, retryInMs: 0}, {granted: 1}, {isGranted: true, retryInMs: 0}]) {
		it(`rejects ${JSON.stringify(value)} as a decision`, () => {
			expect(() => readPermitDecision(value)).toThrow(TypeError);
		});
	}

	for (const value of [undefined, lifetime, {...lifetime, coldLeftMs: -1}, {...lifetime, coldLeftMs: 'x'}, {coldLeftMs: 5}]) {
		it(`rejects ${JSON.stringify(value)} as a cold time`, () => {
			expect(() => readColdWord(value)).toThrow(TypeError);
		});
	}
});

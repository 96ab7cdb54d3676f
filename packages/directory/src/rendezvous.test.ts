import {describe, it} from 'node:test';
import {expect} from 'earl';
import {rankByRendezvous} from './rendezvous.js';

describe('the order of candidates for a key', () => {
	it('cannot differ from that of the build of 33619ac, whose daemons ask the same authorities', () => {
		const [first, second, third, fourth] = ['10.0.0.1:7340', '10.0.0.2:7340', '10.0.0.3:7340', '10.0.0.4:7340'];
		const candidates = [first, second, third, fourth];
		expect(rankByRendezvous('t1', candidates)).toEqual([second, third, fourth, first]);
		expect(rankByRendezvous('prompt x', candidates)).toEqual([first, fourth, second, third]);
		expect(rankByRendezvous('', candidates)).toEqual([third, fourth, second, first]);
	});
});

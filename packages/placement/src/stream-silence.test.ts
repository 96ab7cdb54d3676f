import {describe, it} from 'node:test';
import {expect} from 'earl';
import {StreamSilence} from './index.js';

const service = 'drafts';
const patienceMs = 2000;

/** A monitor in which each of ten streams has just had its first event after the given time, and one more stream is silent. */
function monitorWith(firstEventMs: number, nowMs: number): {readonly silence: StreamSilence; readonly silent: symbol} {
	const silence = new StreamSilence();
	const silent = Symbol('silent');
	silence.begin(service, silent, 0);
	for (let index = 0; index < 10; index++) {
		const stream = Symbol('stream');
		silence.begin(service, stream, nowMs - firstEventMs);
		silence.recordEvent(service, stream, nowMs, firstEventMs);
	}

	return {silence, silent};
}

describe('StreamSilence', () => {
	describe('before the first event', () => {
		it('leaves a target that hangs early while the others are fast', () => {
			const {silence, silent} = monitorWith(220, 700);
			expect(silence.timeoutMs(service, false, 700)).toEqual(700);
			expect(silence.verdictOn(service, silent, {
				hasBegun: false, silentMs: 700, patienceMs, nowMs: 700,
			})).toEqual({kind: 'move'});
		});

		it('waits on while all targets are slow, where another one would be no faster', () => {
			const {silence, silent} = monitorWith(1100, 1600);
			expect(silence.verdictOn(service, silent, {
				hasBegun: false, silentMs: 1600, patienceMs, nowMs: 1600,
			}).kind).toEqual('wait');
		});

		it('waits on if the caller would give up before another target could answer', () => {
			const {silence, silent} = monitorWith(300, 1800);
			expect(silence.verdictOn(service, silent, {
				hasBegun: false, silentMs: 1800, patienceMs, nowMs: 1800,
			}).kind).toEqual('wait');
		});

		it('goes by the default if there were few first events lately', () => {
			const {silence} = monitorWith(220, 700);
			expect(silence.timeoutMs(service, false, 10_000)).toEqual(1600);
			expect(new StreamSilence().timeoutMs(service, false, 0)).toEqual(1600);
		});
	});

	describe('after the first event', () => {
		const begun = {
			hasBegun: true, silentMs: 1000, patienceMs, nowMs: 2000,
		};

		it('moves a silent stream while others of the service go on, and the only one', () => {
			const {silence, silent} = monitorWith(220, 1900);
			expect(silence.verdictOn(service, silent, begun)).toEqual({kind: 'move'});
			expect(new StreamSilence().verdictOn(service, Symbol('only'), begun)).toEqual({kind: 'move'});
		});

		it('waits on while no stream of the service gets events, and moves it once others do again', () => {
			const {silence, silent} = monitorWith(220, 1000);
			expect(silence.verdictOn(service, silent, begun).kind).toEqual('wait');
			const other = Symbol('other');
			silence.begin(service, other, 2100);
			silence.recordEvent(service, other, 2200);
			expect(silence.verdictOn(service, silent, {...begun, nowMs: 2300}).kind).toEqual('move');
		});

		it('asks nothing of streams that have ended or of another service', () => {
			const silence = new StreamSilence();
			const ended = Symbol('ended');
			silence.begin(service, ended, 0);
			silence.end(service, ended);
			silence.begin('other', Symbol('other'), 0);
			expect(silence.verdictOn(service, Symbol('only'), begun)).toEqual({kind: 'move'});
		});
	});
});

import {describe, it} from 'node:test';
import {Logger, type LogFields, type LogLevel} from '@rattanspring/logger';
import {DaemonMetrics} from '@rattanspring/metrics';
import type {TargetReport} from '@rattanspring/target-table';
import {expect} from 'earl';
import {ColdWatch} from './cold-watch.js';

const service = {
	name: 's', healthPath: '/', maxConnections: 10, coldPerSecond: 15, coldMs: 3000,
};

const bornMs = 1_000_000;

const silent: TargetReport = {
	targetId: 't1', bornMs, sequence: 4, service: 's', address: '10.0.0.1:80', failureDomain: 'a', slots: 8, state: 'ready',
};

class RecordingLogger extends Logger {
	readonly lines: Array<LogFields & {readonly event: string}> = [];

	log(_level: LogLevel, event: string, fields: LogFields = {}): void {
		this.lines.push({event, ...fields});
	}
}

function createWatch(isInService = true) {
	const time = {monotonicMs: 0, wallMs: bornMs + 1000};
	const logger = new RecordingLogger();
	const watch = new ColdWatch({
		clock: {monotonicMs: () => time.monotonicMs, wallMs: () => time.wallMs}, services: () => [service, {...service, name: 'unlimited', coldPerSecond: undefined}], isInService: () => isInService, logger, metrics: new DaemonMetrics(),
	});
	return {time, logger, watch};
}

describe('ColdWatch', () => {
	it('takes a target that starts without a word for cold from the moment at which it was seen', () => {
		const {time, logger, watch} = createWatch();
		watch.onReport(silent, true);
		expect([watch.limitOf(silent), watch.hasSeenStart(silent), logger.lines.map(({event, source, coldLeftMs, ageMs}) => [event, source, coldLeftMs, ageMs])]).toEqual([15, true, [['targetCold', 'assumed', 3000, 1000]]]);
		time.monotonicMs = 2999;
		expect(watch.limitOf(silent)).toEqual(15);
		time.monotonicMs = 3000;
		expect(watch.limitOf(silent)).toEqual(undefined);
	});

	it('counts from the stated start if the entry itself has just started', () => {
		const {time, watch} = createWatch(false);
		watch.onReport(silent, true);
		expect([watch.limitOf(silent), watch.hasSeenStart(silent)]).toEqual([15, false]);
		time.monotonicMs = 2000;
		expect(watch.limitOf(silent)).toEqual(undefined);
	});

	it('believes a target that says that it is not cold, and one that says so again', () => {
		const {time, logger, watch} = createWatch();
		watch.onReport({...silent, coldLeftMs: 0}, true);
		expect(watch.limitOf(silent)).toEqual(undefined);
		expect([watch.onStated(silent, {leftMs: 2000, source: 'answer', requestId: 'r1'}), watch.onStated(silent, {leftMs: 1990, source: 'relayed'})]).toEqual([true, false]);
		expect([watch.limitOf(silent), watch.limitOf({...silent, service: 'unlimited'}), watch.words.length]).toEqual([15, undefined, 1]);
		time.monotonicMs = 2000;
		watch.refresh(() => true);
		expect(logger.lines.map(({event, source, requestId}) => [event, source, requestId])).toEqual([['targetCold', 'answer', 'r1'], ['targetColdEnded', 'answer', undefined]]);
	});

	it('can be told to take targets for cold that have said nothing new', () => {
		const {watch} = createWatch();
		watch.onReport({...silent, coldLeftMs: 0}, true);
		watch.assumeCold([silent]);
		watch.onReport({...silent, sequence: 5, coldLeftMs: 0}, false);
		expect(watch.limitOf(silent)).toEqual(15);
	});
});

import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	BoundedLogger, type LogFields, Logger, type LogLevel,
} from './index.js';

class CollectingLogger extends Logger {
	readonly lines: Array<{readonly level: LogLevel; readonly event: string; readonly fields?: LogFields}> = [];

	log(level: LogLevel, event: string, fields?: LogFields): void {
		this.lines.push({level, event, fields});
	}
}

describe('BoundedLogger', () => {
	it('limits the lines per second and logs how many were suppressed', () => {
		const inner = new CollectingLogger();
		let nowMs = 0;
		const logger = new BoundedLogger({
			inner, nowMs: () => nowMs, maxLinesPerSecond: 10, maxWarningsPerSecond: 5,
		});
		for (let second = 0; second < 3; second++) {
			nowMs = second * 1000;
			for (let line = 0; line < 100; line++) {
				logger.log('info', 'placed');
			}
		}

		expect(inner.lines.filter(({event}) => event === 'placed').length).toEqual(30);
		expect(inner.lines.filter(({event}) => event === 'linesLeftOut').map(({fields}) => fields?.count)).toEqual([90, 90]);
	});

	it('never leaves out the lines of a stop, however many others there are', () => {
		const inner = new CollectingLogger();
		const logger = new BoundedLogger({
			inner, nowMs: () => 0, maxLinesPerSecond: 1, maxWarningsPerSecond: 1, unlimitedEvents: ['stopped'],
		});
		logger.log('info', 'one');
		logger.log('info', 'two');
		logger.log('info', 'stopped');
		expect(inner.lines.map(({event}) => event)).toEqual(['one', 'stopped']);
	});

	it('still logs warnings after other lines have reached their limit', () => {
		const inner = new CollectingLogger();
		const logger = new BoundedLogger({
			inner, nowMs: () => 0, maxLinesPerSecond: 1, maxWarningsPerSecond: 1,
		});
		logger.log('info', 'one');
		logger.log('info', 'two');
		logger.log('warn', 'three');
		logger.log('error', 'four');
		expect(inner.lines.map(({event}) => event)).toEqual(['one', 'three']);
	});
});

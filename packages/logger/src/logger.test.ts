import {describe, it} from 'node:test';
import {Writable} from 'node:stream';
import {expect} from 'earl';
import {
	formatFields, LineLogger, type Logger, WinstonLogger,
} from './index.js';

describe('formatFields', () => {
	describe('values', () => {
		it('writes plain values unquoted', () => {
			expect(formatFields({event: 'started', port: 7101, ready: true})).toEqual('event=started port=7101 ready=true');
		});

		it('quotes values that would make the line ambiguous', () => {
			expect(formatFields({
				reason: 'two words', path: 'a=b', text: 'line\nbreak "quoted"', empty: '',
			}))
				.toEqual(String.raw`reason="two words" path="a=b" text="line\nbreak \"quoted\"" empty=""`);
		});

		it('omits undefined fields', () => {
			expect(formatFields({a: 1, b: undefined})).toEqual('a=1');
		});
	});
});

const loggers: Array<[string, (stream: Writable) => Logger]> = [
	['WinstonLogger', stream => new WinstonLogger({fields: {daemon: 'entry-1'}, stream})],
	['LineLogger', stream => new LineLogger({fields: {daemon: 'entry-1'}, stream})],
];
for (const [name, create] of loggers) {
	describe(name, () => {
		it('writes one line per event', async () => {
			const lines: string[] = [];
			const stream = new Writable({
				write(chunk: Uint8Array, _encoding, done) {
					lines.push(String(chunk));
					done();
				},
			});
			const logger = create(stream);
			logger.log('info', 'started', {note: 'a\nb'});
			logger.log('debug', 'hidden');
			await new Promise(resolve => {
				setImmediate(resolve);
			});
			expect(lines.length).toEqual(1);
			expect(lines[0].trimEnd().split('\n').length).toEqual(1);
			expect(lines[0]).toInclude('level=info event=started daemon=entry-1');
		});
	});
}

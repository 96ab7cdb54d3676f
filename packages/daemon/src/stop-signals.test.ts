import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {describe, it} from 'node:test';
import {expect} from 'earl';

/** Starts a process whose stop runs the statements, sends it these signals, and returns its exit code, signal and output. */
async function endAfter(signals: readonly NodeJS.Signals[], statements: string): Promise<unknown[]> {
	const program = `import {stopAtSignal} from ${JSON.stringify(new URL('run-daemon.js', import.meta.url).href)};
		setInterval(() => undefined, 1000);
		stopAtSignal(async () => {
			console.log('stopping');
			${statements}
		});
		console.log('ready');`;
	const child = spawn(process.execPath, ['--input-type=module', '--eval', program], {stdio: ['ignore', 'pipe', 'ignore']});
	const ended = once(child, 'exit');
	let output = '';
	for await (const chunk of child.stdout) {
		const isReported = String(chunk).includes('ready') || String(chunk).includes('stopping');
		output += String(chunk);
		const signal = isReported ? signals[output.split('\n').length - 2] : undefined;
		if (signal) {
			child.kill(signal);
		}
	}

	const [code, signal] = await ended as [number | null, string | null]; // eslint-disable-line @typescript-eslint/no-restricted-types -- the shape of the event
	return [code, signal, output];
}

const stopOf200Ms = 'await new Promise(resolve => setTimeout(resolve, 200)); console.log("answered");';

describe('a daemon that is told to stop', () => {
	it('is not cut off in its drain by a second SIGTERM', async () => {
		expect(await endAfter(['SIGTERM', 'SIGTERM'], stopOf200Ms)).toEqual([0, null, 'ready\nstopping\nanswered\n']);
	});

	it('ends at once at a second SIGINT, with which an operator at a terminal gives up the drain', async () => {
		expect(await endAfter(['SIGINT', 'SIGINT'], stopOf200Ms)).toEqual([null, 'SIGINT', 'ready\nstopping\n']);
	});

	it('ends with an error code if its stop fails', async () => {
		expect(await endAfter(['SIGTERM'], 'throw new Error("no quorum");')).toEqual([1, null, 'ready\nstopping\n']);
	});
});

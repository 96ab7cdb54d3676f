import {describe, it} from 'node:test';
import {expect} from 'earl';
import {ExclusiveTask} from './exclusive-task.js';

describe('ExclusiveTask', () => {
	const lines: unknown[] = [];
	const exclusiveTask = new ExclusiveTask({
		log(...line) {
			lines.push(line);
		},
	});

	it('runs one task at a time', async () => {
		const ran: number[] = [];
		const run = async (number: number): Promise<void> => exclusiveTask.run('task', async () => {
			ran.push(number);
		});
		const first = run(1);
		expect(exclusiveTask.isRunning).toEqual(true);
		await Promise.all([first, run(2)]);
		await run(3);
		expect(ran).toEqual([1, 3]);
	});

	it('runs the next task after one that threw, and logs the failure', async () => {
		await exclusiveTask.run('first', async () => {
			throw new Error('broken');
		});
		let isRun = false;
		await exclusiveTask.run('second', async () => {
			isRun = true;
		});
		expect([isRun, exclusiveTask.isRunning]).toEqual([true, false]);
		expect(lines).toEqual([['error', 'taskFailed', {task: 'first', message: 'broken'}]]);
	});
});

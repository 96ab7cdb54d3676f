/** Runs at most one task at a time. */

import type {Logger} from '@rattanspring/logger';

/** Runs a task unless one is running. A task that throws is logged and counts as ended. */
export class ExclusiveTask {
	readonly #logger: Pick<Logger, 'log'>;
	#isRunning = false;

	constructor(logger: Pick<Logger, 'log'>) {
		this.#logger = logger;
	}

	get isRunning(): boolean {
		return this.#isRunning;
	}

	/** Runs the task; does nothing if one is running. */
	async run(name: string, task: () => Promise<void>): Promise<void> {
		if (this.#isRunning) {
			return;
		}

		this.#isRunning = true;
		try {
			await task();
		} catch (error) {
			this.#logger.log('error', 'taskFailed', {task: name, message: error instanceof Error ? error.message : String(error)});
		} finally {
			this.#isRunning = false;
		}
	}
}

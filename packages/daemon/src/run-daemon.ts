/** Runs a daemon as a process: a failed start is told in one line, and a signal stops it gracefully. */

import process from 'node:process';
import type {DaemonSettings} from '@rattanspring/settings';
import {FailureError} from '@rattanspring/types';
import {Daemon} from './daemon.js';

/** Exit code for a start that failed. */
const exitStart = 1;

/** Starts a daemon, or ends the process with the reason. */
export async function startOrExit(settings: DaemonSettings): Promise<Daemon> {
	try {
		return await Daemon.start(settings);
	} catch (error) {
		const type = error instanceof FailureError ? (error as FailureError).failure.type : 'startFailed';
		const message = error instanceof Error ? error.message : String(error);
		process.stderr.write(`rattanspringd: ${type}: ${message}\n`);
		process.exit(exitStart);
	}
}

/** Calls `stop` at the first SIGTERM or SIGINT, then ends the process. */
export function stopAtSignal(stop: () => Promise<unknown>): void {
	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.once(signal, () => {
			void stop().then(() => {
				process.exit(0);
			});
		});
	}
}

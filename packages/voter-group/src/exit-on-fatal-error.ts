/** Exits the process after a failed write of the log. */

import process from 'node:process';
import type {Logger} from '@rattanspring/logger';
import {FatalErrorHandler, type StorageFailure} from '@rattanspring/log-storage';

/** Exit code after a failed write or sync (EX_IOERR of sysexits.h). */
const writeFailedExitCode = 74;

export class ExitOnFatalError extends FatalErrorHandler {
	readonly #logger: Logger;

	constructor(logger: Logger) {
		super();
		this.#logger = logger;
	}

	end(failure: StorageFailure): void {
		this.#logger.log('error', 'storageFailed', {type: failure.type, file: failure.file, message: failure.message});
		process.exit(writeFailedExitCode);
	}
}

/** Failures of the log storage. */

export type StorageFailure = {
	/**
	- `damaged`: a checksum or the entry order is wrong in a way that a torn write does not explain.
	- `writeFailed`: a write or sync failed. The state on disk is unknown, so the process must exit.
	- `diskFull`: the disk still had no room when the storage was closed. What was to be written is not on disk.
	*/
	readonly type: 'damaged' | 'writeFailed' | 'diskFull';
	readonly message: string;
	readonly file: string;
};

/** Called when the state on disk is no longer known; must end the process. */
export abstract class FatalErrorHandler {
	abstract end(failure: StorageFailure): void;
}

/** Creates the failure for a damaged file. */
export function damaged(file: string, what: string): StorageFailure {
	return {type: 'damaged', file, message: `${file}: ${what}. Replace this voter with a new member; see docs/operators/replace-a-voter.md.`};
}

/** Creates the failure for a write that waited for room on the disk until the storage was closed. */
export function diskFull(file: string, error: unknown): StorageFailure {
	return {type: 'diskFull', file, message: `${file}: not written (${String(error)}).`};
}

/** Creates the failure for a failed write or sync. */
export function writeFailed(file: string, error: unknown): StorageFailure {
	return {type: 'writeFailed', file, message: `${file}: write failed (${String(error)}); the state on disk is unknown, so the process exits.`};
}

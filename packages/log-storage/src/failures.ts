/** Failures of the storage. */

/** Why the data folder cannot be used. */
export type StorageFailure = {
	/**
	- `damaged`: a checksum or the order of entries is wrong where a torn write cannot explain it.
	- `writeFailed`: a write or sync failed; what is on disk is unknown, so the process must end.
	*/
	readonly type: 'damaged' | 'writeFailed';
	readonly message: string;
	readonly file: string;
};

/** Ends the process when what is on disk is no longer known. */
export abstract class FatalErrorHandler {
	abstract end(failure: StorageFailure): void;
}

/** Describes damage. */
export function damaged(file: string, what: string): StorageFailure {
	return {type: 'damaged', file, message: `${file}: ${what}. Replace this voter by a new member; see docs/operators/replace-a-voter.md.`};
}

/** Describes a failed write. */
export function writeFailed(file: string, error: unknown): StorageFailure {
	return {type: 'writeFailed', file, message: `${file}: writing failed (${String(error)}); the process ends, since what is on disk is unknown.`};
}

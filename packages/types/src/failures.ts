/**
Tagged failures shared by several packages, and an error class that carries one when it has to be thrown.

Each package defines further failure unions of its own. `type` identifies the kind of failure, the other fields describe
what happened, and `message` says what to do about it.
*/

/** A failure as plain data: `type` is the tag, `message` a human-readable sentence. */
export type Failure = {readonly type: string; readonly message: string};

/** A settings file that cannot be read, or a key that is missing, unknown or invalid. */
export type SettingsFailure = {
	readonly type: 'settingsUnreadable' | 'settingsInvalid';
	readonly message: string;
	readonly file: string;
	/** Path of the key within the file, such as `roles.entry.listen.port`; empty for the whole file. */
	readonly key: string;
	/** What the key should hold. */
	readonly expected: string;
};

/** Wraps a typed failure in an exception. */
export class FailureError<F extends Failure = Failure> extends Error {
	readonly failure: F;

	constructor(failure: F) {
		super(failure.message);
		this.name = 'FailureError';
		this.failure = failure;
	}
}

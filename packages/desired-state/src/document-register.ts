/**
Replacement rule of the replicated register, which stores the document with the highest version, unmodified.

A lower version is acknowledged and ignored, since a newer document has superseded it. The stored version may be
resent with the same content; different content under the same version is a conflict.
*/

/** A document as it was received, and its version. */
export type StoredDocument = {readonly version: number; readonly text: string};

/** The result of submitting a document. */
export type ReplaceOutcome = 'stored' | 'alreadyStored' | 'overtaken' | 'conflict';

/** Decides how a submitted document relates to the stored one. */
export function evaluateReplacement(held: StoredDocument | undefined, next: StoredDocument): ReplaceOutcome {
	if (!held || next.version > held.version) {
		return 'stored';
	}

	if (next.version < held.version) {
		return 'overtaken';
	}

	return next.text === held.text ? 'alreadyStored' : 'conflict';
}

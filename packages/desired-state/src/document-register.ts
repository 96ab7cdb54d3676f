/**
The register that control replicates: the document of the highest version, kept as it was sent.

A lower version changes nothing and is acknowledged, since its sender has been overtaken. The version held may come
again with the same content; other content under it is refused.
*/

/** A document as it was sent, and its version. */
export type StoredDocument = {readonly version: number; readonly text: string};

/** What became of a document. */
export type ReplaceOutcome = 'stored' | 'alreadyStored' | 'overtaken' | 'conflict';

/** Where a document stands against the one held. */
export function evaluateReplacement(held: StoredDocument | undefined, next: StoredDocument): ReplaceOutcome {
	if (!held || next.version > held.version) {
		return 'stored';
	}

	if (next.version < held.version) {
		return 'overtaken';
	}

	return next.text === held.text ? 'alreadyStored' : 'conflict';
}

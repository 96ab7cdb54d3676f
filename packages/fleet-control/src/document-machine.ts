/** The state machine over the log: the document of the highest version. */

import {Buffer} from 'node:buffer';
import {fromJsonBytes, toJsonBytes} from '@rattanspring/control-client';
import {evaluateReplacement, type ReplaceOutcome, type StoredDocument} from '@rattanspring/desired-state';
import {StateMachine} from '@rattanspring/replicated-log';

/** Applies documents in log order. */
export class DocumentMachine extends StateMachine<ReplaceOutcome> {
	#document: StoredDocument | undefined;

	/** The document of the highest version applied here. */
	get document(): StoredDocument | undefined {
		return this.#document;
	}

	apply(command: Uint8Array): ReplaceOutcome {
		const next = fromJsonBytes<StoredDocument>(command)!;
		const outcome = evaluateReplacement(this.#document, next);
		if (outcome === 'stored') {
			this.#document = next;
		}

		return outcome;
	}

	restore(state: Uint8Array): void {
		this.#document = state.byteLength > 0 ? fromJsonBytes<StoredDocument>(state) : undefined;
	}

	serialize(): Uint8Array {
		return this.#document ? toJsonBytes(this.#document) : Buffer.alloc(0);
	}
}

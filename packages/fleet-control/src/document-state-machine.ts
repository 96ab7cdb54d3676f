/**
Replicated state machine that holds the configuration document with the highest version, and the register of drained failure domains.

Commands and snapshots are those of a document with an additional field, so that logs of builds without the register are read as they are. A build without it
reads a command about a domain as a document below all versions, and ignores the register of a snapshot.
*/

import {Buffer} from 'node:buffer';
import {fromJsonBytes, toJsonBytes} from '@rattanspring/control-client';
import {evaluateReplacement, type ReplaceOutcome, type StoredDocument} from '@rattanspring/desired-state';
import {
	type DomainOrder, type DomainRegister, emptyRegister, orderOutcome,
} from '@rattanspring/domain-drain';
import {StateMachine} from '@rattanspring/replicated-log';

/** Stands for no document where the format requires one; versions of documents are not negative. */
const noDocument: StoredDocument = {version: -1, text: ''};

type Command = StoredDocument & {readonly domainOrder?: DomainOrder};
type Snapshot = StoredDocument & {readonly domains?: DomainRegister};

/** The command that stores a document. */
export function documentCommand({version, text}: StoredDocument): Uint8Array {
	return toJsonBytes({version, text});
}

/** The command that applies an order about a failure domain. */
export function domainCommand(domainOrder: DomainOrder): Uint8Array {
	return toJsonBytes({...noDocument, domainOrder} satisfies Command);
}

export class DocumentStateMachine extends StateMachine<ReplaceOutcome> {
	#document: StoredDocument | undefined;
	#register = emptyRegister;

	/** The applied document with the highest version. */
	get document(): StoredDocument | undefined {
		return this.#document;
	}

	/** The register after the applied orders. */
	get register(): DomainRegister {
		return this.#register;
	}

	apply(command: Uint8Array): ReplaceOutcome {
		const {domainOrder, ...next} = fromJsonBytes<Command>(command)!;
		if (domainOrder) {
			const {outcome, register} = orderOutcome(this.#register, domainOrder);
			this.#register = register;
			return outcome;
		}

		const outcome = evaluateReplacement(this.#document, next);
		if (outcome === 'stored') {
			this.#document = next;
		}

		return outcome;
	}

	restore(state: Uint8Array): void {
		const snapshot: Snapshot = state.byteLength > 0 ? fromJsonBytes<Snapshot>(state)! : noDocument;
		const {domains = emptyRegister, ...document} = snapshot;
		this.#document = document.version === noDocument.version ? undefined : document;
		this.#register = domains;
	}

	serialize(): Uint8Array {
		if (this.#register.revision > 0) {
			return toJsonBytes({...this.#document ?? noDocument, domains: this.#register} satisfies Snapshot);
		}

		return this.#document ? toJsonBytes(this.#document) : Buffer.alloc(0);
	}
}

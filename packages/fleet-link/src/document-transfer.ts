/**
Transfer of the configuration document from a control process to its followers. It is sent in small parts that the follower
requests one by one, so that each part arrives soon even over a slow link that many followers share, and a transfer that was
interrupted continues where it stopped, also at another control process.
*/

import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {gunzipSync, gzipSync} from 'node:zlib';
import {
	applyChanges, type Change, computeChanges, type StoredDocument,
} from '@rattanspring/desired-state';
import type {DocumentReply, DocumentRequest} from './link-service.js';

/** Maximum size of a part: with a hundred followers, all of their next parts take 0.13 s of a link of 100 Mbit/s. */
const maxPartBytes = 16_384;

/** Number of recent transfers that can still be continued, so that quick successions of changes starve no follower. */
const keptEncodings = 16;

/** Limits of the recent documents that are kept to compute changes from. */
const keptDocuments = 16;
const keptCharacters = 8_000_000;

/** Maximum size of a document, compressed and decompressed. */
const maxDocumentBytes = 64 * 1024 * 1024;

/** A text, identified by its digest. */
type IdentifiedText = {readonly id: string; readonly text: string};

/** The compressed bytes of a document, or of its changes from a base, identified by their digest. */
type Encoding = {readonly id: string; readonly version: number; readonly baseId?: string; readonly bytes: Buffer};

/** Serves the newest document in parts, as changes from the follower's document if that is a recent one. */
export class DocumentSender {
	/** Newest first. */
	#documents: Array<IdentifiedText & {readonly version: number}> = [];
	#encodings: Encoding[] = [];

	/** Adds a newer document than all before. */
	publish({version, text}: StoredDocument): void {
		const documents = [{id: digestOf(text), version, text}, ...this.#documents].slice(0, keptDocuments);
		let characters = 0;
		this.#documents = documents.filter(document => {
			characters += document.text.length;
			return document === documents[0] || characters <= keptCharacters;
		});
	}

	/** Returns the requested part, or the first part of the newest document if the requested transfer is unknown. */
	reply({heldVersion, heldId, transfer}: DocumentRequest): DocumentReply {
		const [newest] = this.#documents;
		if (!newest || newest.version <= heldVersion) {
			return {version: newest?.version ?? -1};
		}

		const encoding = this.#encode(heldId);
		const known = transfer && this.#encodings.find(({id}) => id === transfer.id);
		const {id, version, baseId, bytes} = known ?? encoding;
		const offset = known ? transfer.offset : 0;
		return {
			version: newest.version,
			part: {
				transferId: id, transferVersion: version, baseId, totalBytes: bytes.length, offset,
			},
			attachment: bytes.subarray(offset, offset + maxPartBytes),
		};
	}

	/** Encodes the newest document, as changes if the text with the given digest is known. */
	#encode(heldId: string | undefined): Encoding {
		const [{version, text}] = this.#documents;
		const base = this.#documents.find(({id}) => id === heldId);
		const known = this.#encodings.find(encoding => encoding.version === version && encoding.baseId === base?.id);
		if (known) {
			return known;
		}

		const bytes = gzipSync(base ? JSON.stringify(computeChanges(base.text, text)) : text);
		const encoding = {
			id: digestOf(bytes), version, baseId: base?.id, bytes,
		};
		this.#encodings = [encoding, ...this.#encodings].slice(0, keptEncodings);
		return encoding;
	}
}

/** What a received part led to: the whole document, the next part is needed, or the reply was unusable. */
export type ReceiveResult
	= | {readonly kind: 'whole'; readonly text: string}
		| {readonly kind: 'partial' | 'damaged'};

type Transfer = {readonly id: string; readonly version: number; readonly baseId?: string; readonly totalBytes: number; readonly parts: Uint8Array[]; receivedBytes: number};

/** Assembles the parts of a document. */
export class DocumentReceiver {
	#held: IdentifiedText | undefined;
	#transfer: Transfer | undefined;

	/** The request for the next part of a document that is newer than the held one. */
	request(heldVersion: number): DocumentRequest {
		if (this.#transfer && this.#transfer.version <= heldVersion) {
			this.#transfer = undefined;
		}

		return {heldVersion, heldId: this.#held?.id, ...(this.#transfer && {transfer: {id: this.#transfer.id, offset: this.#transfer.receivedBytes}})};
	}

	/** Adds the part of a reply. */
	receive({part, attachment}: DocumentReply): ReceiveResult {
		if (!part || !attachment) {
			return {kind: 'damaged'};
		}

		const {transferId, transferVersion, baseId, totalBytes, offset} = part;
		if (this.#transfer?.id !== transferId) {
			this.#transfer = {
				id: transferId, version: transferVersion, baseId, totalBytes, parts: [], receivedBytes: 0,
			};
		}

		const transfer = this.#transfer;
		transfer.parts.push(attachment);
		transfer.receivedBytes += attachment.byteLength;
		const isInSequence = offset + attachment.byteLength === transfer.receivedBytes && attachment.byteLength > 0;
		if (!isInSequence || transfer.receivedBytes > transfer.totalBytes || transfer.totalBytes > maxDocumentBytes) {
			this.#transfer = undefined;
			return {kind: 'damaged'};
		}

		return transfer.receivedBytes < transfer.totalBytes ? {kind: 'partial'} : this.#finish(transfer);
	}

	#finish(transfer: Transfer): ReceiveResult {
		this.#transfer = undefined;
		const bytes = Buffer.concat(transfer.parts);
		const content = digestOf(bytes) === transfer.id ? decompress(bytes) : undefined;
		const text = content === undefined || transfer.baseId === undefined ? content : this.#applyToHeld(transfer.baseId, content);
		if (text === undefined) {
			return {kind: 'damaged'};
		}

		this.#held = {id: digestOf(text), text};
		return {kind: 'whole', text};
	}

	#applyToHeld(baseId: string, content: string): string | undefined {
		const changes = parseChanges(content);
		return changes && this.#held?.id === baseId ? applyChanges(this.#held.text, changes) : undefined;
	}
}

/** Returns undefined if the bytes are not compressed text, or if the text is too long. */
function decompress(bytes: Buffer): string | undefined {
	try {
		return gunzipSync(bytes, {maxOutputLength: maxDocumentBytes}).toString('utf8');
	} catch {
		return undefined;
	}
}

/** Returns undefined if the content is not a list of changes. */
function parseChanges(content: string): Change[] | undefined {
	try {
		const changes = JSON.parse(content) as unknown;
		return Array.isArray(changes) && changes.every(change => typeof change === 'string' || Array.isArray(change)) ? changes as Change[] : undefined;
	} catch {
		return undefined;
	}
}

function digestOf(content: Buffer | string): string {
	return createHash('sha256').update(content).digest('base64url');
}

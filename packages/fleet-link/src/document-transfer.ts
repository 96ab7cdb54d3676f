/**
Transfer of the configuration document from a control process to its followers. It is sent in small parts that the follower
requests one by one, so that each part arrives soon even over a slow link that many followers share, and a transfer that was
interrupted continues where it stopped, also at another control process.
*/

import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {gunzipSync, gzipSync} from 'node:zlib';
import type {StoredDocument} from '@rattanspring/desired-state';
import type {DocumentReply, DocumentRequest} from './link-service.js';

/** Maximum size of a part. */
const maxPartBytes = 32_768;

/** Number of recent documents that can still be transferred after a newer one was accepted, so that quick successions of changes starve no follower. */
const keptEncodings = 4;

/** Maximum size of a document, compressed and decompressed. */
const maxDocumentBytes = 64 * 1024 * 1024;

/** The compressed bytes of a document, identified by their digest. */
type Encoding = {readonly id: string; readonly version: number; readonly bytes: Buffer};

/** Serves parts of the newest document. */
export class DocumentSender {
	readonly #newest: () => StoredDocument | undefined;
	#encodings: Encoding[] = [];

	/** `newest` returns the newest document that this process holds. */
	constructor(newest: () => StoredDocument | undefined) {
		this.#newest = newest;
	}

	/** Returns the requested part, or the first part of the newest document if the requested transfer is unknown. */
	reply({heldVersion, transfer}: DocumentRequest): DocumentReply {
		const document = this.#newest();
		if (!document || document.version <= heldVersion) {
			return {version: document?.version ?? -1};
		}

		const newest = this.#encode(document);
		const known = transfer && this.#encodings.find(({id}) => id === transfer.id);
		const {id, version, bytes} = known ?? newest;
		const offset = known ? transfer.offset : 0;
		return {
			version: document.version,
			part: {
				transferId: id, transferVersion: version, totalBytes: bytes.length, offset, bytes: bytes.subarray(offset, offset + maxPartBytes),
			},
		};
	}

	#encode({version, text}: StoredDocument): Encoding {
		const known = this.#encodings.find(encoding => encoding.version === version);
		if (known) {
			return known;
		}

		const bytes = gzipSync(text);
		const encoding = {id: digestOf(bytes), version, bytes};
		this.#encodings = [encoding, ...this.#encodings].slice(0, keptEncodings);
		return encoding;
	}
}

/** What a received part led to: the whole document, the next part is needed, or the reply was unusable. */
export type ReceiveResult
	= | {readonly kind: 'whole'; readonly text: string}
		| {readonly kind: 'partial' | 'damaged'};

type Transfer = {readonly id: string; readonly version: number; readonly totalBytes: number; readonly parts: Uint8Array[]; receivedBytes: number};

/** Assembles the parts of a document. */
export class DocumentReceiver {
	#transfer: Transfer | undefined;

	/** The request for the next part of a document that is newer than the held one. */
	request(heldVersion: number): DocumentRequest {
		if (this.#transfer && this.#transfer.version <= heldVersion) {
			this.#transfer = undefined;
		}

		return {heldVersion, ...(this.#transfer && {transfer: {id: this.#transfer.id, offset: this.#transfer.receivedBytes}})};
	}

	/** Adds a part. */
	receive({transferId, transferVersion, totalBytes, offset, bytes}: NonNullable<DocumentReply['part']>): ReceiveResult {
		if (this.#transfer?.id !== transferId) {
			this.#transfer = {
				id: transferId, version: transferVersion, totalBytes, parts: [], receivedBytes: 0,
			};
		}

		const transfer = this.#transfer;
		transfer.parts.push(bytes);
		transfer.receivedBytes += bytes.byteLength;
		const isInSequence = offset + bytes.byteLength === transfer.receivedBytes && bytes.byteLength > 0;
		if (!isInSequence || transfer.receivedBytes > transfer.totalBytes || transfer.totalBytes > maxDocumentBytes) {
			this.#transfer = undefined;
			return {kind: 'damaged'};
		}

		return transfer.receivedBytes < transfer.totalBytes ? {kind: 'partial'} : this.#finish(transfer);
	}

	#finish(transfer: Transfer): ReceiveResult {
		this.#transfer = undefined;
		const bytes = Buffer.concat(transfer.parts);
		const text = digestOf(bytes) === transfer.id ? decompress(bytes) : undefined;
		return text === undefined ? {kind: 'damaged'} : {kind: 'whole', text};
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

function digestOf(bytes: Buffer): string {
	return createHash('sha256').update(bytes).digest('base64url');
}

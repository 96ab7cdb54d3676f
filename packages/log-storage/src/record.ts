/**
Checksummed records: a header with magic number, length and two checksums, followed by the content in MessagePack.

The header has its own checksum, so that a corrupted length is not mistaken for a torn write.
*/

import {decode, encode} from '@msgpack/msgpack';
import crc32 from 'crc-32';
import {
	err, ok, type Result,
} from '@rattanspring/types';

const magic = 0x52_53_4C_47;
const headerBytes = 16;
const headerChecksumOffset = 8;
const bodyChecksumOffset = 12;

/** A decoded record and the offset of the next one. */
export type ParsedRecord = {readonly content: unknown; readonly endOffset: number};

/** Why no valid record was found at an offset: `torn` if no valid record follows, `damaged` if one does. */
export type RecordFailure = {readonly type: 'torn' | 'damaged'};

export function encodeRecord(content: unknown): Uint8Array {
	const body = encode(content, {ignoreUndefined: true});
	const record = new Uint8Array(headerBytes + body.byteLength);
	const view = new DataView(record.buffer);
	view.setUint32(0, magic);
	view.setUint32(4, body.byteLength);
	view.setInt32(headerChecksumOffset, crc32.buf(record.subarray(0, headerChecksumOffset)));
	view.setInt32(bodyChecksumOffset, crc32.buf(body));
	record.set(body, headerBytes);
	return record;
}

/** Reads the record at an offset; on failure, searches the following bytes to tell a torn write from corruption. */
export function readRecord(bytes: Uint8Array, offset: number): Result<ParsedRecord, RecordFailure> {
	const found = parseRecord(bytes, offset);
	if (found) {
		return ok(found);
	}

	for (let later = offset + 1; later + headerBytes <= bytes.byteLength; later++) {
		if (parseRecord(bytes, later)) {
			return err({type: 'damaged'});
		}
	}

	return err({type: 'torn'});
}

function parseRecord(bytes: Uint8Array, offset: number): ParsedRecord | undefined {
	if (offset + headerBytes > bytes.byteLength) {
		return undefined;
	}

	const view = new DataView(bytes.buffer, bytes.byteOffset + offset, headerBytes);
	if (view.getUint32(0) !== magic) {
		return undefined;
	}

	const header = bytes.subarray(offset, offset + headerChecksumOffset);
	const endOffset = offset + headerBytes + view.getUint32(4);
	const hasHeader = view.getInt32(headerChecksumOffset) === crc32.buf(header) && endOffset <= bytes.byteLength;
	if (!hasHeader) {
		return undefined;
	}

	const body = bytes.subarray(offset + headerBytes, endOffset);
	return view.getInt32(bodyChecksumOffset) === crc32.buf(body) ? {content: decode(body), endOffset} : undefined;
}

/** Encodes plain data as JSON bytes, for messages whose content is defined by a state machine. */

import {Buffer} from 'node:buffer';

/** Encodes plain data as UTF-8 JSON. */
export function toJsonBytes(data: unknown): Uint8Array {
	return Buffer.from(JSON.stringify(data));
}

/**
Decodes JSON bytes; undefined if they are not valid JSON. The type is not verified, so this is only for bytes from
processes of the fleet. Input from callers and operators is validated against a schema.
*/
export function fromJsonBytes<Data>(bytes: Uint8Array): Data | undefined {
	try {
		return JSON.parse(Buffer.from(bytes).toString('utf8')) as Data;
	} catch {
		return undefined;
	}
}

/** Size of entries, by which messages are limited. */

import type {LogEntry} from './log-entry.js';

/** Size of an entry besides its command. */
const overheadBytes = 64;

/** Approximate size of an entry in a message. */
export function entryBytes({payload}: LogEntry): number {
	return overheadBytes + (payload.kind === 'command' ? payload.command.byteLength : 0);
}

/** The first entries, up to a total size; at least one if there are any. */
export function limitBytes(entries: readonly LogEntry[], maxBytes: number): LogEntry[] {
	let bytes = 0;
	const firstBeyond = entries.findIndex(entry => {
		bytes += entryBytes(entry);
		return bytes > maxBytes;
	});
	return firstBeyond === -1 ? [...entries] : entries.slice(0, Math.max(1, firstBeyond));
}

/** Estimated size of messages on the wire. */

import type {LogEntry} from '../log-entry.js';
import type {PeerMessage} from '../messages.js';

/** Bytes of a message, or of an entry, besides its command or snapshot. */
const overheadBytes = 100;

/** Estimates how many bytes a message takes on a link. */
export function messageBytes(message: PeerMessage): number {
	if (message.type === 'append') {
		return overheadBytes + message.entries.map(entry => entryBytes(entry)).reduce((sum, bytes) => sum + bytes, 0);
	}

	return overheadBytes + (message.type === 'snapshot' ? message.snapshot.state.byteLength : 0);
}

function entryBytes({payload}: LogEntry): number {
	return overheadBytes + (payload.kind === 'command' ? payload.command.byteLength : 0);
}

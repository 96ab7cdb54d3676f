/** Flow control of a channel: limits the bytes that are sent but not yet consumed by the reader. */

import type {agentProtocol} from '@rattanspring/protocol';

/** Initial credit of a channel: the maximum of bytes sent but not yet consumed. */
export const windowBytes = 65_536;

/** Bytes counted per frame in addition to its data. */
const frameOverheadBytes = 128;

/** Returns the bytes that a frame counts for in flow control. */
export function flowControlBytes(frame: agentProtocol.Frame): number {
	const {content} = frame;
	return frameOverheadBytes + (content?.$case === 'data' ? content.value.length : 0);
}

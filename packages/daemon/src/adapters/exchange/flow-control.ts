/** Flow control of a channel: how many bytes may be on their way to a reader that has not taken them. */

import type {agentProtocol} from '@rattanspring/protocol';

/** Bytes that may be on their way on one channel. */
export const windowBytes = 65_536;

/** Bytes counted for a frame besides its data. */
const frameOverheadBytes = 128;

/** Bytes a frame counts for. */
export function sizeOf(frame: agentProtocol.Frame): number {
	const {content} = frame;
	return frameOverheadBytes + (content?.$case === 'data' ? content.value.length : 0);
}

/** Reads the body of a caller's request up to a size limit. */

import type {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {dropRest, type HeldRequest, readBounded} from '@rattanspring/byte-collector';

/** The body, or why it could not be read. */
export type BodyResult = {readonly kind: 'whole'; readonly body: Buffer} | {readonly kind: 'tooLarge' | 'noMemory' | 'broken'};

/** Options of reading a body: its greatest size, the memory that it may hold, and what to do when too much came behind a refusal. */
export type BodyOptions = {readonly maxBytes: number; readonly held: HeldRequest; readonly onDropExceeded?: () => void};

/** Resolves when the body is complete, is too large, in its bytes or the number of its pieces, or can't be completed, and once `held` has no memory left for it. */
export async function readBody(request: IncomingMessage, {maxBytes, held, onDropExceeded}: BodyOptions): Promise<BodyResult> {
	const statedLength = request.headers['content-length'];
	if (Number(statedLength ?? 0) > maxBytes) {
		dropRest(request, {onExceeded: onDropExceeded});
		return {kind: 'tooLarge'};
	}

	if (!held.hold(0)) {
		dropRest(request, {onExceeded: onDropExceeded});
		return {kind: 'noMemory'};
	}

	const result = await readBounded(request, {
		maxBytes,
		onDropExceeded,
		mayHold: bytes => held.hold(bytes),
		onBegun(giveUp) {
			held.onEnd = giveUp;
		},
		...(statedLength !== undefined && {expectedBytes: Number(statedLength)}),
	});
	switch (result.kind) {
		case 'whole': {
			held.complete();
			return {kind: 'whole', body: result.bytes};
		}

		case 'tooLarge':
		case 'tooManyPieces': {
			return {kind: 'tooLarge'};
		}

		case 'noMemory':
		case 'broken': {
			return {kind: result.kind};
		}
	}
}

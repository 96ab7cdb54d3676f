/** Reads the body of a caller's request up to a size limit. */

import type {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {dropRest, type HeldRequest, readBounded} from '@rattanspring/byte-collector';

/** The body, or why it could not be read. */
export type BodyResult = {readonly kind: 'whole'; readonly body: Buffer} | {readonly kind: 'tooLarge' | 'noMemory' | 'broken'};

/** Resolves when the body is complete, is too large, in its bytes or the number of its pieces, or can't be completed, and once `held` has no memory left for it. */
export async function readBody(request: IncomingMessage, maxBytes: number, held: HeldRequest): Promise<BodyResult> {
	const statedLength = request.headers['content-length'];
	if (Number(statedLength ?? 0) > maxBytes) {
		dropRest(request);
		return {kind: 'tooLarge'};
	}

	if (!held.hold(0)) {
		dropRest(request);
		return {kind: 'noMemory'};
	}

	const result = await readBounded(request, {
		maxBytes,
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

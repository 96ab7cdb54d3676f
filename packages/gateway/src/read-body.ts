/** Reads the body of a caller's request up to a size limit. */

import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';

/** The body, or why it could not be read. */
export type BodyResult = {readonly kind: 'whole'; readonly body: Buffer} | {readonly kind: 'tooLarge'} | {readonly kind: 'broken'};

/** Resolves when the body is complete, is too large or can't be completed. */
export async function readBody(request: IncomingMessage, maxBytes: number): Promise<BodyResult> {
	if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
		return {kind: 'tooLarge'};
	}

	return new Promise(resolve => {
		const chunks: Buffer[] = [];
		let length = 0;
		request.on('data', (chunk: Buffer) => {
			length += chunk.byteLength;
			if (length > maxBytes) {
				request.pause();
				resolve({kind: 'tooLarge'});
			} else {
				chunks.push(chunk);
			}
		});
		request.on('end', () => {
			resolve({kind: 'whole', body: chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)});
		});
		request.on('close', () => {
			resolve({kind: 'broken'});
		});
		request.on('error', () => {
			resolve({kind: 'broken'});
		});
	});
}

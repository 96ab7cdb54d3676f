/** Reads a stream to its end, up to a size; and what comes behind the end of a read. */

import type {Buffer} from 'node:buffer';
import type {Readable} from 'node:stream';
import {ByteCollector, PieceCount} from './byte-collector.js';
import {fragmentedReads} from './fragmented-reads.js';
import {garbageWatch} from './garbage-watch.js';

/** Bytes behind the end of a read that are dropped before the connection is closed: some senders read an answer only once they have sent all. */
const maxDroppedBytes = 16_777_216;

/** Options of a read. */
export type ReadBoundedOptions = {
	readonly maxBytes: number;
	/** Length that the sender has stated. */
	readonly expectedBytes?: number;
	/** Asked before more memory is held; false ends the read. It may always be held by default. */
	readonly mayHold?: (bytes: number) => boolean;
	/** Called at the begin with a function that ends the read as if no more memory might be held. */
	readonly onBegun?: (giveUp: () => void) => void;
	/** Called when too much came behind the end of the read, so that the stream was destroyed. */
	readonly onDropExceeded?: () => void;
};

/** The bytes, or why there are none. */
export type BoundedRead = {readonly kind: 'whole'; readonly bytes: Buffer} | {readonly kind: 'tooLarge' | 'tooManyPieces' | 'noMemory' | 'broken'};

/** Resolves when the stream has ended, is too large, comes in too many pieces, may hold no more memory or can't be completed. What still comes then is dropped, up to a limit. */
export async function readBounded(stream: Readable, {maxBytes, expectedBytes, mayHold = () => true, onBegun, onDropExceeded}: ReadBoundedOptions): Promise<BoundedRead> {
	const collector = new ByteCollector({expectedBytes: Math.min(expectedBytes ?? maxBytes, maxBytes)});
	return new Promise(resolve => {
		const end = (result: BoundedRead) => {
			stream.off('data', onData);
			stream.off('end', onEnd);
			collector.take();
			if (result.kind !== 'whole' && result.kind !== 'broken') {
				dropRest(stream, {...(result.kind === 'tooManyPieces' && {maxBytes: 0}), onExceeded: onDropExceeded});
			}

			resolve(result);
		};

		const onData = (piece: Buffer) => {
			garbageWatch.addPiece(piece.byteLength);
			if (collector.length + piece.byteLength > maxBytes) {
				end({kind: 'tooLarge'});
			} else if (collector.isFragmented) {
				fragmentedReads.note();
				end({kind: 'tooManyPieces'});
			} else if (mayHold(collector.heldAfter(piece.byteLength))) {
				collector.append(piece);
			} else {
				end({kind: 'noMemory'});
			}
		};

		const onEnd = () => {
			end({kind: 'whole', bytes: collector.take()});
		};

		stream.on('data', onData);
		stream.on('end', onEnd);
		onBegun?.(() => {
			end({kind: 'noMemory'});
		});
		for (const event of ['close', 'error'] as const) {
			stream.on(event, () => {
				end({kind: 'broken'});
			});
		}
	});
}

/** Options of dropping: the most bytes that may come, 16 MiB by default, and what to do when more came and the stream was destroyed. */
export type DropOptions = {readonly maxBytes?: number; readonly onExceeded?: () => void};

/**
Reads on and keeps nothing, so that the sender can get an answer: a connection that is closed with bytes unread is reset, and one that is not read holds them.
Destroys the stream, with its connection, once more bytes have come, or pieces that take more time than their bytes; not before the end of this turn of the event loop.
*/
export function dropRest(stream: Readable, {maxBytes = maxDroppedBytes, onExceeded}: DropOptions = {}): void {
	const dropped = new PieceCount();
	let isAnswered = false;
	const destroyIfExceeded = () => {
		if (isAnswered && !stream.destroyed && (dropped.bytes > maxBytes || dropped.isFragmented)) {
			if (dropped.isFragmented) {
				fragmentedReads.note();
			}

			stream.destroy();
			onExceeded?.();
		}
	};

	stream.on('data', (piece: Buffer) => {
		dropped.add(piece);
		garbageWatch.addPiece(piece.byteLength);
		destroyIfExceeded();
	});
	stream.resume();
	setImmediate(() => {
		isAnswered = true;
		destroyIfExceeded();
	});
}

/**
Slices what HTTP connections bring. A body in chunks of one byte costs the parser some 10,000 calls a read, and the event loop reads all connections that have something before
it does anything else. While such bodies come, the parser gets a small slice of tiny chunks of each new connection in a turn, so that ordinary callers get theirs in between.
*/

import type {Socket} from 'node:net';
import {fragmentedReads, garbageWatch} from '@rattanspring/byte-collector';

/** Some 170 of the smallest chunks; a slice with more line feeds than this is one of tiny chunks, each of which has two. */
const sliceBytes = 1024;
const maxLineFeeds = 128;
const lineFeed = 0x0A;

/** Slices the reads of a new connection if bodies in tiny chunks have come lately. Call it after the listener of the HTTP server. */
export function sliceReads(socket: Socket): void {
	const [parse] = socket.listeners('data') as Array<(bytes: Uint8Array) => void>;
	if (!fragmentedReads.areRecent || !parse || socket.destroyed) {
		return;
	}

	const reads: Uint8Array[] = [];
	let isStopped = false;
	const pause = socket.pause.bind(socket);
	const resume = socket.resume.bind(socket);
	const parseNext = () => {
		let isTiny = false;
		while (reads.length > 0 && !isTiny && !socket.destroyed) {
			const [read] = reads;
			const slice = read.subarray(0, sliceBytes);
			isTiny = hasTinyChunks(slice);
			parse(slice);
			reads.splice(0, 1, ...(read.byteLength > sliceBytes ? [read.subarray(sliceBytes)] : []));
		}

		if (socket.destroyed) {
			return;
		}

		if (reads.length > 0) {
			setImmediate(parseNext);
		} else if (!isStopped) {
			resume();
		}
	};

	// The server stops and resumes the connection with its bodies, which must not bring more while there are slices left.
	socket.pause = () => {
		isStopped = true;
		return pause();
	};

	socket.resume = () => {
		isStopped = false;
		return reads.length > 0 ? socket : resume();
	};

	socket.off('data', parse);
	socket.on('data', (read: Uint8Array) => {
		// It outlives the collections of young objects while its slices wait.
		garbageWatch.addBuffer(read.byteLength);
		reads.push(read);
		pause();
		if (reads.length === 1) {
			parseNext();
		}
	});
}

function hasTinyChunks(slice: Uint8Array): boolean {
	let lineFeeds = 0;
	for (const byte of slice) {
		lineFeeds += byte === lineFeed ? 1 : 0;
	}

	return lineFeeds > maxLineFeeds;
}

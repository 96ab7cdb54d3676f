/**
Slices what HTTP connections bring. A body in chunks of one byte costs the parser some 10,000 calls a read, and the event loop reads all connections that have something before
it does anything else. While such bodies come, the parser gets a small slice of each new connection in a turn, so that ordinary callers get theirs in between.
*/

import type {Socket} from 'node:net';
import {fragmentedReads, garbageWatch} from '@rattanspring/byte-collector';

/** Some 170 of the smallest chunks. */
const sliceBytes = 1024;

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
		const read = reads.shift();
		if (!read || socket.destroyed) {
			return;
		}

		if (read.byteLength > sliceBytes) {
			reads.unshift(read.subarray(sliceBytes));
		}

		parse(read.subarray(0, sliceBytes));
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

/**
Bounds the values of a message from another daemon before it is parsed: a message may have 16 MB, and as objects that is many times as much. One process serves one port for
daemons, so that the bound is one, too.
*/

import type {Buffer} from 'node:buffer';
import {hasMoreValues} from '@rattanspring/byte-collector';

/** More than the longest lists that daemons send to those they call: the uses of client accounts. */
export const maxMessageValues = 100_000;

/** What is done when a message has more values: the library fails its call. */
export const messageValues = {
	onExceeded(): void {
		// Nobody has asked to be told.
	},
	/** Throws if the message has too many values. */
	check(bytes: Buffer): void {
		if (bytes.byteLength > maxMessageValues && hasMoreValues(bytes, maxMessageValues)) {
			this.onExceeded();
			throw new RangeError('The message has too many values.');
		}
	},
};

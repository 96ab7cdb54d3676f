/**
Counts the values of a JSON text before it is parsed: objects and lists take many times the memory of their text, so that a short text with many of them can take more than a
process has.
*/

import type {Buffer} from 'node:buffer';

const quote = 0x22;
const backslash = 0x5C;

/** Each of these begins another value, or a name of one: , : [ { */
const separators: ReadonlySet<number> = new Set([0x2C, 0x3A, 0x5B, 0x7B]);

/** Whether the text has more values and names than a number. It need not be valid. */
export function hasMoreValues(text: Buffer, maxValues: number): boolean {
	let values = 1;
	for (let at = 0; at < text.byteLength && values <= maxValues; at++) {
		const byte = text[at];
		if (byte === quote) {
			at = endOfString(text, at);
		} else if (separators.has(byte)) {
			values++;
		}
	}

	return values > maxValues;
}

/** Position of the quotation mark that ends the string that begins here; the length of the text if there is none. */
function endOfString(text: Buffer, begin: number): number {
	for (let end = text.indexOf(quote, begin + 1); end >= 0; end = text.indexOf(quote, end + 1)) {
		let backslashes = 0;
		while (text[end - 1 - backslashes] === backslash) {
			backslashes++;
		}

		if (backslashes % 2 === 0) {
			return end;
		}
	}

	return text.byteLength;
}

/**
Numbers as bytes: seven bits a byte, the lowest first, with the highest bit set in all bytes of a number but its last. Small numbers, which
prevail in differences and expert lists, take one byte.
*/

const bitsPerByte = 7;
const continues = 128;

/** Whether a number can be written: a safe integer that is not negative. */
export function isCompactable(value: number): boolean {
	return Number.isSafeInteger(value) && value >= 0;
}

/** Encodes numbers; each has to be compactable. */
export function encodeNumbers(values: Iterable<number>): Uint8Array {
	const bytes: number[] = [];
	for (const value of values) {
		let rest = value;
		while (rest >= continues) {
			bytes.push((rest % continues) + continues);
			rest = Math.floor(rest / continues);
		}

		bytes.push(rest);
	}

	return Uint8Array.from(bytes);
}

/** Decodes all bytes; undefined if they end within a number or a number is too large. */
export function decodeNumbers(bytes: Uint8Array): number[] | undefined {
	const values: number[] = [];
	let value = 0;
	let shift = 0;
	for (const byte of bytes) {
		value += (byte % continues) * (2 ** shift);
		if (!Number.isSafeInteger(value)) {
			return undefined;
		}

		if (byte < continues) {
			values.push(value);
			value = 0;
			shift = 0;
		} else {
			shift += bitsPerByte;
		}
	}

	return shift === 0 ? values : undefined;
}

/** Reproducible text for tests of transfers. */

import {createHash} from 'node:crypto';

/** Returns base64 text that depends only on the seed and compresses to three quarters of its length, as every character holds six random bits. */
export function incompressibleText(seed: number, length: number): string {
	let text = '';
	for (let block = 0; text.length < length; block++) {
		text += createHash('sha512').update(`${seed} ${block}`).digest('base64').replaceAll('=', '');
	}

	return text.slice(0, length);
}

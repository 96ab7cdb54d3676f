/** Generates key secrets. A secret is shown once; only its digest is stored. */

import {createHash, randomBytes} from 'node:crypto';

const secretBytes = 32;

/** A secret and the digest that is stored for it. */
export type NewSecret = {readonly secret: string; readonly secretDigest: string};

export function generateSecret(): NewSecret {
	const secret = randomBytes(secretBytes).toString('base64url');
	return {secret, secretDigest: createHash('sha256').update(secret).digest('hex')};
}

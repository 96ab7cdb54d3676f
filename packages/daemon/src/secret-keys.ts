/** Looks up keys by their secret. Keys are stored with a digest of the secret only. */

import {createHash} from 'node:crypto';

type SecretKey = {readonly secretDigest: string; readonly endsAtMs?: number};

/** Returns the secret of an `Authorization: Bearer SECRET` header, or undefined if the header has another form. */
export function bearerSecret(authorization: string | undefined): string | undefined {
	return /^bearer (\S+)$/i.exec(authorization ?? '')?.[1];
}

/** Returns the key with this secret that has not expired at `nowMs` (wall-clock time). */
export function findValidKey<Key extends SecretKey>(keys: readonly Key[], secret: string, nowMs: number): Key | undefined {
	const digest = createHash('sha256').update(secret).digest('hex');
	return keys.find(key => key.secretDigest === digest && (key.endsAtMs ?? Number.POSITIVE_INFINITY) > nowMs);
}

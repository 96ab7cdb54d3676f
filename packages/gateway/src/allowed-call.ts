/** A caller's request that the desired state allows. */

import type {Buffer} from 'node:buffer';
import type {ClientAccount, Route} from '@rattanspring/desired-state';
import type {CallFacts} from './call-dialect.js';

/** A request that is allowed, and where it goes. */
export type AllowedCall = {
	readonly facts: CallFacts;
	readonly route: Route;
	readonly service: string;
	readonly account?: ClientAccount;
	readonly method: string;
	readonly path: string;
	readonly rawHeaders: readonly string[];
	readonly body: Buffer;
	/** Digest of path, client account and body. */
	readonly fingerprint: string;
	readonly arrivedAtMs: number;
	/** End of the time that the caller and the route allow. */
	readonly deadlineAtMs: number;
};

/** Authenticates callers by their keys. */

import {
	err, ok, type ClientAccountId, type FleetConfiguration, type RequestFailure, type Result,
} from '@rattanspring/types';
import {bearerSecret, findValidKey} from '../../secret-keys.js';
import {notRun} from './problem.js';

/** Returns the client account of the valid caller key whose digest matches the secret in `Authorization: Bearer SECRET`. */
export function authenticate(configuration: FleetConfiguration, authorization: string | undefined, nowMs: number): Result<ClientAccountId, RequestFailure> {
	const secret = bearerSecret(authorization);
	if (!secret) {
		return err(notRun('unauthenticated', 'Send your key as "Authorization: Bearer KEY".'));
	}

	const key = findValidKey(configuration.callerKeys, secret, nowMs);
	return key ? ok(key.clientAccount) : err(notRun('unauthenticated', 'The key is not valid.'));
}

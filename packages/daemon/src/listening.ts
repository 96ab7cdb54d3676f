/** Names the setting and the address when a daemon cannot listen. */

import type {ListenSettings} from '@rattanspring/settings';
import {type Failure, FailureError} from '@rattanspring/types';

/** An address that a daemon was told to listen on, and cannot. */
export type ListenFailure = Failure & {
	readonly type: 'addressInUse' | 'addressNotAvailable' | 'addressNotAllowed';
	/** Path of the setting, such as `roles.entry.listen`. */
	readonly key: string;
	/** The address, as `host:port`. */
	readonly address: string;
};

type Reason = {readonly code: string; readonly type: ListenFailure['type']; readonly sentence: string};

/** Failures by the code of the system's error, which gRPC only gives within its text. */
const reasons: readonly Reason[] = [
	{code: 'EADDRINUSE', type: 'addressInUse', sentence: 'another program listens there; end it, or choose another port'},
	{code: 'EADDRNOTAVAIL', type: 'addressNotAvailable', sentence: 'this VM has no such address'},
	{code: 'EACCES', type: 'addressNotAllowed', sentence: 'this user may not listen there; choose a port above 1023'},
];

/**
Starts to listen.

@throws FailureError with a `ListenFailure` where the address cannot be had; other errors as they are.
*/
export async function listening(key: string, listen: ListenSettings, start: () => Promise<void>): Promise<void> {
	try {
		await start();
	} catch (error) {
		throw listenFailure(key, listen, error) ?? error;
	}
}

function listenFailure(key: string, {host, port}: ListenSettings, error: unknown): FailureError<ListenFailure> | undefined {
	const text = String(error);
	const reason = reasons.find(({code}) => text.includes(code));
	if (!reason) {
		return undefined;
	}

	const address = `${host}:${port}`;
	return new FailureError({
		type: reason.type, key, address, message: `${key}: cannot listen on ${address}: ${reason.sentence}`,
	});
}

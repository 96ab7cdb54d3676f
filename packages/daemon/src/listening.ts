/** Converts failures to listen into errors that name the setting and the address. */

import type {ListenSettings} from '@rattanspring/settings';
import {type Failure, FailureError} from '@rattanspring/types';

/** The daemon cannot listen on a configured address. */
export type ListenFailure = Failure & {
	readonly type: 'addressInUse' | 'addressNotAvailable' | 'addressNotAllowed';
	/** Path of the setting, for example `roles.entry.listen`. */
	readonly key: string;
	/** The address, as `host:port`. */
	readonly address: string;
};

type SystemErrorMapping = {readonly code: string; readonly type: ListenFailure['type']; readonly explanation: string};

/** Failures by system error code. gRPC provides the code only within the error message, so it is searched for there. */
const systemErrorMappings: readonly SystemErrorMapping[] = [
	{code: 'EADDRINUSE', type: 'addressInUse', explanation: 'the port is in use by another process; stop that process or choose another port'},
	{code: 'EADDRNOTAVAIL', type: 'addressNotAvailable', explanation: 'no network interface of this VM has this address'},
	{code: 'EACCES', type: 'addressNotAllowed', explanation: 'permission denied; choose a port above 1023'},
];

/**
Starts to listen.

@throws FailureError with a `ListenFailure` if the address cannot be bound; any other error is rethrown unchanged.
*/
export async function startListening(key: string, listen: ListenSettings, start: () => Promise<void>): Promise<void> {
	try {
		await start();
	} catch (error) {
		throw toListenFailure(key, listen, error) ?? error;
	}
}

function toListenFailure(key: string, {host, port}: ListenSettings, error: unknown): FailureError<ListenFailure> | undefined {
	const text = String(error);
	const reason = systemErrorMappings.find(({code}) => text.includes(code));
	if (!reason) {
		return undefined;
	}

	const address = `${host}:${port}`;
	return new FailureError({
		type: reason.type, key, address, message: `${key}: cannot listen on ${address}: ${reason.explanation}`,
	});
}

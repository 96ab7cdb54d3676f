/** A request of a caller, authenticated and with its idempotency class and deadline. */

import type {ClientAccountId, IdempotencyClass} from '@rattanspring/types';

/** The properties of a request that the runners use. */
export type CallerRequest = {
	readonly clientAccount: ClientAccountId;
	readonly service: string;
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
	readonly idempotencyClass: IdempotencyClass;
	readonly idempotencyKey?: string;
	/** Deadline for the complete response, on the monotonic clock. */
	readonly deadlineMs: number;
};

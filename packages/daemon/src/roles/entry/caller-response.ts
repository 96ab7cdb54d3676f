/** Port to the caller's connection: a head, data with backpressure, and an explicit ending. */

import type {RequestFailure} from '@rattanspring/types';

/** Where an answer is written. */
export abstract class CallerResponse {
	/** Whether the head has been sent, after which a failure can only cut the connection. */
	abstract readonly isStarted: boolean;
	/** Whether the caller has left. */
	abstract readonly isClosed: boolean;
	/** Whether the caller can come back for the rest: it has the request id, and the answer is a stream of events. */
	abstract readonly isResumable: boolean;
	/** Sends status and headers. */
	abstract head(status: number, headers: Readonly<Record<string, string>>): void;
	/** Sends bytes; resolves when more may be sent. */
	abstract data(bytes: Uint8Array): Promise<void>;
	/** Ends a whole answer. */
	abstract end(): void;
	/** Ends with a problem, or cuts the connection if the head has been sent, so that the answer cannot pass for whole. */
	abstract fail(failure: RequestFailure): void;
}

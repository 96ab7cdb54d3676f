/** Port to the caller's connection: a head, data with backpressure, and an explicit end. */

import type {RequestFailure} from '@rattanspring/types';

/** Writes the response to one caller. */
export abstract class CallerResponse {
	/** Whether the head has been sent, after which a failure can only close the connection. */
	abstract readonly isStarted: boolean;
	/** Whether the caller has disconnected. */
	abstract readonly isClosed: boolean;
	/** Whether the caller can resume the response: it has the request id, and the response is a stream of events. */
	abstract readonly isResumable: boolean;
	/** Sends status and headers. */
	abstract head(status: number, headers: Readonly<Record<string, string>>): void;
	/** Sends bytes; resolves when more may be sent. */
	abstract data(bytes: Uint8Array): Promise<void>;
	/** Ends a complete response. */
	abstract end(): void;
	/** Ends with a problem, or closes the connection if the head has been sent, so that a truncated response cannot be taken for a complete one. */
	abstract fail(failure: RequestFailure): void;
}

/** Port for the response to a caller: a head, data with backpressure, and an explicit end. */

import type {RequestFailure} from '@rattanspring/types';

/** Writes the response to one caller. */
export abstract class CallerResponse {
	/** Whether the head has been sent. From then on a failure can only be signalled by closing the connection. */
	abstract readonly isStarted: boolean;
	/** Whether the caller has disconnected. */
	abstract readonly isClosed: boolean;
	/** Whether the caller can resume the response: it has received the request id, and the response is an event stream. */
	abstract readonly isResumable: boolean;
	/** Sends status and headers. */
	abstract head(status: number, headers: Readonly<Record<string, string>>): void;
	/** Sends bytes; resolves when the connection accepts more. */
	abstract data(bytes: Uint8Array): Promise<void>;
	/** Ends a complete response. */
	abstract end(): void;
	/** Sends a problem response. Closes the connection instead if the head has been sent, so that the caller cannot take a truncated response for a complete one. */
	abstract fail(failure: RequestFailure): void;
}

/** Interface for sending one request to one target. */

import type {Buffer} from 'node:buffer';

/** A request as it is sent. Header names and values alternate. */
export type TargetRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: readonly string[];
	readonly body?: Buffer;
};

/** Status and headers of a response. The names in `headers` are in lower case, those in `rawHeaders` as received. */
export type ResponseHead = {readonly status: number; readonly headers: ReadonlyMap<string, string>; readonly rawHeaders: ReadonlyArray<readonly [string, string]>};

/**
Why no complete response was received. `notSent` guarantees that not one byte of the request was sent; so does `unsendable`, which says that the request
itself can't be sent, to no target.
*/
export type ExchangeFailure = {readonly type: 'notSent' | 'unsendable' | 'broken'; readonly message: string};

/** Receives the response. Exactly one of `onEnd` and `onFailed` is called, unless the exchange is abandoned. */
export type ExchangeListener = {
	/** Called before the first byte is sent: from then on the target may have received the request. */
	readonly onSending: () => void;
	readonly onHead: (head: ResponseHead) => void;
	readonly onData: (chunk: Buffer) => void;
	/** The response is complete. `isFramed` is false if only the end of the connection marks its end, which can't be told from a truncated response. */
	readonly onEnd: (isFramed: boolean) => void;
	readonly onFailed: (failure: ExchangeFailure) => void;
};

/** One exchange in progress. */
export type Exchange = {
	/** Closes the connection. The listener is not called any more. */
	readonly abandon: () => void;
};

/** Options of one exchange. */
export type ExchangeOptions = {
	/** `host:port` */
	readonly address: string;
	/** Requires a new connection, which can't be closed by the target's idle timeout while the request is sent. */
	readonly needsFreshConnection: boolean;
	readonly request: TargetRequest;
	readonly listener: ExchangeListener;
};

/** Sends requests to targets. */
export abstract class TargetTransport {
	/** Sends a request. The listener is not called before this returns. */
	abstract send(options: ExchangeOptions): Exchange;
	/** Whether a kept connection to an address is idle. */
	abstract hasIdle(address: string): boolean;
	/** Closes idle connections. */
	abstract close(): void;
}

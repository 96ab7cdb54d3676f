/** Port for sending one request to one target. */

import type {Buffer} from 'node:buffer';

/** A request in the form in which it goes out. Header names and values alternate. */
export type TargetRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: readonly string[];
	readonly body?: Buffer;
};

/** The head of an answer, with header names in lower case. */
export type AnswerHead = {readonly status: number; readonly headers: ReadonlyMap<string, string>; readonly rawHeaders: ReadonlyArray<readonly [string, string]>};

/** Why no whole answer came. `notSent` promises that not one byte of the request went out. */
export type ExchangeFailure = {readonly type: 'notSent' | 'broken'; readonly message: string};

/** Takes what comes back. Exactly one of `onEnd` and `onFailed` is called, unless the exchange is abandoned. */
export type ExchangeListener = {
	/** From now on the target may have the request. */
	readonly onSending: () => void;
	readonly onHead: (head: AnswerHead) => void;
	readonly onData: (chunk: Buffer) => void;
	/** The answer is whole. `isFramed` is false if only the end of the connection says so, which a cut may look like. */
	readonly onEnd: (isFramed: boolean) => void;
	readonly onFailed: (failure: ExchangeFailure) => void;
};

/** One exchange in progress. */
export type Exchange = {
	/** Closes the connection; the listener hears nothing more. */
	readonly abandon: () => void;
};

/** Options of one exchange. */
export type ExchangeOptions = {
	/** `host:port` */
	readonly address: string;
	/** A fresh connection cannot be closed under the request by an idle timeout of the target. */
	readonly needsFreshConnection: boolean;
	readonly request: TargetRequest;
	readonly listener: ExchangeListener;
};

/** Sends requests to targets. */
export abstract class TargetExchange {
	abstract send(options: ExchangeOptions): Exchange;
	/** Closes connections that carry nothing. */
	abstract close(): void;
}

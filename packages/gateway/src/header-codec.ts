/** Interface for the headers that are exchanged with callers and targets. */

import type {IncomingHttpHeaders} from 'node:http';
import type {ResponseHead} from '@rattanspring/target-connection';

/** Data from the headers of a caller's request. */
export type RequestMetadata = {
	/** Identifies one attempt of a caller. */
	readonly requestId?: string;
	/** Time for which the caller will still wait. */
	readonly timeLeftMs?: number;
	/** Secret that identifies the client account. */
	readonly key?: string;
	/** Id of the last event of the stream that the caller received. */
	readonly lastEventId?: string;
	readonly promptTokens?: number;
	readonly maxAnswerTokens?: number;
	/** The caller's estimate, which is often far off. */
	readonly expectedAnswerTokens?: number;
	/** Ids of the parts of the prompt that other requests may have too: all but the last. */
	readonly sharedParts?: readonly string[];
};

/** Data that the entry adds to the caller's headers when it forwards a request. */
export type ForwardingMetadata = {
	/** The intended target; another target at the same address refuses the request. */
	readonly targetId: string;
	readonly timeLeftMs: number;
	readonly accountName?: string;
	readonly lastEventId?: string;
	/** 0 is the most urgent, 9 the least. */
	readonly urgency?: number;
};

/** Data from the head of a target's response. */
export type ResponseMetadata = {
	/** Targets repeat the id of the request that they answer. */
	readonly requestId?: string;
	/** Whether the target guarantees that it did not run the request and never will. */
	readonly isNotExecuted: boolean;
	/** Whether callers take the status for that guarantee, also if the target gives none. */
	readonly isTakenForNotExecuted?: boolean;
	/** Whether the response carries a target's signature. */
	readonly isSigned: boolean;
	/** Whether the target says that it is leaving, so that it wants no further requests. */
	readonly isLeaving: boolean;
	/** Requests a second that the target takes from all entries together, as long as it says so: a number, or a text that is none. */
	readonly limitPerSecond?: number | string;
	/** How much longer the target is cold: a number of milliseconds, or a text that is none; absent if it says nothing about it. */
	readonly coldLeft?: number | string;
	/** Time for which the target asks for no further requests from this entry: a number of milliseconds, or a text that is none. */
	readonly pause?: number | string;
};

/** Reads and writes headers. */
export abstract class HeaderCodec {
	abstract readRequest(headers: IncomingHttpHeaders): RequestMetadata;
	/** Returns the headers for the target, names and values alternating. */
	abstract targetHeaders(rawHeaders: readonly string[], metadata: ForwardingMetadata): string[];
	abstract readResponse(head: ResponseHead): ResponseMetadata;
	/** Returns the headers for the caller, names and values alternating, without hop-by-hop and framing headers. */
	abstract callerHeaders(head: ResponseHead): string[];
	/** Returns the headers of a refusal. */
	abstract refusalHeaders(retryAfterMs: number): Readonly<Record<string, string>>;
}

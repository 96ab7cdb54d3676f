/** Interface for the headers that are exchanged with callers and targets. */

import type {IncomingHttpHeaders} from 'node:http';
import type {AnswerHead} from '@rattanspring/target-connection';

/** Data from the headers of a caller's request. */
export type CallFacts = {
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
};

/** Data that the entry adds to the caller's headers when it forwards a request. */
export type TargetFacts = {
	/** The intended target; another target at the same address refuses the request. */
	readonly targetId: string;
	readonly timeLeftMs: number;
	readonly accountName?: string;
	readonly lastEventId?: string;
	/** 0 is the most urgent, 9 the least. */
	readonly urgency?: number;
};

/** Data from the head of a target's response. */
export type AnswerFacts = {
	readonly requestId?: string;
	/** Whether the target guarantees that it did not run the request and never will. */
	readonly isNotRun: boolean;
	/** Whether the response carries a target's signature. */
	readonly isSigned: boolean;
};

/** Reads and writes headers. */
export abstract class CallDialect {
	abstract readCall(headers: IncomingHttpHeaders): CallFacts;
	/** Returns the headers for the target, names and values alternating. */
	abstract targetHeaders(rawHeaders: readonly string[], facts: TargetFacts): string[];
	abstract readAnswer(head: AnswerHead): AnswerFacts;
	/** Returns the headers for the caller, names and values alternating, without hop-by-hop and framing headers. */
	abstract callerHeaders(head: AnswerHead): string[];
	/** Returns the headers of a refusal. */
	abstract refusalHeaders(retryAfterMs: number): Readonly<Record<string, string>>;
}

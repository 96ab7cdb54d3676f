/** Port for the headers that callers and targets speak. */

import type {IncomingHttpHeaders} from 'node:http';
import type {AnswerHead} from '@rattanspring/target-connection';

/** What a caller's headers say. */
export type CallFacts = {
	/** Names one try of a caller. */
	readonly requestId?: string;
	/** Time the caller will still wait. */
	readonly timeLeftMs?: number;
	/** Secret that names the client account. */
	readonly key?: string;
	/** The last event that the caller has of this stream. */
	readonly lastEventId?: string;
	readonly promptTokens?: number;
	readonly maxAnswerTokens?: number;
};

/** What the system tells a target beside the caller's own headers. */
export type TargetFacts = {
	/** The target that is meant; another one at its address refuses. */
	readonly targetId: string;
	readonly timeLeftMs: number;
	readonly accountName?: string;
	readonly lastEventId?: string;
	/** 0 is admitted first, 9 last. */
	readonly urgency?: number;
};

/** What the head of a target's answer says. */
export type AnswerFacts = {
	readonly requestId?: string;
	/** The target did not run the request and never will. */
	readonly isNotRun: boolean;
	/** Whether a target made the answer, as its signature shows. */
	readonly isSigned: boolean;
};

/** Reads and writes headers. */
export abstract class CallDialect {
	abstract readCall(headers: IncomingHttpHeaders): CallFacts;
	/** Headers for the target, names and values alternating. */
	abstract targetHeaders(rawHeaders: readonly string[], facts: TargetFacts): string[];
	abstract readAnswer(head: AnswerHead): AnswerFacts;
	/** Headers for the caller, names and values alternating, without those of one connection or of framing. */
	abstract callerHeaders(head: AnswerHead): string[];
	/** The headers of a refusal. */
	abstract refusalHeaders(retryAfterMs: number): Readonly<Record<string, string>>;
}

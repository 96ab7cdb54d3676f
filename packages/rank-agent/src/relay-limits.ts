/** Time limits of relayed requests, which allow for the copies of an attachment that an agent passes on. */

/** A link slower than this (one Mbit/s) counts as failed. */
export const slowestBytesPerMs = 125;

/** A running agent answers orders and state requests immediately. An agent that passes a request on has to answer somewhat later than those to which it does. */
const answerTimeoutMs = 110;
const relayMarginMs = 60;

/** Time limit of an agent for the answers of those to which it passes a request on. */
export function childTimeoutMs(children: number, attachmentBytes = 0): number {
	return answerTimeoutMs + (children * attachmentBytes / slowestBytesPerMs);
}

/** Time limit for the answer of an agent that passes a request on. */
export function relayTimeoutMs(children: number, attachmentBytes = 0): number {
	return relayMarginMs + childTimeoutMs(children, attachmentBytes);
}

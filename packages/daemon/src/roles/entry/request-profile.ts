/**
What routing needs to know of a request: the tokens it is expected to use, and its prompt.
*/

import {Buffer} from 'node:buffer';
import * as z from 'zod';

/** Bytes of a prompt taken as one token. */
const bytesPerToken = 4;

/** Prompt tokens that cost a target as much as one generated token. */
const promptTokensPerGeneratedToken = 4;

/** Tokens taken where a request names no limit. */
const defaultMaxTokens = 256;

/** Cost of a call to a plain service. */
const plainCostTokens = 1;

const chatSchema = z.object({
	messages: z.array(z.object({role: z.string(), content: z.string()})),
	max_tokens: z.number().positive().default(defaultMaxTokens), // eslint-disable-line @typescript-eslint/naming-convention -- the published name
});

/** A request as routing sees it. */
export type RequestProfile = {
	readonly promptTokens: number;
	/** Expected use of a target, in generated tokens. */
	readonly costTokens: number;
	/** The prompt, for its prefix; empty for a plain call. */
	readonly prompt: Uint8Array;
};

const profileCache = new WeakMap<Uint8Array, RequestProfile>();

/** Reads a request's body, once for each body. */
export function requestProfile(body: Uint8Array): RequestProfile {
	const known = profileCache.get(body) ?? parseProfile(body);
	profileCache.set(body, known);
	return known;
}

function parseProfile(body: Uint8Array): RequestProfile {
	const chat = chatSchema.safeParse(parseJson(body));
	if (!chat.success) {
		return {promptTokens: 0, costTokens: plainCostTokens, prompt: Buffer.alloc(0)};
	}

	const prompt = Buffer.from(chat.data.messages.map(({role, content}) => `${role}: ${content}`).join('\n'));
	const promptTokens = Math.ceil(prompt.length / bytesPerToken);
	return {promptTokens, costTokens: chat.data.max_tokens + (promptTokens / promptTokensPerGeneratedToken), prompt};
}

function parseJson(body: Uint8Array): unknown {
	try {
		return JSON.parse(Buffer.from(body).toString('utf8'));
	} catch {
		return undefined;
	}
}

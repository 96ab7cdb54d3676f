/**
Properties of a request that routing uses: its expected cost in tokens, and its prompt.
*/

import {Buffer} from 'node:buffer';
import * as z from 'zod';

/** Estimated bytes per prompt token. */
const bytesPerToken = 4;

/** Number of prompt tokens that cost a target as much as one generated token. */
const promptTokensPerGeneratedToken = 4;

/** Assumed number of generated tokens for a request without `max_tokens`. */
const defaultMaxTokens = 256;

/** Cost of a request to a plain service. */
const plainCostTokens = 1;

const chatSchema = z.object({
	messages: z.array(z.object({role: z.string(), content: z.string()})),
	max_tokens: z.number().positive().default(defaultMaxTokens), // eslint-disable-line @typescript-eslint/naming-convention -- name of the public API
});

/** Properties of a request that routing uses. */
export type RequestProfile = {
	readonly promptTokens: number;
	/** Expected cost, in generated tokens. */
	readonly costTokens: number;
	/** The prompt, whose prefix is used for cache-aware routing; empty for a request to a plain service. */
	readonly prompt: Uint8Array;
};

const profileCache = new WeakMap<Uint8Array, RequestProfile>();

/** Returns the profile of a request body. Each body is parsed only once. */
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

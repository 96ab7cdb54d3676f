/**
Index of the targets that probably have a prompt prefix in their cache. Prefixes are salted with the client account, so that
no account benefits from another account's prompts or can detect them. The index is only a hint: a late or missing event can make a
choice slower, but never incorrect.
*/

import {createHash} from 'node:crypto';
import type {ClientAccountId, TargetId} from '@rattanspring/types';

/** Number of bytes at the start of a prompt that form its prefix. */
const prefixBytes = 256;

/** Maximum number of digests per target. */
const defaultMaxDigests = 4096;

/** A change in a target's prefix cache. */
export type PrefixEvent = {readonly targetId: TargetId; readonly sequence: number; readonly kind: 'stored' | 'evicted'; readonly digest: string};

type TargetPrefixes = {lastSequence: number; readonly digests: Set<string>};

/** Returns the salt with which a client account's prefixes are cached. */
export function cacheSaltOf(clientAccount: ClientAccountId): string {
	return createHash('sha256').update(`cache-salt\n${clientAccount}`).digest('hex').slice(0, 16);
}

/** Returns the digest of a prompt's prefix for a client account. */
export function prefixDigestOf(clientAccount: ClientAccountId, prompt: Uint8Array): string {
	return createHash('sha256').update(`${cacheSaltOf(clientAccount)}\n`).update(prompt.subarray(0, prefixBytes)).digest('hex').slice(0, 16);
}

/** Prefix digests by target; the least recently used are evicted. */
export class PrefixIndex {
	readonly #targets = new Map<TargetId, TargetPrefixes>();
	readonly #maxDigests: number;

	constructor(options: {readonly maxDigests?: number} = {}) {
		this.#maxDigests = options.maxDigests ?? defaultMaxDigests;
	}

	/** Whether a target probably has a prefix in its cache. */
	has(targetId: TargetId, digest: string): boolean {
		return this.#targets.get(targetId)?.digests.has(digest) ?? false;
	}

	/** Records that a prompt was sent to a target, which caches its prefix from then on. */
	recordDispatch(targetId: TargetId, digest: string): void {
		this.#store(this.#prefixesOf(targetId), digest);
	}

	/** Applies an event; events older than the last one are ignored, and missing events are not waited for. */
	applyEvent(event: PrefixEvent): void {
		const target = this.#prefixesOf(event.targetId);
		if (event.sequence <= target.lastSequence) {
			return;
		}

		target.lastSequence = event.sequence;
		if (event.kind === 'stored') {
			this.#store(target, event.digest);
		} else {
			target.digests.delete(event.digest);
		}
	}

	/** Removes a target, for example after a restart. */
	forget(targetId: TargetId): void {
		this.#targets.delete(targetId);
	}

	#prefixesOf(targetId: TargetId): TargetPrefixes {
		let target = this.#targets.get(targetId);
		if (!target) {
			target = {lastSequence: -1, digests: new Set()};
			this.#targets.set(targetId, target);
		}

		return target;
	}

	#store({digests}: TargetPrefixes, digest: string): void {
		digests.delete(digest);
		digests.add(digest);
		if (digests.size > this.#maxDigests) {
			const [oldest] = digests;
			digests.delete(oldest);
		}
	}
}

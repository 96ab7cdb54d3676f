/**
Dispatches of this entry that are in progress, so that target choices account for them before the next load report.
*/

import type {TargetId} from '@rattanspring/types';

/** A dispatch in progress. */
export type Dispatch = {readonly targetId: TargetId; readonly tokens: number; readonly prefillTokens: number; readonly atMs: number};

/** Totals of the dispatches to one target. */
export type DispatchSum = {readonly requests: number; readonly tokens: number; readonly prefillTokens: number};

/** Dispatches in progress, by target. */
export class OwnDispatches {
	readonly #byTarget = new Map<TargetId, Set<Dispatch>>();

	/** Adds a dispatch; returns the function that ends it. */
	add(dispatch: Dispatch): () => void {
		const dispatches = this.#byTarget.get(dispatch.targetId) ?? new Set();
		this.#byTarget.set(dispatch.targetId, dispatches);
		dispatches.add(dispatch);
		return () => {
			dispatches.delete(dispatch);
			if (dispatches.size === 0) {
				this.#byTarget.delete(dispatch.targetId);
			}
		};
	}

	/** Totals of the dispatches to a target that are in progress and newer than `sinceMs`. */
	since(targetId: TargetId, sinceMs: number): DispatchSum {
		let requests = 0;
		let tokens = 0;
		let prefillTokens = 0;
		for (const dispatch of this.#byTarget.get(targetId) ?? []) {
			if (dispatch.atMs > sinceMs) {
				requests++;
				tokens += dispatch.tokens;
				prefillTokens += dispatch.prefillTokens;
			}
		}

		return {requests, tokens, prefillTokens};
	}
}

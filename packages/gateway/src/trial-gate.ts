/**
Decides whether a request may be sent, by the evidence that something in it crashes targets: requests without a suspected component may, one with a
suspected component at a time as a trial, and none with a convicted component.
*/

import type {CrashGuard} from '@rattanspring/crash-evidence';

/** `Retry-After` for requests that are refused because they crash targets. */
const convictedRetryAfterMs = 5000;

/** `Retry-After` while a component is suspected, and its random part: a trial takes about as long. */
const suspectedRetryAfterMs = 800;
const suspectedRetryJitterMs = 700;

/** Whether a request may be sent; `trialOf` is the component on trial, if it is one. */
export type GateDecision
	= | {readonly kind: 'passed'; readonly trialOf?: string}
		| {readonly kind: 'refused'; readonly reason: 'crashesTargets' | 'mayCrashTargets'; readonly components: readonly string[]; readonly retryAfterMs: number};

/** Options of a gate. */
export type TrialGateOptions = {
	readonly crashGuard: Pick<CrashGuard, 'judge'>;
	/** Asks whether a trial of a component may begin. */
	readonly requestTrial: (component: string) => Promise<boolean>;
	/** Random numbers in [0, 1). */
	readonly random: () => number;
};

/** The gate of one entry. */
export class TrialGate {
	readonly #options: TrialGateOptions;

	constructor(options: TrialGateOptions) {
		this.#options = options;
	}

	/** The decision, where no trial has to be asked for. */
	decideNow(components: readonly string[]): GateDecision | undefined {
		const judgement = this.#options.crashGuard.judge(components);
		switch (judgement.verdict) {
			case 'unsuspected': {
				return {kind: 'passed'};
			}

			case 'suspected': {
				return undefined;
			}

			case 'convicted': {
				return {
					kind: 'refused', reason: 'crashesTargets', components: judgement.components, retryAfterMs: convictedRetryAfterMs,
				};
			}
		}
	}

	/** Asks for a trial. Of several suspected components the last one is on trial: it is the most specific one. */
	async decide(components: readonly string[]): Promise<GateDecision> {
		const suspected = this.#options.crashGuard.judge(components).components;
		const trialOf = suspected.at(-1);
		const isGranted = trialOf !== undefined && await this.#options.requestTrial(trialOf);
		return this.decideNow(components) ?? (isGranted ? {kind: 'passed', trialOf} : this.#refusal(suspected));
	}

	#refusal(components: readonly string[]): GateDecision {
		return {
			kind: 'refused', reason: 'mayCrashTargets', components, retryAfterMs: suspectedRetryAfterMs + (suspectedRetryJitterMs * this.#options.random()),
		};
	}
}

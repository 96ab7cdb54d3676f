/**
Decides whether a request may be sent, by the evidence that something in it crashes targets: requests without a suspected component may, one with a
suspected component at a time as a trial, and one with a convicted component only if that is to be tried once more.
*/

import type {CrashGuard} from '@rattanspring/crash-evidence';

/** `Retry-After` for requests that are refused because they crash targets. */
const convictedRetryAfterMs = 5000;

/** `Retry-After` while a component is suspected, and its random part: a trial takes about as long. */
const suspectedRetryAfterMs = 800;
const suspectedRetryJitterMs = 700;

/** Why a request may not be sent, and when its caller may come back. */
export type GateRefusal = {
	readonly kind: 'refused';
	readonly reason: 'crashesTargets' | 'mayCrashTargets';
	/** The components that are convicted or suspected. */
	readonly components: readonly string[];
	readonly retryAfterMs: number;
};

/** Whether a request may be sent; `trialOf` is the component on trial, if it is one. */
export type GateDecision = GateRefusal | {readonly kind: 'passed'; readonly trialOf?: string};

/** Options of a gate. */
export type TrialGateOptions = {
	readonly crashGuard: Pick<CrashGuard, 'judge' | 'trialOf'>;
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

	/** Why the request may not be sent unless as a trial; undefined if it may. */
	refusalOf(components: readonly string[]): GateRefusal | undefined {
		const judgement = this.#options.crashGuard.judge(components);
		switch (judgement.verdict) {
			case 'unsuspected': {
				return undefined;
			}

			case 'suspected': {
				return {
					kind: 'refused', reason: 'mayCrashTargets', components: judgement.components, retryAfterMs: suspectedRetryAfterMs + (suspectedRetryJitterMs * this.#options.random()),
				};
			}

			case 'convicted': {
				return {
					kind: 'refused', reason: 'crashesTargets', components: judgement.components, retryAfterMs: convictedRetryAfterMs,
				};
			}
		}
	}

	/** The decision, where no trial has to be asked for. */
	decideNow(components: readonly string[]): GateDecision | undefined {
		const refusal = this.refusalOf(components);
		if (refusal === undefined) {
			return {kind: 'passed'};
		}

		return this.#options.crashGuard.trialOf(components) ? undefined : refusal;
	}

	/** Asks for a trial. It takes place only if nothing was learned meanwhile that speaks for another one, or for none. */
	async decide(components: readonly string[]): Promise<GateDecision> {
		const trial = this.#options.crashGuard.trialOf(components);
		const isGranted = trial !== undefined && await this.#options.requestTrial(trial.grantOf);
		const refusal = this.refusalOf(components);
		if (refusal === undefined) {
			return {kind: 'passed'};
		}

		const isStillDue = isGranted && this.#options.crashGuard.trialOf(components)?.trialOf === trial.trialOf;
		return isStillDue ? {kind: 'passed', trialOf: trial.trialOf} : refusal;
	}
}

/**
What one entry knows of the components that crash targets. It accuses the components of the requests that were running on a crashed target,
unless it has seen complete answers to others with them, and refutes what other entries accuse in the same way.
*/

import {
	type ComponentEvidence, crashIdOf, openCrashes, type Verdict,
} from './component-evidence.js';
import {CrashEvidence} from './crash-evidence.js';
import {SoundComponents} from './sound-components.js';

/** A request whose target has written its answer for longer than this is not the cause of the target's crash: crashes come when an answer begins. */
const innocentAfterMs = 1000;

/** A request that was running on a target when it crashed. */
export type CrashedRequest = {
	readonly components: readonly string[];
	/** How long before the crash the target had begun its answer; undefined if it had not. */
	readonly answerBegunMs?: number;
	/** The component on trial, if the request was one. */
	readonly trialOf?: string;
};

/** Whether a request may be the cause of a crash of its target. */
export function mayHaveCausedCrash({answerBegunMs = 0}: Pick<CrashedRequest, 'answerBegunMs'>): boolean {
	return answerBegunMs <= innocentAfterMs;
}

/** The verdict about a request: the most serious one about its components, and the components that it applies to. */
export type Judgement = {readonly verdict: Verdict; readonly components: readonly string[]};

/** Options of a guard. */
export type CrashGuardOptions = {
	/** Called with evidence that the other entries need. */
	readonly onNewEvidence: (records: readonly ComponentEvidence[]) => void;
	/** Called when the verdict about a component has changed. */
	readonly onVerdict: (evidence: ComponentEvidence, verdict: Verdict) => void;
};

/** The knowledge of one entry. */
export class CrashGuard {
	readonly #options: CrashGuardOptions;
	readonly #evidence = new CrashEvidence();
	readonly #sound = new SoundComponents();

	constructor(options: CrashGuardOptions) {
		this.#options = options;
	}

	/** Evidence about suspected and convicted components. */
	get openCases(): ComponentEvidence[] {
		return this.#evidence.withVerdict('suspected', 'convicted');
	}

	/** Judges a request by its components. */
	judge(components: readonly string[]): Judgement {
		for (const verdict of ['convicted', 'suspected'] as const) {
			const found = components.filter(component => this.#evidence.verdictOf(component) === verdict);
			if (found.length > 0) {
				return {verdict, components: found};
			}
		}

		return {verdict: 'unsuspected', components: []};
	}

	/** Whether a crash speaks against one of the components. One is too little to suspect it, but enough not to repeat a request with it. */
	isAccused(components: readonly string[]): boolean {
		return components.some(component => this.#evidence.openCrashCount(component) > 0);
	}

	/** Records a crash of a target on which these requests of this entry were running. */
	recordCrash(target: {readonly targetId: string; readonly bornMs: number}, requests: readonly CrashedRequest[]): void {
		const crashId = crashIdOf(target);
		const trials = new Set(requests.map(({trialOf}) => trialOf));
		const accused = new Set(requests.filter(request => mayHaveCausedCrash(request)).flatMap(({components}) => components));
		const records = [...accused].filter(component => trials.has(component) || !this.#sound.refutesCrash(component)).map(component => ({
			component, crashes: [crashId], trialCrashes: trials.has(component) ? [crashId] : [], refuted: [],
		}));
		this.#share(this.#merge(records));
	}

	/** Records that a request got its complete answer. */
	recordAnswer(components: readonly string[]): void {
		for (const component of components) {
			this.#sound.add(component);
			const before = this.#evidence.verdictOf(component);
			const refutation = this.#evidence.refute(component);
			this.#reportVerdicts(refutation, new Map([[component, before]]));
			this.#share(refutation);
		}
	}

	/** Adds evidence of other entries. */
	receive(records: readonly ComponentEvidence[]): void {
		const refuted = this.#merge(records).filter(evidence => openCrashes(evidence).length > 0 && this.#sound.refutesCrash(evidence.component));
		this.#share(this.#merge(refuted.map(evidence => ({...evidence, refuted: evidence.crashes}))));
	}

	#merge(records: readonly ComponentEvidence[]): ComponentEvidence[] {
		const before = new Map(records.map(({component}) => [component, this.#evidence.verdictOf(component)]));
		const changed = this.#evidence.merge(records);
		this.#reportVerdicts(changed, before);
		return changed;
	}

	#reportVerdicts(changed: readonly ComponentEvidence[], before: ReadonlyMap<string, Verdict>): void {
		for (const evidence of changed) {
			const verdict = this.#evidence.verdictOf(evidence.component);
			if (verdict !== before.get(evidence.component)) {
				this.#options.onVerdict(evidence, verdict);
			}
		}
	}

	#share(records: readonly ComponentEvidence[]): void {
		if (records.length > 0) {
			this.#options.onNewEvidence(records);
		}
	}
}

/**
What one entry knows of the components that crash targets. It accuses the components of the requests that were running on a crashed target,
unless it has seen complete answers to others with them, and refutes what other entries accuse in the same way.
*/

import {
	type ComponentEvidence, crashIdOf, openCrashes, trialTextOf, type Verdict,
} from './component-evidence.js';
import {CrashEvidence} from './crash-evidence.js';
import {SoundComponents} from './sound-components.js';

/** A request whose target has written its answer for longer than this is not the cause of the target's crash: crashes come when an answer begins. */
const innocentAfterMs = 1000;

/** Pauses before a convicted component is tried again, after its first and its second crash in a trial. */
const retrialPausesMs = [15_000, 60_000] as const;

/** Crashes in trials after which neither a convicted component nor a request that is accused itself is tried again. */
const maxTrialCrashes = 3;

/** So many different requests whose trials ended in crashes convict the last part that they share, though each is accused itself. */
const minConvictingRequests = 3;

/** A request that was running on a target when it crashed. */
export type CrashedRequest = {
	/** The whole request first, then the shared parts of its prompt in their order. */
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

/** A trial that may be asked for. */
export type Trial = {
	/** The component that a crash would convict. */
	readonly trialOf: string;
	/** The component whose requests go one at a time: the one that most requests share. */
	readonly grantOf: string;
};

/** Options of a guard. */
export type CrashGuardOptions = {
	/** Called with evidence that the other entries need. */
	readonly onNewEvidence: (records: readonly ComponentEvidence[]) => void;
	/** Called when the verdict about a component has changed. */
	readonly onVerdict: (evidence: ComponentEvidence, verdict: Verdict) => void;
	readonly nowMs: () => number;
};

/** The knowledge of one entry. */
export class CrashGuard {
	readonly #options: CrashGuardOptions;
	readonly #evidence = new CrashEvidence();
	readonly #sound = new SoundComponents();
	/** When this entry learned the last of the evidence against each convicted component. */
	readonly #convictedAtMs = new Map<string, number>();

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
		return components.some(component => this.#evidence.open(component).crashes.length > 0);
	}

	/**
	The trial as which the request may be sent, if it is granted; undefined if it may not. A request that is accused itself is on trial itself: its crash
	says nothing of the parts that it shares with others.
	*/
	trialOf(components: readonly string[]): Trial | undefined {
		const [request, ...parts] = components;
		const openParts = parts.filter(part => this.#evidence.verdictOf(part) !== 'unsuspected');
		const isRequestAccused = this.#evidence.open(request).crashes.length > 0;
		const open = isRequestAccused ? [request, ...openParts] : openParts;
		if (open.length === 0 || open.some(component => this.#isTriedEnough(component, isRequestAccused) || this.#isInRetrialPause(component))) {
			return undefined;
		}

		return {trialOf: isRequestAccused ? request : openParts.at(-1)!, grantOf: openParts[0] ?? request};
	}

	/** Records a crash of a target on which these requests of this entry were running. */
	recordCrash(target: {readonly targetId: string; readonly bornMs: number}, requests: readonly CrashedRequest[]): void {
		const crashId = crashIdOf(target);
		const trials = new Set(requests.map(({trialOf}) => trialOf));
		const accused = new Set(requests.filter(request => mayHaveCausedCrash(request)).flatMap(({components}) => components));
		const records = [...accused].filter(component => trials.has(component) || !this.#sound.refutesCrash(component)).map(component => ({
			component, crashes: [crashId], trialCrashes: trials.has(component) ? [crashId] : [], refuted: [],
		}));
		const failedTrials = requests.filter(request => request.trialOf !== undefined && mayHaveCausedCrash(request)).flatMap(({components}) => this.#failedTrial(components, crashId));
		this.#share(this.#merge([...records, ...failedTrials]));
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

	/** Evidence of a failed trial, about all that was accused in the request. It convicts the last part if that many different requests with it were tried. */
	#failedTrial([request, ...parts]: readonly string[], crashId: string): ComponentEvidence[] {
		const openParts = parts.filter(part => this.#evidence.verdictOf(part) !== 'unsuspected');
		const requests = new Set(this.#evidence.open(openParts.at(-1) ?? request).trials.map(trial => trial.request)).add(request);
		const convicted = requests.size >= minConvictingRequests ? openParts.at(-1) : undefined;
		return [request, ...openParts].map(component => ({
			component, crashes: [crashId], trialCrashes: component === convicted ? [crashId] : [], refuted: [], trials: [trialTextOf({request, crashId})],
		}));
	}

	#isTriedEnough(component: string, isRequestAccused: boolean): boolean {
		const {trialCrashes, trials} = this.#evidence.open(component);
		const isConcerned = isRequestAccused || this.#evidence.verdictOf(component) === 'convicted';
		return isConcerned && new Set([...trialCrashes, ...trials.map(({crashId}) => crashId)]).size >= maxTrialCrashes;
	}

	/** Without recorded trials an earlier build has convicted the component, perhaps for what one request did: it is tried at once. */
	#isInRetrialPause(component: string): boolean {
		const convictedAtMs = this.#convictedAtMs.get(component);
		const {trialCrashes, trials} = this.#evidence.open(component);
		if (convictedAtMs === undefined || trials.length === 0) {
			return false;
		}

		return this.#options.nowMs() < convictedAtMs + (retrialPausesMs[trialCrashes.length - 1] ?? 0);
	}

	#reportVerdicts(changed: readonly ComponentEvidence[], before: ReadonlyMap<string, Verdict>): void {
		for (const evidence of changed) {
			const verdict = this.#evidence.verdictOf(evidence.component);
			if (verdict === 'convicted') {
				this.#convictedAtMs.set(evidence.component, this.#options.nowMs());
			} else {
				this.#convictedAtMs.delete(evidence.component);
			}

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

/**
The evidence about one component of requests, and what follows from it. Evidence grows up to a number of crashes, so that merging that of several
daemons gives the same result in any order; beyond it, refuted crashes are left out first.
*/

/** Crashes of targets on which a request with a component was running. A crash is identified by the lifetime of its target. */
export type ComponentEvidence = {
	/** The whole of a request, or a part of its prompt. */
	readonly component: string;
	readonly crashes: readonly string[];
	/** Those of the crashes that happened while the component was on trial. */
	readonly trialCrashes: readonly string[];
	/** Those of the crashes that a later complete answer to a request with the component has refuted. */
	readonly refuted: readonly string[];
	/** Trials of requests with the component that ended in a crash, whatever in them was on trial. Earlier builds don't record them. */
	readonly trials?: readonly string[];
};

/** A request on trial, by its first component, and the crash in which its trial ended. */
export type FailedTrial = {readonly request: string; readonly crashId: string};

/** What follows from the evidence about a component. Suspected: its requests go one at a time, as trials. Convicted: they are refused. */
export type Verdict = 'unsuspected' | 'suspected' | 'convicted';

/** A component is suspected after this many crashes. One alone says little, as many requests run on a target that crashes. */
const minSuspectCrashes = 2;

/** Crashes recorded by component. */
const maxCrashes = 16;

/** The lifetime of a target, as an identifier of its crash. */
export function crashIdOf({targetId, bornMs}: {readonly targetId: string; readonly bornMs: number}): string {
	return `${targetId} ${bornMs}`;
}

/** Crashes that no complete answer has refuted. */
export function openCrashes({crashes, refuted}: ComponentEvidence): string[] {
	return crashes.filter(crash => !refuted.includes(crash));
}

/** A failed trial as it is recorded. */
export function trialTextOf({request, crashId}: FailedTrial): string {
	return `${request} ${crashId}`;
}

function failedTrialOf(text: string): FailedTrial {
	const [request] = text.split(' ', 1);
	return {request, crashId: text.slice(request.length + 1)};
}

/** What no complete answer has refuted. */
export type OpenEvidence = {readonly crashes: readonly string[]; readonly trialCrashes: readonly string[]; readonly trials: readonly FailedTrial[]};

/** The part of the evidence that no complete answer has refuted. */
export function openEvidence(evidence: ComponentEvidence): OpenEvidence {
	const open = new Set(openCrashes(evidence));
	const trials = (evidence.trials ?? []).map(text => failedTrialOf(text));
	return {crashes: [...open], trialCrashes: evidence.trialCrashes.filter(crash => open.has(crash)), trials: trials.filter(({crashId}) => open.has(crashId))};
}

/** Draws the conclusion from the evidence. */
export function verdictOf(evidence: ComponentEvidence): Verdict {
	const open = openCrashes(evidence);
	if (open.length < minSuspectCrashes) {
		return 'unsuspected';
	}

	return evidence.trialCrashes.some(crash => open.includes(crash)) ? 'convicted' : 'suspected';
}

/** Combines evidence about the same component; returns `known` itself if nothing is new. */
export function mergeEvidence(known: ComponentEvidence, added: ComponentEvidence): ComponentEvidence {
	const merged = limitCrashes({
		component: known.component,
		crashes: union(known.crashes, added.crashes),
		trialCrashes: union(known.trialCrashes, added.trialCrashes),
		refuted: union(known.refuted, added.refuted),
		trials: union(known.trials ?? [], added.trials ?? []),
	});
	return isSameEvidence(known, merged) ? known : merged;
}

/** Leaves out what exceeds the number of crashes: refuted ones first, then those that were no trials; among equals the same ones at all daemons. */
function limitCrashes({trials = [], ...all}: ComponentEvidence): ComponentEvidence {
	const refuted = new Set(all.refuted);
	const tried = new Set([...all.trialCrashes, ...trials.map(text => failedTrialOf(text).crashId)]);
	const importanceOf = (crash: string) => (refuted.has(crash) ? 0 : 2) + (tried.has(crash) ? 1 : 0);
	const kept = new Set(all.crashes.toSorted((left, right) => importanceOf(right) - importanceOf(left) || (left < right ? -1 : 1)).slice(0, maxCrashes));
	const ofKept = (crashes: readonly string[]) => crashes.filter(crash => kept.has(crash));
	const keptTrials = trials.filter(text => kept.has(failedTrialOf(text).crashId));
	return {
		component: all.component, crashes: ofKept(all.crashes), trialCrashes: ofKept(all.trialCrashes), refuted: ofKept(all.refuted), ...(keptTrials.length > 0 && {trials: keptTrials}),
	};
}

function isSameEvidence(left: ComponentEvidence, right: ComponentEvidence): boolean {
	const listsOf = ({crashes, trialCrashes, refuted, trials = []}: ComponentEvidence) => [crashes, trialCrashes, refuted, trials].map(list => new Set(list));
	const others = listsOf(right);
	return listsOf(left).every((list, index) => list.size === others[index].size && [...list].every(item => others[index].has(item)));
}

/** Throws if the value, which another daemon has sent, is not a list of evidence. */
export function readEvidenceRecords(value: unknown): ComponentEvidence[] {
	const records: unknown[] = Array.isArray(value) ? value : [undefined];
	if (!records.every(record => isEvidence(record))) {
		throw new TypeError('The message has no list of evidence.');
	}

	return records;
}

function isEvidence(value: unknown): value is ComponentEvidence {
	const record = value as Partial<ComponentEvidence> | undefined;
	return typeof record?.component === 'string' && [record.crashes, record.trialCrashes, record.refuted, record.trials ?? []].every(list => isListOfTexts(list));
}

function isListOfTexts(value: unknown): boolean {
	return Array.isArray(value) && value.every(item => typeof item === 'string');
}

function union(left: readonly string[], right: readonly string[]): string[] {
	return [...new Set([...left, ...right])];
}

/** The evidence about all components that one daemon knows, bounded in number. */

import {
	type ComponentEvidence, mergeEvidence, openCrashes, openEvidence, type OpenEvidence, type Verdict, verdictOf,
} from './component-evidence.js';

/** Maximum number of components. Of those with the least serious verdict, the one that changed longest ago is removed first. */
const defaultMaxComponents = 2000;

const removalOrder: readonly Verdict[] = ['unsuspected', 'suspected', 'convicted'];

/** Evidence by component. */
export class CrashEvidence {
	readonly #maxComponents: number;
	readonly #records: Readonly<Record<Verdict, Map<string, ComponentEvidence>>> = {unsuspected: new Map(), suspected: new Map(), convicted: new Map()};

	constructor({maxComponents = defaultMaxComponents}: {readonly maxComponents?: number} = {}) {
		this.#maxComponents = maxComponents;
	}

	/** Number of components. */
	get size(): number {
		return removalOrder.reduce((sum, verdict) => sum + this.#records[verdict].size, 0);
	}

	verdictOf(component: string): Verdict {
		return removalOrder.find(verdict => this.#records[verdict].has(component)) ?? 'unsuspected';
	}

	/** What no complete answer has refuted of the evidence about the component. */
	open(component: string): OpenEvidence {
		const known = this.#find(component);
		return known ? openEvidence(known) : {crashes: [], trialCrashes: [], trials: []};
	}

	/** Adds evidence, and returns all that is known of the components about which some of it is new. */
	merge(records: readonly ComponentEvidence[]): ComponentEvidence[] {
		return records.flatMap(record => this.#mergeOne(record) ?? []);
	}

	/** Records that a complete answer speaks against all crashes so far; returns the evidence if that is new. */
	refute(component: string): ComponentEvidence[] {
		const known = this.#find(component);
		return known && openCrashes(known).length > 0 ? this.merge([{...known, refuted: known.crashes}]) : [];
	}

	/** Evidence about the components with one of the verdicts. */
	withVerdict(...verdicts: readonly Verdict[]): ComponentEvidence[] {
		return verdicts.flatMap(verdict => [...this.#records[verdict].values()]);
	}

	#find(component: string): ComponentEvidence | undefined {
		return this.#records[this.verdictOf(component)].get(component);
	}

	#mergeOne(added: ComponentEvidence): ComponentEvidence | undefined {
		const {component} = added;
		const known = this.#find(component) ?? {
			component, crashes: [], trialCrashes: [], refuted: [],
		};
		const merged = mergeEvidence(known, added);
		if (merged === known) {
			return undefined;
		}

		this.#records[verdictOf(known)].delete(component);
		this.#records[verdictOf(merged)].set(component, merged);
		this.#removeSuperfluous();
		return merged;
	}

	#removeSuperfluous(): void {
		if (this.size > this.#maxComponents) {
			const records = removalOrder.map(verdict => this.#records[verdict]).find(({size}) => size > 0)!;
			records.delete(records.keys().next().value!);
		}
	}
}

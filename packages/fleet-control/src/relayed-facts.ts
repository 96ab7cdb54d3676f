/**
What entries learn from the answers of targets and all of them need: who leaves, which limits are named, what crashes targets, which targets fail. A control process keeps it,
passes on what is new, and gives all of it to daemons that come later.
*/

import {type ComponentEvidence, CrashEvidence, openCrashes} from '@rattanspring/crash-evidence';
import type {
	DownMessage, LimitsMessage, NodeRole, Receivers,
} from '@rattanspring/fleet-link';
import type {Logger} from '@rattanspring/logger';
import {type Accusation, AccusationBook} from '@rattanspring/outlier-ejection';
import {ColdTargets, LimitTable} from '@rattanspring/target-limits';
import type {TargetLifetime, TargetTable} from '@rattanspring/target-table';
import type {EvidenceStore} from './evidence-store.js';

/** Components on the disk that are not convicted, since all are written again with each change. */
const maxStoredOpen = 500;

/** Options of the facts. */
export type RelayedFactsOptions = {
	readonly targets: TargetTable;
	/** Where evidence about what crashes targets outlasts a loss of power; absent without a disk. */
	readonly evidenceStore?: EvidenceStore;
	readonly nowMs: () => number;
	readonly broadcast: (message: DownMessage, receivers: Receivers) => void;
	readonly logger: Logger;
};

/** The facts that one control process knows. */
export class RelayedFacts {
	readonly #options: RelayedFactsOptions;
	readonly #limits = new LimitTable();
	readonly #coldTargets = new ColdTargets();
	readonly #accusations = new AccusationBook();
	readonly #crashEvidence = new CrashEvidence();

	constructor(options: RelayedFactsOptions) {
		this.#options = options;
	}

	/** Reads what is kept on the disk. */
	async load(): Promise<void> {
		this.#crashEvidence.merge(await this.#options.evidenceStore?.load() ?? []);
	}

	/** Records which targets are leaving. */
	recordLeaving(targets: readonly TargetLifetime[], receivers: readonly NodeRole[]): void {
		const nowMs = this.#options.nowMs();
		const added = targets.filter(target => this.#options.targets.markLeaving(target, nowMs));
		if (added.length > 0) {
			this.#options.logger.log('info', 'targetsLeaving', {targetIds: added.map(({targetId}) => targetId).join(','), source: 'answer'});
			this.#options.broadcast({type: 'leaving', targets: added}, {roles: receivers});
		}
	}

	/** Records which limits targets name, and how much longer they are cold. */
	recordLimits({limits, cold = []}: LimitsMessage, receivers: readonly NodeRole[]): void {
		const nowMs = this.#options.nowMs();
		const changed = limits.filter(limit => this.#limits.set(limit));
		const changedCold = cold.filter(word => this.#coldTargets.record(word, {leftMs: word.coldLeftMs, source: 'relayed'}, nowMs));
		if (changed.length > 0 || changedCold.length > 0) {
			this.#options.broadcast({type: 'limits', limits: changed, ...(changedCold.length > 0 && {cold: changedCold})}, {roles: receivers});
		}
	}

	/** Records which targets entries accuse. Grows with their number: one message a new accusation and follower, and the accusations of an entry are bounded by the second. */
	recordAccusations(accusations: readonly Accusation[], receivers: readonly NodeRole[]): void {
		const nowMs = this.#options.nowMs();
		const added = accusations.filter(accusation => this.#accusations.add(accusation, nowMs));
		if (added.length > 0) {
			this.#options.broadcast({type: 'accusations', accusations: added}, {roles: receivers});
		}
	}

	/** Records evidence about what crashes targets. */
	recordEvidence(records: readonly ComponentEvidence[], receivers: readonly NodeRole[]): void {
		const changed = this.#crashEvidence.merge(records);
		if (changed.length === 0) {
			return;
		}

		this.#options.broadcast({type: 'evidence', records: changed}, {roles: receivers});
		void this.#options.evidenceStore?.save(this.#storedEvidence);
	}

	/** Ends the waits of what is kept on the disk. */
	close(): void {
		this.#options.evidenceStore?.close();
	}

	/** All convictions, and the newest of what no answer has refuted: a request that has crashed two targets must not begin anew with none. */
	get #storedEvidence(): ComponentEvidence[] {
		const open = this.#crashEvidence.withVerdict('unsuspected', 'suspected').filter(evidence => openCrashes(evidence).length > 0);
		return [...open.slice(-maxStoredOpen), ...this.#crashEvidence.withVerdict('convicted')];
	}

	/** Messages with all facts, for an entry or a control process that has just connected. */
	get messages(): DownMessage[] {
		const {targets} = this.#options;
		const leaving = targets.leaving();
		const limits = this.#limits.all.filter(({targetId, bornMs}) => targets.get(targetId)?.bornMs === bornMs);
		const cold = this.#coldTargets.words(this.#options.nowMs());
		const accusations = this.#accusations.messages(this.#options.nowMs()).filter(({targetId, bornMs}) => targets.get(targetId)?.bornMs === bornMs);
		const records = this.#crashEvidence.withVerdict('unsuspected', 'suspected', 'convicted');
		return [
			...(leaving.length > 0 ? [{type: 'leaving', targets: leaving} as const] : []),
			...(limits.length + cold.length > 0 ? [{type: 'limits', limits, cold} as const] : []),
			...(accusations.length > 0 ? [{type: 'accusations', accusations} as const] : []),
			...(records.length > 0 ? [{type: 'evidence', records} as const] : []),
		];
	}
}

/** What the newest load figures of the ranks say of each group. */

import type {GroupFigures, PassTime} from './pass-limit.js';
import {maxLoadAgeMs, type TargetRecord} from './target-record.js';

/** Figures of the groups of a service, from ranks that have reported recently. */
export function groupFigures(records: Iterable<TargetRecord>, service: string, nowMs: number): GroupFigures[] {
	const groups = new Map<string, {group: string; epoch: number; active: number; ranks: number; pace: number; skew?: number; passTimes: PassTime[]}>();
	for (const {load, loadAtMs, report} of records) {
		const ageMs = nowMs - loadAtMs;
		if (report.service !== service || !load?.rankPlace || ageMs >= maxLoadAgeMs) {
			continue;
		}

		const {group, epoch} = load.rankPlace;
		let figures = groups.get(group);
		if (!figures || figures.epoch < epoch) {
			figures = {
				group, epoch, active: 0, ranks: 0, pace: 1, passTimes: [],
			};
			groups.set(group, figures);
		}

		if (figures.epoch === epoch) {
			figures.active += load.active;
			figures.ranks++;
			figures.pace = Math.max(figures.pace, load.pace);
			figures.skew = load.skew ?? figures.skew;
			if (load.passMs !== undefined) {
				figures.passTimes.push({passMs: load.passMs, ageMs});
			}
		}
	}

	return [...groups.values()].map(({active, ranks, ...figures}) => ({...figures, activePerRank: active / ranks}));
}

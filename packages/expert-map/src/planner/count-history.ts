/**
Estimates the tokens per step of each expert from the ranks' reports, some of which are late or missing.
*/

import type {ExpertMap} from '../expert-map.js';

/** Tokens of one expert at one rank within a window. */
export type ExpertCount = {readonly expert: number; readonly tokens: number};

/** Token counts of one rank in one window of steps. */
export type RankReport = {
	readonly rank: number;
	/** Number of the window; a window covers the same number of steps at every rank. */
	readonly window: number;
	readonly steps: number;
	/** For each layer, the counts of the replicas on this rank. */
	readonly layers: ReadonlyArray<readonly ExpertCount[]>;
};

/** Tokens per step, one array over experts for each layer. */
export type LayerLoads = readonly Float64Array[];

/**
Estimates the loads of a window. If some replicas of an expert were not reported, the reported ones are scaled up by their
shares in the active map; if none was, the previous estimate is kept.
*/
export function estimateLoads(reports: readonly RankReport[], map: ExpertMap, previous: LayerLoads): LayerLoads {
	const latest = new Map(reports.map(report => [report.rank, report]));
	return map.layers.map((layerMap, layer) => {
		const tokens = new Float64Array(previous[layer].length);
		const reportedShare = new Float64Array(previous[layer].length);
		for (const {expert, rank, share} of layerMap.replicas) {
			reportedShare[expert] += latest.has(rank) ? share : 0;
		}

		for (const report of latest.values()) {
			for (const count of report.layers[layer]) {
				tokens[count.expert] += count.tokens / report.steps;
			}
		}

		return tokens.map((value, expert) => reportedShare[expert] > minReportedShare ? value / reportedShare[expert] : previous[layer][expert]);
	});
}

/** Scaling up from less than this share of an expert's tokens would mostly amplify noise. */
const minReportedShare = 0.2;

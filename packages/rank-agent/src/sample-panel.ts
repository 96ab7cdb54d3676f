/**
Chooses the ranks whose counts are sampled. Requests spread over all ranks alike, so that in a large group a part of the ranks shows the demand;
counts of all of them would take longer over the coordinator's link than the demand lasts.
*/

/** Bytes of one sample that the link of a VM carries beside everything else. */
const maxSampleBytes = 40_960;

/** Approximate bytes of one count: most differences between samples are small. */
const bytesPerCount = 1.3;

/** Fewest ranks whose requests show the demand. */
const minRanks = 16;

/** Ranks to sample, evenly spread, of a group with the given number of ranks and counts for each of them. `turn` selects other ones if some do not answer. */
export function samplePanel(rankCount: number, countsPerRank: number, turn: number): number[] {
	const affordable = Math.floor(maxSampleBytes / Math.max(1, countsPerRank * bytesPerCount));
	const size = Math.min(rankCount, Math.max(minRanks, affordable));
	return Array.from({length: size}, (_, index) => (Math.floor(index * rankCount / size) + turn) % rankCount);
}

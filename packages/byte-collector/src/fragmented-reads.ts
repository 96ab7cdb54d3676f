/** Whether bodies have come lately in pieces that cost much more than their bytes. */

/** Time for which one such body counts. */
const recentMs = 5000;

/** Such bodies at all servers of the process. */
export const fragmentedReads = {
	lastAtMs: Number.NEGATIVE_INFINITY,
	/** Notes one. */
	note(): void {
		this.lastAtMs = performance.now();
	},
	get areRecent(): boolean {
		return performance.now() - this.lastAtMs < recentMs;
	},
};

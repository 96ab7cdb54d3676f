/**
Selects the stream from which a daemon takes load figures and heartbeats of the targets. Every control process passes on those of all
targets, so that one stream is enough; if it brings nothing for a short time, another one takes its place.
*/

/** A stream is silent after this many times the mean gap between its messages, within bounds: heartbeats come once a second, load figures much more often. */
const silentGaps = 8;
const minSilenceMs = 400;
const maxSilenceMs = 2000;

/** Weight of the newest gap in the mean. */
const newestGapWeight = 0.1;

/** A stream that may become the primary one, in the order of preference. */
export type PrimaryCandidate = {readonly linkAddress: string; readonly isConnected: boolean};

/** The choice of one daemon. */
export class PrimaryLink {
	#address: string | undefined;
	#heardAtMs = Number.NEGATIVE_INFINITY;
	#hasHeard = false;
	#meanGapMs = maxSilenceMs;

	/** Address of the primary stream, if any. */
	get address(): string | undefined {
		return this.#address;
	}

	/** Records that figures have arrived on a stream. */
	heard(linkAddress: string, nowMs: number): void {
		if (linkAddress === this.#address) {
			this.#meanGapMs += (nowMs - this.#heardAtMs - this.#meanGapMs) * newestGapWeight;
			this.#heardAtMs = nowMs;
			this.#hasHeard = true;
		}
	}

	/**
	Chooses the primary stream: the present one while it is connected and not silent. A silent one is left only after it has brought figures, since in
	a fleet without load no stream brings any.
	*/
	update(candidates: readonly PrimaryCandidate[], nowMs: number): string | undefined {
		const connected = candidates.filter(({isConnected}) => isConnected);
		const current = connected.findIndex(({linkAddress}) => linkAddress === this.#address);
		const isSilent = this.#hasHeard && nowMs - this.#heardAtMs > this.#silenceMs;
		if (current === -1 || (isSilent && connected.length > 1)) {
			this.#address = connected[(current + 1) % Math.max(1, connected.length)]?.linkAddress;
			this.#heardAtMs = nowMs;
		}

		return this.#address;
	}

	get #silenceMs(): number {
		return Math.min(maxSilenceMs, Math.max(minSilenceMs, this.#meanGapMs * silentGaps));
	}
}

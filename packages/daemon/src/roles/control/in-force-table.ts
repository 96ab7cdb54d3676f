/**
Tracks which revision each daemon has in force, as reported to this voter by the relays.

A report that a relay has lost a daemon's stream is accepted only from the relay that reported the daemon last, since
the daemon may have moved to another relay.
*/

import type {spreadProtocol} from '@rattanspring/protocol';
import type {
	DaemonId, FailureDomainId, InForceAnswer, LaggingDaemon, Revision,
} from '@rattanspring/types';

/** Reasons that a relay reports when it no longer receives messages from a daemon. */
const streamLossReasons = new Set(['disconnected', 'silent', 'left']);

type DaemonStatus = {
	readonly failureDomain: FailureDomainId;
	readonly revision: Revision;
	readonly reason: string;
	readonly relay: DaemonId;
	readonly sinceMs: number;
};

/** Holds the last report on each daemon for one voter. */
export class InForceTable {
	readonly #rows = new Map<DaemonId, DaemonStatus>();
	readonly #relays = new Set<DaemonId>();

	/** Applies the reports of a relay. */
	applyReports(relay: DaemonId, reports: readonly spreadProtocol.InForceReport[], nowMs: number): void {
		this.#relays.add(relay);
		for (const report of reports) {
			this.#applyReport(relay, report, nowMs);
		}
	}

	/** Handles the end of a relay's stream: its daemons count as `relayDisconnected` until a relay reports them again. */
	endRelay(relay: DaemonId, nowMs: number): void {
		this.#relays.delete(relay);
		for (const [daemonId, row] of this.#rows) {
			if (row.relay === relay && row.reason !== 'disconnected') {
				this.#rows.set(daemonId, {...row, reason: 'relayDisconnected', sinceMs: nowMs});
			}
		}
	}

	/** Compares the reports with a revision and lists the daemons that do not have it in force. */
	answer(revision: Revision, nowMs: number): InForceAnswer {
		const notInForce: LaggingDaemon[] = [];
		for (const [daemonId, row] of this.#rows) {
			if (row.revision < revision || row.reason !== '') {
				const {failureDomain, relay, sinceMs} = row;
				notInForce.push({
					daemonId, failureDomain, revision: row.revision, reason: row.reason === '' ? 'notYetApplied' : row.reason, relay, forMs: Math.round(nowMs - sinceMs),
				});
			}
		}

		return {
			revision, daemons: this.#rows.size, inForce: this.#rows.size - notInForce.length, relays: this.#relays.size, notInForce: notInForce.toSorted(compareDaemonIds),
		};
	}

	#applyReport(relay: DaemonId, report: spreadProtocol.InForceReport, nowMs: number): void {
		const {daemonId, failureDomain, revision, reason} = report;
		const known = this.#rows.get(daemonId);
		const isStreamLoss = streamLossReasons.has(reason);
		if (isStreamLoss && known && known.relay !== relay) {
			return;
		}

		if (reason === 'left') {
			this.#rows.delete(daemonId);
			return;
		}

		const isSameReason = reason !== '' && known?.reason === reason;
		this.#rows.set(daemonId, {
			failureDomain, revision, reason, relay, sinceMs: isSameReason ? known.sinceMs : nowMs,
		});
	}
}

function compareDaemonIds(left: LaggingDaemon, right: LaggingDaemon): number {
	return left.daemonId < right.daemonId ? -1 : 1;
}

/**
Collects which revision the daemons of one relay have in force; changed reports are forwarded to the voters.
*/

import type {spreadProtocol} from '@rattanspring/protocol';
import type {Follower} from '../../spread/spread-server.js';

type Report = spreadProtocol.InForceReport;

/** How long a daemon is still reported as not in force after its stream was disconnected. */
export const disconnectedRetentionMs = 24 * 3_600_000;

/** Time without a message after which a connected daemon counts as silent; it sends a probe about once a second. */
export const silenceTimeoutMs = 5000;

/** Reasons that a relay reports on behalf of a daemon from which it no longer receives messages. */
export type RelayDetectedReason = 'disconnected' | 'silent';

type DaemonStatus = {
	follower: Follower;
	/** The last report sent by the daemon itself. */
	lastReport: Report;
	heardAtMs: number;
	/** What the relay has detected since. */
	detectedReason?: RelayDetectedReason;
};

/** The reports of one relay's daemons. */
export class InForceReports {
	readonly #rows = new Map<string, DaemonStatus>();

	/** Applies a message from a daemon; returns the reports to forward to the voters. */
	applyReports(follower: Follower, reports: readonly Report[], nowMs: number): Report[] {
		const {daemonId} = follower;
		const row = this.#rows.get(daemonId);
		const lastReport = reports.at(-1) ?? row?.lastReport;
		if (!lastReport) {
			return [];
		}

		this.#rows.set(daemonId, {follower, lastReport, heardAtMs: nowMs});
		return reports.length > 0 || row?.detectedReason !== undefined ? [lastReport] : [];
	}

	/** Handles the end of a daemon's stream; returns the report to forward, if any. */
	end(follower: Follower): Report[] {
		const row = this.#rows.get(follower.daemonId);
		if (row?.follower !== follower) {
			return [];
		}

		if (row.lastReport.reason === 'left') {
			this.#rows.delete(follower.daemonId);
			return [];
		}

		return [markDetected(row, 'disconnected')];
	}

	/** Detects silent daemons and removes those past the retention period; returns the reports to forward. */
	sweep(nowMs: number): Report[] {
		const changed: Report[] = [];
		for (const [daemonId, row] of this.#rows) {
			const idleMs = nowMs - row.heardAtMs;
			if (row.detectedReason === 'disconnected' && idleMs > disconnectedRetentionMs) {
				this.#rows.delete(daemonId);
				changed.push({...row.lastReport, reason: 'left'});
			} else if (row.detectedReason === undefined && idleMs > silenceTimeoutMs) {
				changed.push(markDetected(row, 'silent'));
			}
		}

		return changed;
	}

	/** All reports, for a voter to which a stream has just been opened. */
	allReports(): Report[] {
		return [...this.#rows.values()].map(row => effectiveReport(row));
	}
}

function markDetected(row: DaemonStatus, detectedReason: RelayDetectedReason): Report {
	row.detectedReason = detectedReason;
	return effectiveReport(row);
}

function effectiveReport(row: DaemonStatus): Report {
	return row.detectedReason ? {...row.lastReport, reason: row.detectedReason} : row.lastReport;
}

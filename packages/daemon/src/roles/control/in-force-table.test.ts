import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {spreadProtocol} from '@rattanspring/protocol';
import {InForceReports, disconnectedRetentionMs, silenceTimeoutMs} from '../relay/in-force-reports.js';
import {InForceTable} from './in-force-table.js';

const follower = (daemonId: string): spreadProtocol.SpreadSubscribe => ({
	daemonId, vm: daemonId, failureDomain: 'a', roles: ['entry'], revision: 0,
});

const report = (daemonId: string, revision: number, reason = ''): spreadProtocol.InForceReport => ({
	daemonId, revision, failureDomain: 'a', reason,
});

function reasonsOf(table: InForceTable, revision: number): string[] {
	return table.answer(revision, 0).notInForce.map(daemon => `${daemon.daemonId} ${daemon.reason}`);
}

describe('InForceTable', () => {
	it('lists each daemon that lacks the newest revision with the reason', () => {
		const table = new InForceTable();
		table.applyReports('relay-1', [report('d1', 5), report('d2', 4), report('d3', 5, 'isolated')], 0);
		expect(reasonsOf(table, 5)).toEqual(['d2 notYetApplied', 'd3 isolated']);
		expect(table.answer(5, 0).inForce).toEqual(1);
	});

	it('accepts a disconnect only from the relay that a daemon follows now', () => {
		const table = new InForceTable();
		table.applyReports('relay-1', [report('d1', 5)], 0);
		table.applyReports('relay-2', [report('d1', 5)], 0);
		table.applyReports('relay-1', [report('d1', 5, 'disconnected')], 0);
		table.endRelay('relay-1', 0);
		expect(reasonsOf(table, 5)).toEqual([]);
		table.endRelay('relay-2', 0);
		expect(reasonsOf(table, 5)).toEqual(['d1 relayDisconnected']);
	});

	it('removes a daemon that left', () => {
		const table = new InForceTable();
		table.applyReports('relay-1', [report('d1', 5)], 0);
		table.applyReports('relay-1', [report('d1', 5, 'left')], 0);
		expect(table.answer(5, 0).daemons).toEqual(0);
	});
});

describe('InForceReports', () => {
	it('reports a daemon as silent until its next message', () => {
		const reports = new InForceReports();
		const daemon = follower('d1');
		reports.applyReports(daemon, [report('d1', 5, 'behind')], 0);
		expect(reports.sweep(silenceTimeoutMs)).toEqual([]);
		expect(reports.sweep(silenceTimeoutMs + 1)).toEqual([report('d1', 5, 'silent')]);
		expect(reports.allReports()).toEqual([report('d1', 5, 'silent')]);
		expect(reports.applyReports(daemon, [], silenceTimeoutMs + 2)).toEqual([report('d1', 5, 'behind')]);
		expect(reports.applyReports(daemon, [], silenceTimeoutMs + 3)).toEqual([]);
	});

	it('retains a daemon whose stream was disconnected, but not one that left', () => {
		const reports = new InForceReports();
		const [broken, left] = [follower('d1'), follower('d2')];
		reports.applyReports(broken, [report('d1', 5)], 0);
		reports.applyReports(left, [report('d2', 5, 'left')], 0);
		expect(reports.end(left)).toEqual([]);
		expect(reports.end(broken)).toEqual([report('d1', 5, 'disconnected')]);
		expect(reports.sweep(disconnectedRetentionMs)).toEqual([]);
		expect(reports.sweep(disconnectedRetentionMs + 1)).toEqual([report('d1', 5, 'left')]);
	});

	it('ignores the late end of a stream that was replaced', () => {
		const reports = new InForceReports();
		const earlier = follower('d1');
		reports.applyReports(earlier, [report('d1', 5)], 0);
		reports.applyReports(follower('d1'), [report('d1', 5)], 1);
		expect(reports.end(earlier)).toEqual([]);
	});
});

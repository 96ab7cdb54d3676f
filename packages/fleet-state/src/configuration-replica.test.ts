import {describe, it} from 'node:test';
import type {AcceptedChange, FleetConfiguration} from '@rattanspring/types';
import {expect} from 'earl';
import {
	array, assert, integer, property, tuple,
} from 'fast-check';
import {applyFleetCommand, emptyFleetState} from './fleet-state.js';
import {ConfigurationReplica, maxRecentChanges} from './configuration-replica.js';
import {buildChange} from './test-fixtures.js';

/** Accepts `count` changes; returns the configuration at each revision from 0 and the changes. */
function historyOf(count: number): {configurations: FleetConfiguration[]; changes: readonly AcceptedChange[]} {
	const state = emptyFleetState();
	const configurations = [state.configuration];
	for (let revision = 0; revision < count; revision++) {
		applyFleetCommand(state, {kind: 'change', change: buildChange(`c${revision}`, revision, [{kind: 'setDefault', key: 'routing.sampleSize', value: 1 + (revision % 64)}])});
		configurations.push(state.configuration);
	}

	return {configurations, changes: state.changes.history};
}

describe('ConfigurationReplica', () => {
	it('never decreases its revision and matches the voters\' configuration for any order of updates', () => {
		const {configurations, changes} = historyOf(30);
		const deliveries = array(tuple(integer({min: 0, max: 30}), integer({min: 0, max: 6})), {maxLength: 60});
		assert(property(deliveries, sequence => {
			const replica = new ConfigurationReplica();
			for (const [from, count] of sequence) {
				const before = replica.revision;
				const result = count === 0 ? replica.replace(configurations[from]) : replica.applyChanges(changes.slice(from, from + count));
				expect(replica.revision >= before).toEqual(true);
				expect(replica.revision > before).toEqual(result === 'applied' || replica.revision > before);
				expect(replica.configuration).toEqual(configurations[replica.revision]);
			}
		}), {seed: 4, numRuns: 200});
	});

	it('reports a gap and returns the changes that it has buffered', () => {
		const {configurations, changes} = historyOf(5);
		const replica = new ConfigurationReplica();
		expect(replica.applyChanges(changes.slice(1))).toEqual('gap');
		replica.replace(configurations[2]);
		expect(replica.applyChanges(changes)).toEqual('applied');
		expect(replica.changesAfter(2)).toEqual(changes.slice(2));
		expect(replica.changesAfter(5)).toEqual([]);
		expect(replica.changesAfter(1)).toEqual(undefined);
	});

	it('buffers a bounded number of changes', () => {
		const count = maxRecentChanges + 10;
		const {configurations, changes} = historyOf(count);
		const replica = new ConfigurationReplica();
		for (const accepted of changes) {
			replica.advance(configurations[accepted.revision], accepted);
		}

		expect(replica.changesAfter(9)).toEqual(undefined);
		expect(replica.changesAfter(10)?.length).toEqual(maxRecentChanges);
	});
});

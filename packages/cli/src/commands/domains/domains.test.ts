import {describe, it} from 'node:test';
import {applyChange, effectiveValue, emptyConfiguration} from '@rattanspring/fleet-state';
import type {ConfigurationEdit, FleetConfiguration} from '@rattanspring/types';
import {expect} from 'earl';
import {
	buildDomainDrainEdit, type DomainArguments, domainExceptionId, drainedDomains,
} from './index.js';

const drainOptions: DomainArguments = {
	domain: 'north-a', reason: 'power work', operator: 'op', control: [], json: false, wait: true,
};

function changed(configuration: FleetConfiguration, edit: ConfigurationEdit): FleetConfiguration {
	const result = applyChange(configuration, {
		changeId: 'c', baseRevision: 0, operator: 'op', reason: 'power work', edits: [edit],
	});
	if (!result.ok) {
		throw new Error(result.failure.message);
	}

	return result.value;
}

describe('domains drain and restore', () => {
	const admitsWork = (configuration: FleetConfiguration, failureDomain: string) => effectiveValue(configuration, 'target.admitsWork', {target: 't', failureDomain}, 0)?.value;

	it('add and remove an exception that holds for the targets of this domain only', () => {
		const drained = changed(emptyConfiguration, buildDomainDrainEdit(drainOptions));
		expect([admitsWork(drained, 'north-a'), admitsWork(drained, 'north-b')]).toEqual([false, true]);
		expect(drainedDomains(drained).map(({scope, reason}) => [scope.name, reason])).toEqual([['north-a', 'power work']]);
		const restored = changed(drained, {kind: 'removeException', exceptionId: domainExceptionId('north-a')});
		expect([admitsWork(restored, 'north-a'), drainedDomains(restored).length]).toEqual([true, 0]);
	});

	it('list no exceptions for single targets', () => {
		const exception = {
			exceptionId: 'x', scope: {kind: 'target', name: 't'}, key: 'target.admitsWork', value: false, reason: 'r', operator: 'op',
		} as const;
		expect(drainedDomains(changed(emptyConfiguration, {kind: 'addException', exception}))).toEqual([]);
	});
});

import {describe, it} from 'node:test';
import type {ConfigurationException, ConfigurationValue, FleetConfiguration} from '@rattanspring/types';
import {expect} from 'earl';
import {emptyConfiguration} from './apply-change.js';
import {catalogue, validateValue} from './catalogue.js';
import {effectiveDeadlineMs, effectiveValue, scopePrecedence} from './effective.js';
import {buildException} from './test-fixtures.js';

const names = {
	target: 'n', group: 'n', service: 'n', clientAccount: 'n', failureDomain: 'n',
};

const batchDefaults = Object.fromEntries<ConfigurationValue>([['deadline.class', 'batch'], ['deadline.batchMs', 500]]);

function configurationWith(exceptions: readonly ConfigurationException[]): FleetConfiguration {
	return {...emptyConfiguration, defaults: batchDefaults, exceptions};
}

describe('catalogue', () => {
	it('has valid initial values', () => {
		for (const [key, entry] of Object.entries(catalogue)) {
			expect([key, validateValue(entry, entry.initial)]).toEqual([key, undefined]);
		}
	});
});

describe('effectiveValue', () => {
	it('selects the exception with the highest precedence and returns it as the origin', () => {
		const exceptions = scopePrecedence.map((kind, index) => buildException({
			exceptionId: kind, scope: {kind, name: 'n'}, key: 'k', value: index,
		}))
			.map(exception => ({...exception, key: 'routing.sampleSize'}));
		for (const [index, kind] of scopePrecedence.entries()) {
			const found = effectiveValue(configurationWith(exceptions.slice(index)), 'routing.sampleSize', names, 0);
			expect(found?.origin.kind === 'exception' && found.origin.exception.exceptionId).toEqual(kind);
		}
	});

	it('falls back to the default, then to the initial value', () => {
		const configuration = configurationWith([buildException({key: 'deadline.class', value: 'interactive', endsAtMs: 10})]);
		expect(effectiveValue(configuration, 'deadline.class', {clientAccount: 'a'}, 9)?.value).toEqual('interactive');
		expect(effectiveValue(configuration, 'deadline.class', {clientAccount: 'a'}, 10)).toEqual({value: 'batch', origin: {kind: 'default'}});
		expect(effectiveValue(configuration, 'routing.sampleSize', {}, 0)?.origin).toEqual({kind: 'initial'});
		expect(effectiveValue(configuration, 'toString', {}, 0)).toEqual(undefined);
	});

	it('returns the deadline of the effective class', () => {
		const configuration = configurationWith([buildException({key: 'deadline.class', value: 'interactive'})]);
		expect(effectiveDeadlineMs(configuration, {}, 0)).toEqual(500);
		expect(effectiveDeadlineMs(configuration, {clientAccount: 'a'}, 0)).toEqual(20_000);
	});
});

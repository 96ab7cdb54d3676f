import {describe, it} from 'node:test';
import {applyChange, emptyConfiguration} from '@rattanspring/fleet-state';
import {expect} from 'earl';
import {buildDrainEdit, drainExceptionId, type TargetArguments} from './index.js';

const drainOptions: TargetArguments = {
	target: 'engine-1', reason: 'disk change', operator: 'op', control: [], json: false, wait: true,
};

describe('targets drain', () => {
	it('creates an exception that the state machine accepts and that can be removed by its id', () => {
		const change = {
			changeId: 'c', baseRevision: 0, operator: 'op', reason: 'disk change',
		};
		const drained = applyChange(emptyConfiguration, {...change, edits: [buildDrainEdit(drainOptions)]});
		expect(drained.ok && drained.value.exceptions.map(exception => [exception.key, exception.value])).toEqual([['target.admitsWork', false]]);
		const admitted = drained.ok && applyChange(drained.value, {...change, edits: [{kind: 'removeException', exceptionId: drainExceptionId('engine-1')}]});
		expect(admitted && admitted.ok && admitted.value.exceptions).toEqual([]);
	});
});

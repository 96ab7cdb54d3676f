/** Test fixtures: builders of changes and exceptions. */

import type {ConfigurationChange, ConfigurationEdit, ConfigurationException} from '@rattanspring/types';

/** Builds a change that sets one default, unless other edits are given. */
export function buildChange(changeId: string, baseRevision: number, edits: readonly ConfigurationEdit[] = [{kind: 'setDefault', key: 'routing.sampleSize', value: 2}]): ConfigurationChange {
	return {
		changeId, baseRevision, operator: 'op', reason: 'test', edits,
	};
}

/** Builds an exception for the client account `a`. */
export function buildException(fields: Partial<ConfigurationException>): ConfigurationException {
	return {
		exceptionId: 'e1', scope: {kind: 'clientAccount', name: 'a'}, key: 'account.fairShare', value: 2, reason: 'seasonal peak', operator: 'op', ...fields,
	};
}

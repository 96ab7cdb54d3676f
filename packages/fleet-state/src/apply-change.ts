/**
Applies an operator's change to the fleet configuration atomically.

The result is a pure function of the configuration and the change, so that a daemon that applies an accepted change
to the preceding revision gets the same configuration as the voters.
*/

import {
	err, ok, type ChangeRejectionType, type ConfigurationChange, type ConfigurationEdit, type ConfigurationException, type ConfigurationValue, type FleetConfiguration, type Result,
} from '@rattanspring/types';
import {catalogue, validateValue} from './catalogue.js';

/** Why a change was rejected. */
export type ChangeRejection = {readonly type: ChangeRejectionType; readonly message: string};

/** The initial configuration, at revision 0. */
export const emptyConfiguration: FleetConfiguration = {
	revision: 0, defaults: {}, exceptions: [], callerKeys: [], operatorKeys: [],
};

/** Applies all edits of a change in order and increments the revision; returns the first rejection if any edit is invalid. */
export function applyChange(configuration: FleetConfiguration, change: ConfigurationChange): Result<FleetConfiguration, ChangeRejection> {
	if (change.edits.length === 0) {
		return rejected('emptyChange', 'The change holds no edits.');
	}

	let next = configuration;
	for (const edit of change.edits) {
		const applied = applyEdit(next, edit);
		if (!applied.ok) {
			return applied;
		}

		next = applied.value;
	}

	if (removesLastPermanentWriter(configuration, next)) {
		return rejected('lastOperatorKey', 'Some operator key must keep the access "readWrite" without an end; add another one first.');
	}

	return ok({...next, revision: configuration.revision + 1});
}

type EditResult = Result<FleetConfiguration, ChangeRejection>;

function applyEdit(configuration: FleetConfiguration, edit: ConfigurationEdit): EditResult {
	switch (edit.kind) {
		case 'setDefault': {
			return setDefault(configuration, edit.key, edit.value);
		}

		case 'unsetDefault': {
			return unsetDefault(configuration, edit.key);
		}

		case 'addException': {
			return addException(configuration, edit.exception);
		}

		case 'removeException': {
			const exceptions = configuration.exceptions.filter(exception => exception.exceptionId !== edit.exceptionId);
			const isKnown = exceptions.length < configuration.exceptions.length;
			return isKnown ? ok({...configuration, exceptions}) : rejected('unknownException', `There is no exception "${edit.exceptionId}".`);
		}

		case 'addCallerKey': {
			const callerKeys = addKey(configuration.callerKeys, edit.callerKey);
			return callerKeys ? ok({...configuration, callerKeys}) : rejected('duplicateCallerKey', `There is already a caller key "${edit.callerKey.keyId}", or one with the same secret.`);
		}

		case 'removeCallerKey': {
			const callerKeys = removeKey(configuration.callerKeys, edit.keyId);
			return callerKeys ? ok({...configuration, callerKeys}) : rejected('unknownCallerKey', `There is no caller key "${edit.keyId}".`);
		}

		case 'addOperatorKey': {
			const operatorKeys = addKey(configuration.operatorKeys, edit.operatorKey);
			return operatorKeys ? ok({...configuration, operatorKeys}) : rejected('duplicateOperatorKey', `There is already an operator key "${edit.operatorKey.keyId}", or one with the same secret.`);
		}

		case 'removeOperatorKey': {
			const operatorKeys = removeKey(configuration.operatorKeys, edit.keyId);
			return operatorKeys ? ok({...configuration, operatorKeys}) : rejected('unknownOperatorKey', `There is no operator key "${edit.keyId}".`);
		}
	}
}

function setDefault(configuration: FleetConfiguration, key: string, value: ConfigurationValue): EditResult {
	const problem = validateKey(key, value);
	return problem ? err(problem) : ok({...configuration, defaults: {...configuration.defaults, [key]: value}});
}

function unsetDefault(configuration: FleetConfiguration, key: string): EditResult {
	if (!Object.hasOwn(configuration.defaults, key)) {
		return rejected('defaultNotSet', `No default is set for "${key}".`);
	}

	const {[key]: _removed, ...defaults} = configuration.defaults;
	return ok({...configuration, defaults});
}

function addException(configuration: FleetConfiguration, exception: ConfigurationException): EditResult {
	if (exception.reason.trim() === '') {
		return rejected('reasonMissing', 'An exception needs a reason.');
	}

	const problem = validateKey(exception.key, exception.value) ?? validateScope(exception);
	if (problem) {
		return err(problem);
	}

	const isDuplicate = configuration.exceptions.some(other => other.exceptionId === exception.exceptionId || hasSameKeyAndScope(other, exception));
	if (isDuplicate) {
		return rejected('duplicateException', `There is already an exception for ${exception.key} on ${exception.scope.kind} "${exception.scope.name}", or with this id; remove it first.`);
	}

	return ok({...configuration, exceptions: [...configuration.exceptions, exception]});
}

function hasSameKeyAndScope(left: ConfigurationException, right: ConfigurationException): boolean {
	return left.key === right.key && left.scope.kind === right.scope.kind && left.scope.name === right.scope.name;
}

function validateKey(key: string, value: ConfigurationValue): ChangeRejection | undefined {
	if (!Object.hasOwn(catalogue, key)) {
		return {type: 'unknownKey', message: `There is no configuration key "${key}".`};
	}

	const problem = validateValue(catalogue[key], value);
	return problem ? {type: 'invalidValue', message: `${key}: ${problem}.`} : undefined;
}

function validateScope(exception: ConfigurationException): ChangeRejection | undefined {
	const {scopes} = catalogue[exception.key];
	if (scopes.includes(exception.scope.kind)) {
		return undefined;
	}

	return {type: 'scopeNotApplicable', message: `${exception.key} takes exceptions for ${scopes.join(', ')}, not for ${exception.scope.kind}.`};
}

type Key = {readonly keyId: string; readonly secretDigest: string};

function addKey<K extends Key>(keys: readonly K[], added: K): readonly K[] | undefined {
	const isDuplicate = keys.some(key => key.keyId === added.keyId || key.secretDigest === added.secretDigest);
	return isDuplicate ? undefined : [...keys, added];
}

function removeKey<K extends Key>(keys: readonly K[], keyId: string): readonly K[] | undefined {
	const remaining = keys.filter(key => key.keyId !== keyId);
	return remaining.length < keys.length ? remaining : undefined;
}

/** Detects a change that would lock out every operator by removing the last non-expiring read-write key. */
function removesLastPermanentWriter(before: FleetConfiguration, after: FleetConfiguration): boolean {
	return hasPermanentWriter(before) && !hasPermanentWriter(after);
}

function hasPermanentWriter(configuration: FleetConfiguration): boolean {
	return configuration.operatorKeys.some(key => key.access === 'readWrite' && key.endsAtMs === undefined);
}

function rejected(type: ChangeRejectionType, message: string): Result<never, ChangeRejection> {
	return err({type, message});
}

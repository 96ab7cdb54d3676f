/** Parses values, scopes and times given on the command line. */

import {catalogue, scopePrecedence, type ScopeNames} from '@rattanspring/fleet-state';
import {
	err, ok, type ConfigurationValue, type ExceptionScope, type Result,
} from '@rattanspring/types';

/** An argument could not be parsed. */
export type ArgumentFailure = {readonly type: 'argumentInvalid'; readonly message: string};

/** Parses a value according to the kind of its key in the catalogue; list items are separated by commas. Text that does not parse is returned unchanged, for the voters to reject. */
export function parseValue(key: string, text: string): ConfigurationValue {
	switch (Object.hasOwn(catalogue, key) ? catalogue[key].kind : 'text') {
		case 'number': {
			return text.trim() === '' ? text : (Number.isNaN(Number(text)) ? text : Number(text));
		}

		case 'flag': {
			return text === 'true' || (text === 'false' ? false : text);
		}

		case 'list': {
			return text === '' ? [] : text.split(',').map(item => item.trim());
		}

		case 'text': {
			return text;
		}
	}
}

/** Parses a scope of the form `clientAccount:name`. */
export function parseScope(text: string): Result<ExceptionScope, ArgumentFailure> {
	const separator = text.indexOf(':');
	const kind = scopePrecedence.find(candidate => candidate === text.slice(0, separator));
	const name = text.slice(separator + 1);
	return kind && name !== '' ? ok({kind, name}) : err({type: 'argumentInvalid', message: `"${text}" is not a valid scope; expected one of ${scopePrecedence.join(', ')}, followed by a colon and a name.`});
}

/** Parses comma-separated scopes, such as `service:orders,clientAccount:a`. */
export function parseScopes(text: string): Result<ScopeNames, ArgumentFailure> {
	const names: Partial<Record<ExceptionScope['kind'], string>> = {};
	for (const part of text.split(',').filter(item => item !== '')) {
		const scope = parseScope(part);
		if (!scope.ok) {
			return scope;
		}

		names[scope.value.kind] = scope.value.name;
	}

	return ok(names);
}

/** Parses an ISO 8601 time; returns undefined if none is given. */
export function parseTime(text: string | undefined): Result<number | undefined, ArgumentFailure> {
	if (text === undefined) {
		return ok(undefined);
	}

	const timeMs = Date.parse(text);
	return Number.isNaN(timeMs) ? err({type: 'argumentInvalid', message: `"${text}" is not a valid time; expected a form such as 2030-01-31T18:00:00Z.`}) : ok(timeMs);
}

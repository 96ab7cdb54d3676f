/**
Resolves the effective value of a configuration key and the default or exception that it comes from.

Precedence, highest first: target, group, service, client account, failure domain, fleet-wide default, initial
value in the catalogue.
*/

import type {
	ConfigurationException, ConfigurationValue, ExceptionScopeKind, FleetConfiguration,
} from '@rattanspring/types';
import {catalogue} from './catalogue.js';

/** Exception scopes, highest precedence first. */
export const scopePrecedence: readonly ExceptionScopeKind[] = ['target', 'group', 'service', 'clientAccount', 'failureDomain'];

/** Names, by scope, that a value is resolved for; a scope that is left out matches no exception. */
export type ScopeNames = Readonly<Partial<Record<ExceptionScopeKind, string>>>;

/** An effective value and where it was set. */
export type EffectiveValue = {
	readonly value: ConfigurationValue;
	readonly origin: {readonly kind: 'initial'} | {readonly kind: 'default'} | {readonly kind: 'exception'; readonly exception: ConfigurationException};
};

/** Resolves the value of `key` for `names` at `nowMs`; undefined if the key is not in the catalogue. */
export function effectiveValue(configuration: FleetConfiguration, key: string, names: ScopeNames, nowMs: number): EffectiveValue | undefined {
	if (!Object.hasOwn(catalogue, key)) {
		return undefined;
	}

	for (const kind of scopePrecedence) {
		const exception = configuration.exceptions.find(candidate => candidate.key === key && matchesScope(candidate, kind, names[kind]) && !isExpired(candidate, nowMs));
		if (exception) {
			return {value: exception.value, origin: {kind: 'exception', exception}};
		}
	}

	if (Object.hasOwn(configuration.defaults, key)) {
		return {value: configuration.defaults[key], origin: {kind: 'default'}};
	}

	return {value: catalogue[key].initial, origin: {kind: 'initial'}};
}

/** Resolves a numeric key; `NaN` if the key is unknown or not numeric. */
export function effectiveNumber(configuration: FleetConfiguration, key: string, names: ScopeNames, nowMs: number): number {
	const found = effectiveValue(configuration, key, names, nowMs);
	return typeof found?.value === 'number' ? found.value : Number.NaN;
}

/** Resolves the deadline of a request whose caller sets none, from the effective deadline class. */
export function effectiveDeadlineMs(configuration: FleetConfiguration, names: ScopeNames, nowMs: number): number {
	const deadlineClass = String(effectiveValue(configuration, 'deadline.class', names, nowMs)?.value);
	return effectiveNumber(configuration, `deadline.${deadlineClass}Ms`, names, nowMs);
}

function matchesScope(exception: ConfigurationException, kind: ExceptionScopeKind, name: string | undefined): boolean {
	return exception.scope.kind === kind && exception.scope.name === name;
}

function isExpired(exception: ConfigurationException, nowMs: number): boolean {
	return exception.endsAtMs !== undefined && exception.endsAtMs <= nowMs;
}

/** Validation of a desired state before it is accepted. */

import {isSendableName} from '@rattanspring/types';
import type {DesiredState, Route, Service} from './desired-state.js';

/** Returns a description of each problem of a document; empty if it is valid. */
export function validateDesiredState(state: DesiredState): string[] {
	const services = new Set(state.services.map(service => service.name));
	return [
		...state.routes.flatMap(route => validateRoute(route, services)),
		...state.services.flatMap(service => validateService(service)),
		...findDuplicates(state.routes.map(route => `${route.host} ${route.pathPrefix}`)).map(place => `Two routes share ${place}.`),
		...findDuplicates(state.services.map(service => service.name)).map(name => `Two services are named ${name}.`),
		...findDuplicates((state.clientAccounts ?? []).flatMap(account => [...new Set(account.keys)])).map(() => 'Two client accounts share a key.'),
	];
}

/**
Returns a description of each account whose name can't be passed on to targets as it is; empty if there are none. Asked where a document enters: one that is in force
from before is not refused for it.
*/
export function findUnsendableNames({clientAccounts = []}: DesiredState): string[] {
	return clientAccounts.filter(({name}) => !isSendableName(name)).map(({name}) => `The name of the client account ${JSON.stringify(name)} can't be sent to targets.`);
}

function validateRoute(route: Route, services: ReadonlySet<string>): string[] {
	const problems = route.split
		.filter(({service}) => !services.has(service))
		.map(({service}) => `Route ${route.name} names the unknown service ${service}.`);
	const weights = route.split.map(({weight}) => weight);
	if (weights.some(weight => weight < 0) || weights.every(weight => weight === 0)) {
		problems.push(`Route ${route.name} has no positive weights.`);
	}

	if (route.timeoutMs <= 0) {
		problems.push(`Route ${route.name} has no timeout.`);
	}

	if (!route.pathPrefix.startsWith('/') || !route.pathPrefix.endsWith('/')) {
		problems.push(`The prefix of route ${route.name} does not begin and end with a slash.`);
	}

	return problems;
}

function validateService({name, coldPerSecond = 0, coldMs = 0}: Service): string[] {
	return coldPerSecond < 0 || coldMs < 0 ? [`Service ${name} has a negative limit or time for cold targets.`] : [];
}

function findDuplicates(values: readonly string[]): string[] {
	const seen = new Set<string>();
	return values.filter(value => {
		const isDuplicate = seen.has(value);
		seen.add(value);
		return isDuplicate;
	});
}

/** Idempotency classes of service routes. */

import {effectiveValue} from '@rattanspring/fleet-state';
import type {FleetConfiguration, IdempotencyClass} from '@rattanspring/types';

/** A route of a service. */
export type ServiceRoute = {readonly service: string; readonly method: string; readonly path: string};

/** Returns the idempotency class of a route, from `routes.idempotent` of its service. A route that is not listed is non-idempotent. */
export function idempotencyClassOf(configuration: FleetConfiguration, route: ServiceRoute, nowMs: number): IdempotencyClass {
	const {service, method, path} = route;
	const found = effectiveValue(configuration, 'routes.idempotent', {service}, nowMs);
	const patterns = Array.isArray(found?.value) ? found.value as readonly string[] : [];
	return patterns.some(pattern => matches(pattern, `${method} ${path}`)) ? 'idempotent' : 'nonIdempotent';
}

function matches(pattern: string, route: string): boolean {
	return pattern.endsWith('*') ? route.startsWith(pattern.slice(0, -1)) : route === pattern;
}

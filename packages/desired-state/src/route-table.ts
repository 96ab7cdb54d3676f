/** Look-ups in a desired state: the route of a request, and the client account of a key. */

import {createHash} from 'node:crypto';
import type {
	ClientAccount, DesiredState, Route, WeightedService,
} from './desired-state.js';

/** A desired state, prepared for look-ups. */
export class RouteTable {
	readonly state: DesiredState;
	readonly #routesByHost = new Map<string, Route[]>();
	readonly #accountsByDigest = new Map<string, ClientAccount>();

	constructor(state: DesiredState) {
		this.state = state;
		for (const route of state.routes) {
			const routes = this.#routesByHost.get(route.host) ?? [];
			routes.push(route);
			this.#routesByHost.set(route.host, routes);
		}

		for (const routes of this.#routesByHost.values()) {
			routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
		}

		for (const account of state.clientAccounts ?? []) {
			for (const key of account.keys) {
				this.#accountsByDigest.set(digestOf(key), account);
			}
		}
	}

	/** Whether requests need a key. */
	get requiresKeys(): boolean {
		return this.state.clientAccounts !== undefined;
	}

	/** The route with the longest prefix that begins the path. */
	findRoute(host: string, path: string): Route | undefined {
		return this.#routesByHost.get(host)?.find(route => path.startsWith(route.pathPrefix));
	}

	/** The account that holds a key. */
	findAccount(key: string): ClientAccount | undefined {
		return this.#accountsByDigest.get(digestOf(key));
	}
}

/** Draws a service by weight; `random` is in [0, 1). */
export function selectWeightedService(split: readonly WeightedService[], random: number): string {
	const total = split.reduce((sum, {weight}) => sum + weight, 0);
	let left = random * total;
	for (const {service, weight} of split) {
		left -= weight;
		if (left < 0) {
			return service;
		}
	}

	return split.findLast(({weight}) => weight > 0)!.service;
}

function digestOf(key: string): string {
	return createHash('sha256').update(key).digest('base64');
}

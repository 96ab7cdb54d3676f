/** Indexes a desired state to find the route of a request and the client account of a key. */

import {createHash} from 'node:crypto';
import type {
	ClientAccount, DesiredState, EngineProfile, Route, WeightedService,
} from './desired-state.js';

/** An index of the routes and client accounts of a desired state. */
export class RouteTable {
	readonly state: DesiredState;
	readonly #routesByHost = new Map<string, Route[]>();
	readonly #engines: ReadonlyMap<string, EngineProfile | undefined>;
	readonly #accountsByDigest = new Map<string, ClientAccount>();

	constructor(state: DesiredState) {
		this.state = state;
		this.#engines = new Map(state.services.map(({name, engine}) => [name, engine]));
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
				this.#accountsByDigest.set(keyDigest(key), account);
			}
		}
	}

	/** Whether requests to non-public routes need a key. */
	get requiresKeys(): boolean {
		return this.state.clientAccounts !== undefined;
	}

	/** The published figures of a service's engines; undefined for a plain service. */
	engineOf(service: string): EngineProfile | undefined {
		return this.#engines.get(service);
	}

	/** Finds the route with the longest matching path prefix. */
	findRoute(host: string, path: string): Route | undefined {
		return this.#routesByHost.get(host)?.find(route => path.startsWith(route.pathPrefix));
	}

	/** Finds the client account of a key. */
	findAccount(key: string): ClientAccount | undefined {
		return this.#accountsByDigest.get(keyDigest(key));
	}
}

/** Selects a service at random in proportion to the weights; `random` is in [0, 1). */
export function selectWeightedService(split: readonly WeightedService[], random: number): string {
	const total = split.reduce((sum, {weight}) => sum + weight, 0);
	let remaining = random * total;
	for (const {service, weight} of split) {
		remaining -= weight;
		if (remaining < 0) {
			return service;
		}
	}

	return split.findLast(({weight}) => weight > 0)!.service;
}

function keyDigest(key: string): string {
	return createHash('sha256').update(key).digest('base64');
}

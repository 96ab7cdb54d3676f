/** A caller's request after it was checked against the desired state. */

import type {Buffer} from 'node:buffer';
import type {ClientAccount, EngineProfile, Route} from '@rattanspring/desired-state';
import type {RequestMetadata} from './header-codec.js';

/** A request with its route, service and client account. */
export type RoutedRequest = {
	readonly metadata: RequestMetadata;
	readonly route: Route;
	readonly service: string;
	/** The published figures of the service's engines; absent for a plain service. */
	readonly engine?: EngineProfile;
	readonly account?: ClientAccount;
	readonly method: string;
	readonly path: string;
	readonly rawHeaders: readonly string[];
	readonly body: Buffer;
	/** What the request consists of, as far as other requests may contain it too: the whole of it, and the shared parts of its prompt. */
	readonly components: readonly string[];
	readonly arrivedAtMs: number;
	/** Number of the request among those that its connection has carried, from 1 on. */
	readonly connectionRequest: number;
	/** The earlier of the caller's and the route's deadline. */
	readonly deadlineAtMs: number;
};

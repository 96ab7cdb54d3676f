/** Requests that wait at this entry while a newer desired state takes their key or their client account away. */

import type {RouteTable} from '@rattanspring/desired-state';
import type {RoutedRequest} from './routed-request.js';

/** A request in progress that can be ended before it is sent. */
export type Revocable = {readonly rejectIfRevoked: (table: RouteTable) => void};

/** Whether a request was allowed for a client account that its key no longer identifies. */
export function isRevoked({account, route, metadata}: Pick<RoutedRequest, 'account' | 'route' | 'metadata'>, table: RouteTable): boolean {
	if (!table.requiresKeys || route.isPublic || !account) {
		return false;
	}

	return metadata.key === undefined || table.findAccount(metadata.key)?.name !== account.name;
}

/** Ends the waiting requests that a newly applied desired state does not allow. */
export function rejectRevoked(requests: Iterable<Revocable>, table: RouteTable): void {
	for (const request of requests) {
		request.rejectIfRevoked(table);
	}
}

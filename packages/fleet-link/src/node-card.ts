/** Checks cards that come from outside this process. A card goes to all daemons that are told about its own, so it has a greatest size. */

import type {NodeCard, NodeRole} from './messages.js';

/** Longest card as a text: more than all its names and addresses at their longest. */
const maxCardLength = 4096;

const roles: ReadonlySet<unknown> = new Set<NodeRole>(['control', 'entry', 'agent']);

/** Whether a value is a card of a daemon. Further fields are those of a newer build. */
export function isReadableCard(value: unknown): value is NodeCard {
	const {nodeId, role, failureDomain, linkAddress} = (typeof value === 'object' && value !== null ? value : {}) as {readonly [Key in keyof NodeCard]?: unknown};
	return typeof nodeId === 'string' && roles.has(role) && typeof failureDomain === 'string' && (linkAddress === undefined || typeof linkAddress === 'string')
		&& JSON.stringify(value).length <= maxCardLength;
}

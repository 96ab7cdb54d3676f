/**
Chooses the control processes that a daemon follows. Every daemon follows the same small number of them, however many there are: some of its own
failure domain, some that serve the document, and the rest by rendezvous hashing, so that the daemons spread evenly and a control process
that comes or goes moves few of them.
*/

import {createHash} from 'node:crypto';

/** A control process that a daemon may follow. */
export type LinkCandidate = {
	readonly linkAddress: string;
	/** Unknown for a seed that has not been heard of. */
	readonly failureDomain?: string;
	readonly servesDocument: boolean;
	/** Whether it is stopping, or has not answered for some time. Such a process is followed only if too few others are left. */
	readonly isAvoided: boolean;
};

/** What a daemon needs. */
export type LinkNeeds = {
	/** Identifies the daemon in the hash. */
	readonly nodeId: string;
	readonly failureDomain: string;
	readonly count: number;
};

/** Number of control processes of the daemon's own failure domain, and of those that serve the document, among the ones that it follows: the loss of any two leaves one that announces new versions. */
const ownDomainCount = 2;
const documentCount = 3;

/** The addresses to follow. */
export function selectLinks(candidates: readonly LinkCandidate[], {nodeId, failureDomain, count}: LinkNeeds): Set<string> {
	const ranked = candidates
		.map(candidate => ({candidate, rank: rendezvousRank(nodeId, candidate.linkAddress)}))
		.toSorted((left, right) => Number(left.candidate.isAvoided) - Number(right.candidate.isAvoided) || (left.rank < right.rank ? 1 : -1))
		.map(({candidate}) => candidate);
	const usable = ranked.filter(({isAvoided}) => !isAvoided);
	const selected = new Set<string>();
	const select = (from: readonly LinkCandidate[], atMost: number): void => {
		for (const {linkAddress} of from.slice(0, Math.max(0, atMost))) {
			if (selected.size < count) {
				selected.add(linkAddress);
			}
		}
	};

	select(usable.filter(candidate => candidate.failureDomain === failureDomain), ownDomainCount);
	const served = usable.filter(({linkAddress, servesDocument}) => servesDocument && selected.has(linkAddress)).length;
	select(usable.filter(({linkAddress, servesDocument}) => servesDocument && !selected.has(linkAddress)), documentCount - served);
	select(ranked, ranked.length);
	return selected;
}

function rendezvousRank(nodeId: string, linkAddress: string): string {
	return createHash('sha256').update(`${nodeId} ${linkAddress}`).digest('hex');
}

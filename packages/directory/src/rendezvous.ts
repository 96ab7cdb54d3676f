/**
Rendezvous (highest random weight) hashing: every process ranks the candidates of a key in the same order without
coordination, and adding or removing a candidate only reassigns the keys that the candidate gains or loses.
*/

import {createHash} from 'node:crypto';

/** Hexadecimal digits of the digest used as the weight: a number represents 48 bits exactly. */
const weightDigits = 12;

/** Computes the weight of a candidate for a key. */
export function rendezvousWeight(key: string, candidate: string): number {
	const digest = createHash('sha256').update(JSON.stringify([key, candidate])).digest('hex');
	return Number.parseInt(digest.slice(0, weightDigits), 16);
}

/** Ranks the candidates for a key by weight, greatest first. */
export function rankByRendezvous(key: string, candidates: readonly string[]): string[] {
	const weighted = candidates.map(candidate => ({candidate, weight: rendezvousWeight(key, candidate)}));
	const ranked = weighted.toSorted((left, right) => right.weight - left.weight || (left.candidate < right.candidate ? -1 : 1));
	return ranked.map(({candidate}) => candidate);
}

/** Expert maps as bytes, for orders that carry a whole map. */

import {decodeNumbers, encodeNumbers, isCompactable} from './compact-numbers.js';

/** The experts of each rank, by set and rank. */
type RankLists = ReadonlyArray<ReadonlyArray<readonly number[]>>;

/** Encodes a map: the numbers of sets and ranks, then each rank's list, preceded by its length. Undefined if an expert's number cannot be encoded. */
export function encodeMap(map: RankLists): Uint8Array | undefined {
	const lists = map.flatMap(ranks => ranks.flatMap(experts => [experts.length, ...experts]));
	return lists.every(value => isCompactable(value)) ? encodeNumbers([map.length, map[0]?.length ?? 0, ...lists]) : undefined;
}

/** Decodes a map; undefined if the bytes are not exactly one. */
export function decodeMap(bytes: Uint8Array): RankLists | undefined {
	const [setCount, rankCount, ...values] = decodeNumbers(bytes) ?? [];
	const lists = splitLists(values);
	if (!lists || rankCount === undefined || lists.length !== setCount * rankCount) {
		return undefined;
	}

	const isEmpty = lists.length === 0;
	return isEmpty ? undefined : Array.from({length: setCount}, (_, set) => lists.slice(set * rankCount, (set + 1) * rankCount));
}

/** Separates lists that are each preceded by their length; undefined if the last one is incomplete. */
function splitLists(values: readonly number[]): number[][] | undefined {
	const lists: number[][] = [];
	let next = 0;
	while (next < values.length) {
		const end = next + 1 + values[next];
		if (end > values.length) {
			return undefined;
		}

		lists.push(values.slice(next + 1, end));
		next = end;
	}

	return lists;
}

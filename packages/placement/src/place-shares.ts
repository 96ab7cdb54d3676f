/**
Divides the free places of a target among the entries that send to it.

All entries see the same load figures, which are some hundred milliseconds old. If each chose the least busy target, all would choose the
same one, and a first event would wait behind several prompts. So each free place of a report belongs to one entry; all entries compute the
same division without asking each other, and it moves on with every report.
*/

/** Where an entry stands among those that send to the same targets. */
export type EntryPosition = {readonly index: number; readonly count: number};

/** Input of a division. */
export type SlotShareInput = {
	/** A number of the target's own, so that targets do not all favour the same entries. */
	readonly targetNumber: number;
	/** Sequence of the report that the free places stand in. */
	readonly sequence: number;
	readonly freeSlots: number;
	readonly position: EntryPosition;
};

/** How many of the free places belong to an entry. */
export function ownedSlots({targetNumber, sequence, freeSlots: freePlaces, position: entry}: SlotShareInput): number {
	const position = (entry.index + targetNumber + sequence) % entry.count;
	return position < freePlaces ? Math.floor((freePlaces - 1 - position) / entry.count) + 1 : 0;
}

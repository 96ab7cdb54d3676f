/**
Divides the free slots of a target among the entries that send to it. All entries compute the same assignment without coordination.
*/

/** Number of entries to which each free slot is assigned for requests that can still be on time. */
export const onTimeEntriesPerSlot = 2;

/** Position of an entry among those that send to the same targets. */
export type EntryPosition = {readonly index: number; readonly count: number};

/** Input of a division. */
export type SlotShareInput = {
	/** A number specific to the target, so that targets do not all favour the same entries. */
	readonly targetNumber: number;
	/** Sequence of the load figures that give the free slots. */
	readonly sequence: number;
	readonly freeSlots: number;
	readonly position: EntryPosition;
};

/**
Returns how many of the free slots are assigned to an entry. Each free slot in a target's load figures is assigned to one entry, and
the assignment rotates with the sequence of the figures.

All entries see the same load figures, which are a few hundred milliseconds old. If each entry chose the least loaded target, all would
choose the same one, and a first event would wait for the prefill of several prompts.
*/
export function ownedSlots({targetNumber, sequence, freeSlots, position}: SlotShareInput): number {
	const offset = (position.index + targetNumber + sequence) % position.count;
	return offset < freeSlots ? Math.floor((freeSlots - 1 - offset) / position.count) + 1 : 0;
}

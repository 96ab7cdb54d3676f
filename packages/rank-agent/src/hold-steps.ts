/**
Chooses the steps before which a group is held for a switch. No step is used twice in a formation, not by two coordinators either: a group that rests begins no
step, and an order to hold or to release it that had no answer may still be applied seconds later. Each of them fits one hold only.
*/

/** Largest distance, in steps, between the last step begun and one that a group is held before. No coordinator of any build goes beyond it. */
export const maxHoldLeadSteps = 8;

/** The steps that one coordinator has used in one formation of a group. */
export class HoldSteps {
	#lastUsedStep = Number.NEGATIVE_INFINITY;
	#fencing = 0;

	/** Whether a group whose last step begun is `step` can be held before a step that was not used yet. While it rests, they run out. */
	hasNext(step: number): boolean {
		return this.#lastUsedStep < step + maxHoldLeadSteps;
	}

	/** Takes the next step to hold the group before, at least `marginSteps` after the last one begun; undefined if none is left. */
	next(step: number, marginSteps: number): number | undefined {
		if (!this.hasNext(step)) {
			return undefined;
		}

		this.#lastUsedStep = Math.max(step + marginSteps, this.#lastUsedStep + 1);
		return this.#lastUsedStep;
	}

	/** Whether a fencing number follows the last one of this coordinator, so that no other one can have held the group in between. */
	isSuccessor(fencing: number): boolean {
		return this.#fencing > 0 && fencing === this.#fencing + 1;
	}

	/** Records a fencing number that all ranks have accepted. */
	noteFencing(fencing: number): void {
		this.#fencing = fencing;
	}

	/** Counts as used whatever an earlier coordinator may have used by the time at which it was fenced off, or before `step` was read. */
	takeOver(step: number): void {
		this.#lastUsedStep = Math.max(this.#lastUsedStep, step + maxHoldLeadSteps);
	}
}

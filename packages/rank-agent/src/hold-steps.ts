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
	/** Whether others may have held the group before steps that are not counted yet. */
	#isTakingOver = true;

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

	/** Records a fencing number that all ranks have accepted. Unless it follows the last one of this coordinator, another one may have held the group in between. */
	noteFencing(fencing: number): void {
		this.#isTakingOver ||= this.#fencing === 0 || fencing !== this.#fencing + 1;
		this.#fencing = fencing;
	}

	/** Records the last step begun, read after the others were fenced off: what they may have used by then counts as used. */
	noteStep(step: number): void {
		if (this.#isTakingOver) {
			this.#isTakingOver = false;
			this.#lastUsedStep = Math.max(this.#lastUsedStep, step + maxHoldLeadSteps);
		}
	}
}

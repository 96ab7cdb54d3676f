/**
Lets one request with a suspected component through at a time. Each component has one authority, a control process, that grants its trials.
A trial ends with evidence; a grant that brings none ends by itself.
*/

/** Time within which a trial ends with a complete answer or a crash that is known to all entries. */
const grantMs = 3000;

/** Running trials by component. */
export class TrialGrants {
	readonly #untilMs = new Map<string, number>();

	/** Returns whether a trial of the component may begin. */
	grant(component: string, nowMs: number): boolean {
		this.#removeEnded(nowMs);
		if (this.#untilMs.has(component)) {
			return false;
		}

		this.#untilMs.set(component, nowMs + grantMs);
		return true;
	}

	#removeEnded(nowMs: number): void {
		for (const [component, untilMs] of this.#untilMs) {
			if (untilMs <= nowMs) {
				this.#untilMs.delete(component);
			}
		}
	}
}

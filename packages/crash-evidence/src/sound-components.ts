/**
Components of requests that got complete answers. What an answer shows holds against some crashes, not for ever: a new version of the
targets' software may crash on what the old one answered.
*/

/** Crashes against which one complete answer speaks. */
const crashesPerAnswer = 5;

/** Components of each kind that are kept. */
const defaultMaxComponents = 4000;

/** Components in complete answers, bounded in number. Those seen once can't push out those seen more often. */
export class SoundComponents {
	readonly #maxComponents: number;
	readonly #seenOnce = new Map<string, number>();
	readonly #seenOften = new Map<string, number>();

	constructor({maxComponents = defaultMaxComponents}: {readonly maxComponents?: number} = {}) {
		this.#maxComponents = maxComponents;
	}

	/** Records that a request with the component got a complete answer. */
	add(component: string): void {
		const isKnown = this.#seenOften.delete(component) || this.#seenOnce.delete(component);
		const components = isKnown ? this.#seenOften : this.#seenOnce;
		components.set(component, crashesPerAnswer);
		if (components.size > this.#maxComponents) {
			components.delete(components.keys().next().value!);
		}
	}

	/** Whether earlier answers speak against the component as the cause of a further crash. */
	refutesCrash(component: string): boolean {
		const components = this.#seenOften.has(component) ? this.#seenOften : this.#seenOnce;
		const left = components.get(component) ?? 0;
		if (left > 0) {
			components.set(component, left - 1);
		}

		return left > 0;
	}
}

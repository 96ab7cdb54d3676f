/** Event queue of a simulation: events come out in order of virtual time, and those of the same time in order of insertion. */

type Entry<Event> = {readonly atMs: number; readonly order: number; readonly event: Event};

/** Binary min-heap of events. */
export class EventQueue<Event> {
	readonly #heap: Array<Entry<Event>> = [];
	#nextOrder = 0;

	add(atMs: number, event: Event): void {
		const heap = this.#heap;
		let index = heap.length;
		heap.push({atMs, order: this.#nextOrder++, event});
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (isBefore(heap[parent], heap[index])) {
				return;
			}

			[heap[parent], heap[index]] = [heap[index], heap[parent]];
			index = parent;
		}
	}

	/** Removes and returns the earliest event. */
	pop(): {readonly atMs: number; readonly event: Event} | undefined {
		const heap = this.#heap;
		const first = heap[0];
		const last = heap.pop();
		if (heap.length > 0 && last) {
			heap[0] = last;
			this.#siftDown();
		}

		return first;
	}

	#siftDown(): void {
		const heap = this.#heap;
		let index = 0;
		for (;;) {
			let least = index;
			for (const child of [(2 * index) + 1, (2 * index) + 2]) {
				if (child < heap.length && isBefore(heap[child], heap[least])) {
					least = child;
				}
			}

			if (least === index) {
				return;
			}

			[heap[least], heap[index]] = [heap[index], heap[least]];
			index = least;
		}
	}
}

function isBefore<Event>(a: Entry<Event>, b: Entry<Event>): boolean {
	return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}

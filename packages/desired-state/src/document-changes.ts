/**
Changes from one document text to another, so that a daemon that holds the earlier one needs to receive only the differences. The
texts are cut after each closing brace, that is into about one piece per route, whatever their format.
*/

/** A run of pieces of the earlier text, as the first one and their number, or new text. */
export type Change = readonly [start: number, count: number] | string;

/** Computes changes that turn `earlier` into `later`. */
export function computeChanges(earlier: string, later: string): Change[] {
	const earlierPieces = cut(earlier);
	const positions = new Map(earlierPieces.map((piece, index) => [piece, index]));
	const changes: Change[] = [];
	let run: {readonly start: number; count: number} | undefined;
	for (const piece of cut(later)) {
		if (run && earlierPieces[run.start + run.count] === piece) {
			run.count++;
			continue;
		}

		pushRun(changes, run);
		const start = positions.get(piece);
		run = start === undefined ? undefined : {start, count: 1};
		if (!run) {
			pushText(changes, piece);
		}
	}

	pushRun(changes, run);
	return changes;
}

/** Applies changes to the text that they were computed from; undefined if they do not fit it. */
export function applyChanges(earlier: string, changes: readonly Change[]): string | undefined {
	const pieces = cut(earlier);
	const parts: string[] = [];
	for (const change of changes) {
		if (typeof change === 'string') {
			parts.push(change);
			continue;
		}

		const [start, count] = change;
		if (!isRunWithin(pieces.length, start, count)) {
			return undefined;
		}

		parts.push(pieces.slice(start, start + count).join(''));
	}

	return parts.join('');
}

function cut(text: string): string[] {
	return text.split(/(?<=})/);
}

function isRunWithin(length: number, start: number, count: number): boolean {
	return Number.isInteger(start) && Number.isInteger(count) && start >= 0 && count > 0 && start + count <= length;
}

function pushRun(changes: Change[], run: {readonly start: number; readonly count: number} | undefined): void {
	if (run) {
		changes.push([run.start, run.count]);
	}
}

/** Appends new text, joined with new text right before it. */
function pushText(changes: Change[], text: string): void {
	const last = changes.at(-1);
	if (typeof last === 'string') {
		changes[changes.length - 1] = last + text;
	} else {
		changes.push(text);
	}
}

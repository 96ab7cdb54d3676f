/** Human-readable tables, without colours so that they can be piped and pasted. */

import Table from 'cli-table3';

/** Creates an empty table with the given column headings. */
export function createTable(head: readonly string[]): Table.Table {
	return new Table({head: [...head], style: {head: [], border: []}});
}

/** Renders rows of text as a table. */
export function renderTable(head: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const table = createTable(head);
	for (const row of rows) {
		table.push([...row]);
	}

	return table.toString();
}

/** Formats a time in ISO 8601; empty if undefined. */
export function formatTime(timeMs: number | undefined): string {
	return timeMs === undefined ? '' : new Date(timeMs).toISOString();
}

/** `rattanspring suspects list`: lists all suspect and refused requests. */

import type {SerializedSuspects} from '@rattanspring/fleet-state';
import type {Command} from '../../command.js';
import {reportFailure, runCommand} from '../../command-context.js';
import type {ConnectionArguments} from '../../connection.js';
import {createTable} from '../../table.js';

export const listCommand: Command = {
	command: 'list',
	describe: 'list suspect and refused requests',
	handler: list,
};

async function list(options: ConnectionArguments): Promise<void> {
	await runCommand(options, async context => {
		const result = await context.control.read<SerializedSuspects>('suspects');
		if (!result.ok) {
			return reportFailure(context, result.failure);
		}

		context.print(context.json ? JSON.stringify(result.value) : renderSuspects(result.value));
		return 0;
	});
}

function renderSuspects({records}: SerializedSuspects): string {
	const table = createTable(['client account', 'body digest', 'state', 'crashed targets', 'last change']);
	for (const {clientAccount, bodyDigest, state, crashes, updatedAtMs} of records) {
		const targets = crashes.map(crash => crash.targetId).join(', ');
		table.push([clientAccount, bodyDigest, state, targets, new Date(updatedAtMs).toISOString()]);
	}

	return table.toString();
}

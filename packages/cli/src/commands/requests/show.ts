/** `rattanspring requests show`: shows the newest requests in the ledger, by default those whose outcome is still open. */

import type {LedgerEntry} from '@rattanspring/request-ledger';
import type {CommandModule} from 'yargs';
import {reportFailure, runCommand} from '../../command-context.js';
import type {ConnectionArguments} from '../../connection.js';
import {createTable} from '../../table.js';

type ShowArguments = ConnectionArguments & {readonly clientAccount?: string; readonly state: readonly string[]; readonly limit: number};

/** A ledger entry without its recorded outcome. */
type RequestRow = Omit<LedgerEntry, 'outcome'> & {readonly status?: number};

export const showCommand: CommandModule<ConnectionArguments, ShowArguments> = {
	command: 'show',
	describe: 'show requests in the ledger, newest first',
	builder: builder => builder.options({
		'client-account': {type: 'string', describe: 'only requests of this client account'},
		state: {
			type: 'string', array: true, choices: ['claimed', 'released', 'recorded', 'unknown', 'settled', 'expired'], default: ['unknown', 'claimed'], describe: 'only requests in these states',
		},
		limit: {type: 'number', default: 100, describe: 'maximum number of requests'},
	}),
	handler: show,
};

async function show(options: ShowArguments): Promise<void> {
	const {clientAccount, state: requestStates, limit} = options;
	await runCommand(options, async context => {
		const result = await context.control.read<readonly RequestRow[]>('requests', {clientAccount, requestStates, limit});
		if (!result.ok) {
			return reportFailure(context, result.failure);
		}

		context.print(context.json ? JSON.stringify(result.value) : renderRequests(result.value));
		return 0;
	});
}

function renderRequests(rows: readonly RequestRow[]): string {
	const table = createTable(['account', 'service', 'key', 'state', 'target', 'changed', 'settled by', 'reason']);
	for (const {key, state, claim, updatedAtMs, settlement} of rows) {
		table.push([
			key.clientAccount, key.service, key.idempotencyKey, state, claim.targetId, new Date(updatedAtMs).toISOString(), settlement?.operator ?? '', settlement?.reason ?? '',
		]);
	}

	return table.toString();
}

/** `rattanspring targets list`: lists the targets known to an entry, with their load. */

import process from 'node:process';
import Wreck from '@hapi/wreck';
import type {TargetAnnouncement} from '@rattanspring/types';
import type {CommandModule} from 'yargs';
import {reportFailure, runCommand} from '../../command-context.js';
import type {ConnectionArguments} from '../../connection.js';
import {createTable} from '../../table.js';

type ListArguments = ConnectionArguments & {readonly entry: string};

const timeoutMs = 5000;

export const listCommand: CommandModule<ConnectionArguments, ListArguments> = {
	command: 'list',
	describe: 'list the targets known to an entry',
	builder: builder => builder.options({entry: {type: 'string', demandOption: true, describe: 'URL of an entry'}}),
	handler: list,
};

async function list(options: ListArguments): Promise<void> {
	await runCommand(options, async context => {
		try {
			const {payload} = await Wreck.get<{targets: readonly TargetAnnouncement[]}>(`${options.entry}/v1/targets`, {
				headers: {authorization: `Bearer ${process.env.RATTANSPRING_OPERATOR_KEY ?? ''}`}, json: true, timeout: timeoutMs,
			});
			context.print(context.json ? JSON.stringify(payload.targets) : renderTargets(payload.targets));
			return 0;
		} catch (error) {
			return reportFailure(context, {type: 'unreachable', message: `${options.entry}: ${String(error)}.`});
		}
	});
}

function renderTargets(targets: readonly TargetAnnouncement[]): string {
	const table = createTable(['target', 'vm', 'failure domain', 'services', 'state', 'in progress', 'capacity', 'queued tokens']);
	for (const {targetId, vm, failureDomain, services, state, load} of targets) {
		table.push([targetId, vm, failureDomain, services.join(', '), state, load.inProgressRequests, load.capacityRequests, load.queuedTokens]);
	}

	return table.toString();
}

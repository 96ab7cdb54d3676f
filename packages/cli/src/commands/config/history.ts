/** `rattanspring config history` lists accepted changes; `rattanspring config in-force` shows how far the newest revision has reached. */

import type {AcceptedChange, InForceAnswer} from '@rattanspring/types';
import type {Argv} from 'yargs';
import type {Command} from '../../command.js';
import {reportFailure, runCommand, type CommandContext} from '../../command-context.js';
import {exitCodes, type ConnectionArguments} from '../../connection.js';
import {describeEdit} from '../../submit-change.js';
import {renderTable, formatTime} from '../../table.js';

type HistoryArguments = ConnectionArguments & {readonly limit: number};

/** Lists the accepted changes. */
export const historyCommand: Command = {
	command: 'history',
	describe: 'list accepted changes, newest last',
	builder: (builder: Argv<ConnectionArguments>) => builder.option('limit', {type: 'number', default: 20, describe: 'maximum number of changes to list'}),
	handler: async options => runCommand(options, async context => history(context, options as unknown as HistoryArguments)),
};

/** Shows which daemons do not have the newest revision in force. */
export const inForceCommand: Command = {
	command: 'in-force',
	describe: 'list the daemons that do not have the newest revision in force, with the reason',
	handler: async options => runCommand(options, inForce),
};

async function history(context: CommandContext, options: HistoryArguments): Promise<number> {
	const result = await context.control.read<readonly AcceptedChange[]>('history', {limit: options.limit});
	if (!result.ok) {
		return reportFailure(context, result.failure);
	}

	const rows = result.value.map(({revision, change, acceptedAtMs}) => [String(revision), formatTime(acceptedAtMs), change.operator, change.reason, change.edits.map(edit => describeEdit(edit)).join('\n')]);
	context.print(context.json ? JSON.stringify(result.value) : renderTable(['revision', 'accepted', 'operator', 'reason', 'edits'], rows));
	return 0;
}

/** Prints which daemons do not have the newest revision in force; returns the exit code. */
export async function inForce(context: CommandContext): Promise<number> {
	const result = await context.control.read<InForceAnswer>('inForce');
	if (!result.ok) {
		return reportFailure(context, result.failure);
	}

	const answer = result.value;
	context.print(context.json ? JSON.stringify(answer) : formatInForce(answer));
	return answer.notInForce.length === 0 ? 0 : exitCodes.notInForce;
}

function formatInForce(answer: InForceAnswer): string {
	const summary = `revision ${answer.revision} is in force on ${answer.inForce} of ${answer.daemons} daemons (${answer.relays} relays report)`;
	const rows = answer.notInForce.map(daemon => [daemon.daemonId, daemon.failureDomain, String(daemon.revision), daemon.reason, `${Math.round(daemon.forMs / 1000)} s`, daemon.relay]);
	return rows.length === 0 ? summary : `${summary}\n${renderTable(['daemon', 'failureDomain', 'revision', 'reason', 'for', 'relay'], rows)}`;
}

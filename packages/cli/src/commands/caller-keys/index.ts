/** `rattanspring caller-keys`: adds, lists and removes caller keys. To rotate a key, add a new one and remove the old one later. */

import type {CallerKey, FleetConfiguration} from '@rattanspring/types';
import type {Argv} from 'yargs';
import type {Command} from '../../command.js';
import {reportFailure, runCommand, type CommandContext} from '../../command-context.js';
import {exitCodes, type ConnectionArguments} from '../../connection.js';
import {generateSecret, type NewSecret} from '../../new-secret.js';
import {parseTime} from '../../parse-value.js';
import {submitChange, withChangeOptions, type ChangeArguments} from '../../submit-change.js';
import {renderTable, formatTime} from '../../table.js';

/** Arguments of `caller-keys add`. */
export type AddArguments = ChangeArguments & {readonly id: string; readonly account: string; readonly ends?: string};

/** Adds a key and prints its secret, which is shown only once; returns the exit code. */
export async function add(context: CommandContext, options: AddArguments, newSecret: NewSecret = generateSecret()): Promise<number> {
	const ends = parseTime(options.ends);
	if (!ends.ok) {
		context.printStatus(`rattanspring: ${ends.failure.type}: ${ends.failure.message}`);
		return exitCodes.usage;
	}

	const callerKey: CallerKey = {
		keyId: options.id, secretDigest: newSecret.secretDigest, clientAccount: options.account, ...(ends.value !== undefined && {endsAtMs: ends.value}),
	};
	// Print the secret before submitting: if the reply is lost, the key may still be in force, and its secret cannot be shown again.
	context.print(context.json ? JSON.stringify({keyId: options.id, secret: newSecret.secret}) : `secret of ${options.id}, shown only once: ${newSecret.secret}`);
	return submitChange(context, options, () => [{kind: 'addCallerKey', callerKey}]);
}

async function list(context: CommandContext): Promise<number> {
	const result = await context.control.read<FleetConfiguration>('configuration');
	if (!result.ok) {
		return reportFailure(context, result.failure);
	}

	const keys = result.value.callerKeys.map(({secretDigest: _omitted, ...shown}) => shown);
	const rows = keys.map(key => [key.keyId, key.clientAccount, formatTime(key.endsAtMs)]);
	context.print(context.json ? JSON.stringify(keys) : renderTable(['key', 'clientAccount', 'ends'], rows));
	return 0;
}

const addCommand: Command = {
	command: 'add <id> <account>',
	describe: 'add a key; its secret is printed once',
	builder: (builder: Argv<ConnectionArguments>) => withChangeOptions(builder
		.positional('id', {type: 'string', demandOption: true})
		.positional('account', {type: 'string', demandOption: true, describe: 'client account'})
		.option('ends', {type: 'string', describe: 'expiry time, such as 2030-01-31T18:00:00Z'})),
	handler: async options => runCommand(options, async context => add(context, options as unknown as AddArguments)),
};

const listCommand: Command = {
	command: 'list',
	describe: 'list the keys, without their secrets',
	handler: async options => runCommand(options, list),
};

const removeCommand: Command = {
	command: 'remove <id>',
	describe: 'remove a key; requests with it are refused from then on',
	builder: (builder: Argv<ConnectionArguments>) => withChangeOptions(builder.positional('id', {type: 'string', demandOption: true})),
	async handler(options) {
		const changeOptions = options as unknown as ChangeArguments & {readonly id: string};
		await runCommand(options, async context => submitChange(context, changeOptions, () => [{kind: 'removeCallerKey', keyId: changeOptions.id}]));
	},
};

export const callerKeysCommand: Command = {
	command: 'caller-keys',
	describe: 'add, list and remove caller keys',
	builder: builder => builder.command([addCommand, listCommand, removeCommand]).demandCommand(1, 'Specify a subcommand; see --help.'),
	handler() {
		// Handled by the subcommands.
	},
};

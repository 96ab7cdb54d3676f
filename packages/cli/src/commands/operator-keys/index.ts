/** `rattanspring operator-keys`: adds, lists and removes operator keys. To rotate a key, add a new one and remove the old one later. */

import type {OperatorKey, FleetConfiguration, OperatorAccess} from '@rattanspring/types';
import type {Argv} from 'yargs';
import type {Command} from '../../command.js';
import {reportFailure, runCommand, type CommandContext} from '../../command-context.js';
import {exitCodes, type ConnectionArguments} from '../../connection.js';
import {generateSecret, type NewSecret} from '../../new-secret.js';
import {parseTime} from '../../parse-value.js';
import {submitChange, withChangeOptions, type ChangeArguments} from '../../submit-change.js';
import {renderTable, formatTime} from '../../table.js';

/** Arguments of `operator-keys add`. */
export type AddArguments = ChangeArguments & {readonly id: string; readonly name: string; readonly access: OperatorAccess; readonly ends?: string};

/** Adds a key and prints its secret, which is shown only once; returns the exit code. */
export async function add(context: CommandContext, options: AddArguments, newSecret: NewSecret = generateSecret()): Promise<number> {
	const ends = parseTime(options.ends);
	if (!ends.ok) {
		context.printStatus(`rattanspring: ${ends.failure.type}: ${ends.failure.message}`);
		return exitCodes.usage;
	}

	const operatorKey: OperatorKey = {
		keyId: options.id, secretDigest: newSecret.secretDigest, operator: options.name, access: options.access, ...(ends.value !== undefined && {endsAtMs: ends.value}),
	};
	// Print the secret before submitting: if the reply is lost, the key may still be in force, and its secret cannot be shown again.
	context.print(context.json ? JSON.stringify({keyId: options.id, secret: newSecret.secret}) : `secret of ${options.id}, shown only once: ${newSecret.secret}`);
	return submitChange(context, options, () => [{kind: 'addOperatorKey', operatorKey}]);
}

async function list(context: CommandContext): Promise<number> {
	const result = await context.control.read<FleetConfiguration>('configuration');
	if (!result.ok) {
		return reportFailure(context, result.failure);
	}

	const keys = result.value.operatorKeys.map(({secretDigest: _omitted, ...shown}) => shown);
	const rows = keys.map(key => [key.keyId, key.operator, key.access, formatTime(key.endsAtMs)]);
	context.print(context.json ? JSON.stringify(keys) : renderTable(['key', 'operator', 'access', 'ends'], rows));
	return 0;
}

const addCommand: Command = {
	command: 'add <id> <name> <access>',
	describe: 'add a key; its secret is printed once',
	builder: (builder: Argv<ConnectionArguments>) => withChangeOptions(builder
		.positional('id', {type: 'string', demandOption: true})
		.positional('name', {type: 'string', demandOption: true, describe: 'operator'})
		.positional('access', {choices: ['readOnly', 'readWrite'] as const, demandOption: true})
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
		await runCommand(options, async context => submitChange(context, changeOptions, () => [{kind: 'removeOperatorKey', keyId: changeOptions.id}]));
	},
};

export const operatorKeysCommand: Command = {
	command: 'operator-keys',
	describe: 'add, list and remove operator keys',
	builder: builder => builder.command([addCommand, listCommand, removeCommand]).demandCommand(1, 'Specify a subcommand; see --help.'),
	handler() {
		// Handled by the subcommands.
	},
};

/** `rattanspring exceptions`: lists, adds and removes exceptions to the fleet-wide defaults; each records its reason. */

import {randomUUID} from 'node:crypto';
import {
	ok, type ConfigurationException, type FleetConfiguration, type Result,
} from '@rattanspring/types';
import type {Argv} from 'yargs';
import type {Command} from '../../command.js';
import {reportFailure, runCommand, type CommandContext} from '../../command-context.js';
import {exitCodes, type ConnectionArguments} from '../../connection.js';
import {
	parseScope, parseTime, parseValue, type ArgumentFailure,
} from '../../parse-value.js';
import {submitChange, withChangeOptions, type ChangeArguments} from '../../submit-change.js';
import {renderExceptionTable} from '../config/show.js';

/** Arguments of `exceptions add`. */
export type AddArguments = ChangeArguments & {
	readonly scope: string;
	readonly key: string;
	readonly value: string;
	readonly id?: string;
	readonly ends?: string;
};

/** Parses the arguments into an exception. */
export function parseException(options: AddArguments): Result<ConfigurationException, ArgumentFailure> {
	const scope = parseScope(options.scope);
	if (!scope.ok) {
		return scope;
	}

	const ends = parseTime(options.ends);
	if (!ends.ok) {
		return ends;
	}

	const {key, reason, operator} = options;
	return ok({
		exceptionId: options.id ?? randomUUID(), scope: scope.value, key, value: parseValue(key, String(options.value)), reason, operator, ...(ends.value !== undefined && {endsAtMs: ends.value}),
	});
}

/** Adds an exception; returns the exit code. */
export async function add(context: CommandContext, options: AddArguments): Promise<number> {
	const exception = parseException(options);
	if (!exception.ok) {
		context.printStatus(`rattanspring: ${exception.failure.type}: ${exception.failure.message}`);
		return exitCodes.usage;
	}

	return submitChange(context, options, () => [{kind: 'addException', exception: exception.value}]);
}

async function list(context: CommandContext): Promise<number> {
	const result = await context.control.read<FleetConfiguration>('configuration');
	if (!result.ok) {
		return reportFailure(context, result.failure);
	}

	context.print(context.json ? JSON.stringify(result.value.exceptions) : renderExceptionTable(result.value));
	return 0;
}

const listCommand: Command = {
	command: 'list',
	describe: 'list the exceptions with their reasons',
	handler: async options => runCommand(options, list),
};

const addCommand: Command = {
	command: 'add <scope> <key> <value>',
	describe: 'add an exception, such as: exceptions add clientAccount:a account.fairShare 2 --reason "wedding season"',
	builder: (builder: Argv<ConnectionArguments>) => withChangeOptions(builder
		.positional('scope', {type: 'string', demandOption: true})
		.positional('key', {type: 'string', demandOption: true})
		.positional('value', {type: 'string', demandOption: true})
		.options({id: {type: 'string', describe: 'id of the exception; random by default'}, ends: {type: 'string', describe: 'expiry time, such as 2030-01-31T18:00:00Z'}})),
	handler: async options => runCommand(options, async context => add(context, options as unknown as AddArguments)),
};

const removeCommand: Command = {
	command: 'remove <id>',
	describe: 'remove an exception',
	builder: (builder: Argv<ConnectionArguments>) => withChangeOptions(builder.positional('id', {type: 'string', demandOption: true})),
	async handler(options) {
		const changeOptions = options as unknown as ChangeArguments & {readonly id: string};
		await runCommand(options, async context => submitChange(context, changeOptions, () => [{kind: 'removeException', exceptionId: changeOptions.id}]));
	},
};

export const exceptionsCommand: Command = {
	command: 'exceptions',
	describe: 'list, add and remove exceptions',
	builder: builder => builder.command([listCommand, addCommand, removeCommand]).demandCommand(1, 'Specify a subcommand; see --help.'),
	handler() {
		// Handled by the subcommands.
	},
};

/** `rattanspring defaults`: sets and unsets fleet-wide defaults. */

import type {ConfigurationEdit} from '@rattanspring/types';
import type {Argv} from 'yargs';
import type {Command} from '../../command.js';
import {runCommand} from '../../command-context.js';
import type {ConnectionArguments} from '../../connection.js';
import {parseValue} from '../../parse-value.js';
import {submitChange, withChangeOptions, type ChangeArguments} from '../../submit-change.js';

type DefaultArguments = ChangeArguments & {readonly key: string; readonly value: string};

/** Builds the edits of `defaults set`. */
export function buildSetDefaultEdits(key: string, value: string): ConfigurationEdit[] {
	return [{kind: 'setDefault', key, value: parseValue(key, value)}];
}

const setCommand: Command = {
	command: 'set <key> <value>',
	describe: 'set a fleet-wide default; separate list items with commas',
	builder: (builder: Argv<ConnectionArguments>) => withChangeOptions(builder.positional('key', {type: 'string', demandOption: true}).positional('value', {type: 'string', demandOption: true})),
	async handler(options) {
		const changeOptions = options as unknown as DefaultArguments;
		await runCommand(options, async context => submitChange(context, changeOptions, () => buildSetDefaultEdits(changeOptions.key, String(changeOptions.value))));
	},
};

const unsetCommand: Command = {
	command: 'unset <key>',
	describe: 'reset a key to its initial value',
	builder: (builder: Argv<ConnectionArguments>) => withChangeOptions(builder.positional('key', {type: 'string', demandOption: true})),
	async handler(options) {
		const changeOptions = options as unknown as DefaultArguments;
		await runCommand(options, async context => submitChange(context, changeOptions, () => [{kind: 'unsetDefault', key: changeOptions.key}]));
	},
};

export const defaultsCommand: Command = {
	command: 'defaults',
	describe: 'set and unset fleet-wide defaults',
	builder: builder => builder.command([setCommand, unsetCommand]).demandCommand(1, 'Specify a subcommand; see --help.'),
	handler() {
		// Handled by the subcommands.
	},
};

/** `rattanspring targets`: lists the targets known to an entry, drains a target by adding an exception, and admits it again by removing it. */

import type {ConfigurationEdit} from '@rattanspring/types';
import type {Argv} from 'yargs';
import type {Command} from '../../command.js';
import {runCommand} from '../../command-context.js';
import type {ConnectionArguments} from '../../connection.js';
import {submitChange, withChangeOptions, type ChangeArguments} from '../../submit-change.js';
import {listCommand} from './list.js';

/** Arguments of `targets drain` and `targets admit`. */
export type TargetArguments = ChangeArguments & {readonly target: string};

/** The id of the exception that drains a target. It is derived from the target, so that `targets admit` can find it. */
export function drainExceptionId(target: string): string {
	return `drain-${target}`;
}

/** Builds the edit that drains a target. */
export function buildDrainEdit({target, reason, operator}: TargetArguments): ConfigurationEdit {
	return {
		kind: 'addException',
		exception: {
			exceptionId: drainExceptionId(target), scope: {kind: 'target', name: target}, key: 'target.admitsWork', value: false, reason, operator,
		},
	};
}

function withTarget(builder: Argv<ConnectionArguments>): Argv<ConnectionArguments> {
	return withChangeOptions(builder.positional('target', {type: 'string', demandOption: true, describe: 'name of the target'}));
}

const drainCommand: Command = {
	command: 'drain <target>',
	describe: 'send no new work to a target; its running requests are completed',
	builder: withTarget,
	async handler(options) {
		const targetOptions = options as unknown as TargetArguments;
		await runCommand(options, async context => submitChange(context, targetOptions, () => [buildDrainEdit(targetOptions)]));
	},
};

const admitCommand: Command = {
	command: 'admit <target>',
	describe: 'send work to a drained target again',
	builder: withTarget,
	async handler(options) {
		const targetOptions = options as unknown as TargetArguments;
		await runCommand(options, async context => submitChange(context, targetOptions, () => [{kind: 'removeException', exceptionId: drainExceptionId(targetOptions.target)}]));
	},
};

export const targetsCommand: Command = {
	command: 'targets',
	describe: 'list, drain and admit targets',
	builder: builder => builder.command([listCommand as unknown as Command, drainCommand, admitCommand]).demandCommand(1, 'Specify a subcommand; see --help.'),
	handler() {
		// Handled by the subcommands.
	},
};

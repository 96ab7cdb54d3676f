/**
`rattanspring config diff FILE` and `rattanspring config apply FILE`: make the defaults and exceptions match a file.
The file does not contain caller keys or operator keys.
*/

import {readFile} from 'node:fs/promises';
import {
	err, ok, type ConfigurationEdit, type ConfigurationException, type FleetConfiguration, type Result,
} from '@rattanspring/types';
import type {Argv} from 'yargs';
import * as z from 'zod';
import type {Command} from '../../command.js';
import {reportFailure, runCommand, type CommandContext} from '../../command-context.js';
import {exitCodes, type ConnectionArguments} from '../../connection.js';
import {
	describeEdit, submitChange, withChangeOptions, type ChangeArguments,
} from '../../submit-change.js';

const value = z.union([z.number(), z.string(), z.boolean(), z.array(z.string())]);

const desiredSchema = z.strictObject({
	defaults: z.record(z.string(), value).default({}),
	exceptions: z.array(z.strictObject({
		exceptionId: z.string(),
		scope: z.strictObject({kind: z.enum(['failureDomain', 'clientAccount', 'service', 'group', 'target']), name: z.string()}),
		key: z.string(),
		value,
		reason: z.string(),
		endsAtMs: z.int().optional(),
	})).default([]),
});

/** The configuration that the file describes. */
export type DesiredConfiguration = z.infer<typeof desiredSchema>;

/** The file could not be read or parsed. */
export type FileFailure = {readonly type: 'fileInvalid'; readonly message: string};

type FileArguments = ConnectionArguments & {readonly file: string};

/** Shows the edits that `config apply` would submit. */
export const diffCommand: Command = {
	command: 'diff <file>',
	describe: 'show what "config apply" would change',
	builder: (builder: Argv<ConnectionArguments>) => builder.positional('file', {type: 'string', demandOption: true}),
	handler: async options => runCommand(options, async context => diff(context, options as unknown as FileArguments)),
};

/** Makes the configuration match the file. */
export const applyCommand: Command = {
	command: 'apply <file>',
	describe: 'make defaults and exceptions match a file, in one change',
	builder: (builder: Argv<ConnectionArguments>) => withChangeOptions(builder.positional('file', {type: 'string', demandOption: true})),
	handler: async options => runCommand(options, async context => apply(context, options as unknown as FileArguments & ChangeArguments)),
};

async function diff(context: CommandContext, options: FileArguments): Promise<number> {
	const desired = await readDesired(options.file);
	if (!desired.ok) {
		return reportFileFailure(context, desired.failure);
	}

	const configuration = await context.control.read<FleetConfiguration>('configuration');
	if (!configuration.ok) {
		return reportFailure(context, configuration.failure);
	}

	const edits = diffConfiguration(configuration.value, desired.value, '');
	context.print(context.json ? JSON.stringify({revision: configuration.value.revision, edits}) : edits.map(edit => describeEdit(edit)).join('\n') || 'no difference');
	return 0;
}

async function apply(context: CommandContext, options: FileArguments & ChangeArguments): Promise<number> {
	const desired = await readDesired(options.file);
	return desired.ok ? submitChange(context, options, configuration => diffConfiguration(configuration, desired.value, options.operator)) : reportFileFailure(context, desired.failure);
}

/** Computes the edits that turn the current configuration into the desired one. */
export function diffConfiguration(configuration: FleetConfiguration, desired: DesiredConfiguration, operator: string): ConfigurationEdit[] {
	const unset = Object.keys(configuration.defaults).filter(key => !Object.hasOwn(desired.defaults, key));
	const set = Object.entries(desired.defaults).filter(([key, desiredValue]) => !isSame(configuration.defaults[key], desiredValue));
	const desiredExceptions = desired.exceptions.map(exception => ({...exception, operator}));
	const removed = configuration.exceptions.filter(exception => !desiredExceptions.some(other => isSameException(exception, other)));
	const added = desiredExceptions.filter(exception => !configuration.exceptions.some(other => isSameException(exception, other)));
	return [
		...unset.map(key => ({kind: 'unsetDefault', key}) as const),
		...set.map(([key, newValue]) => ({kind: 'setDefault', key, value: newValue}) as const),
		...removed.map(exception => ({kind: 'removeException', exceptionId: exception.exceptionId}) as const),
		...added.map(exception => ({kind: 'addException', exception}) as const),
	];
}

function isSameException(left: ConfigurationException, right: ConfigurationException): boolean {
	const comparable = ({
		exceptionId, scope, key, value: currentValue, reason, endsAtMs,
	}: ConfigurationException): unknown => [exceptionId, scope.kind, scope.name, key, currentValue, reason, endsAtMs ?? 0];
	return isSame(comparable(left), comparable(right));
}

function isSame(left: unknown, right: unknown): boolean {
	return JSON.stringify(left) === JSON.stringify(right);
}

async function readDesired(file: string): Promise<Result<DesiredConfiguration, FileFailure>> {
	try {
		const parsed = desiredSchema.safeParse(JSON.parse(await readFile(file, 'utf8')));
		return parsed.success ? ok(parsed.data) : err({type: 'fileInvalid', message: `${file}: ${z.prettifyError(parsed.error)}`});
	} catch (error) {
		return err({type: 'fileInvalid', message: `${file}: ${String(error)}`});
	}
}

function reportFileFailure(context: CommandContext, failure: FileFailure): number {
	context.printStatus(`rattanspring: ${failure.type}: ${failure.message}`);
	return exitCodes.usage;
}

/**
`rattanspring config diff FILE` and `rattanspring config apply FILE`: brings defaults and exceptions to what a file says.
Keys of callers and operators are not part of the file.
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

/** What the file says. */
export type DesiredConfiguration = z.infer<typeof desiredSchema>;

/** Why the file cannot be used. */
export type FileFailure = {readonly type: 'fileInvalid'; readonly message: string};

type FileArguments = ConnectionArguments & {readonly file: string};

/** Shows what `apply` would change. */
export const diffCommand: Command = {
	command: 'diff <file>',
	describe: 'show what "config apply" would change',
	builder: (builder: Argv<ConnectionArguments>) => builder.positional('file', {type: 'string', demandOption: true}),
	handler: async options => runCommand(options, async context => diff(context, options as unknown as FileArguments)),
};

/** Brings the configuration to the file. */
export const applyCommand: Command = {
	command: 'apply <file>',
	describe: 'bring defaults and exceptions to what a file says, in one change',
	builder: (builder: Argv<ConnectionArguments>) => withChangeOptions(builder.positional('file', {type: 'string', demandOption: true})),
	handler: async options => runCommand(options, async context => apply(context, options as unknown as FileArguments & ChangeArguments)),
};

async function diff(context: CommandContext, options: FileArguments): Promise<number> {
	const desired = await readDesired(options.file);
	if (!desired.ok) {
		return reportFile(context, desired.failure);
	}

	const configuration = await context.control.read<FleetConfiguration>('configuration');
	if (!configuration.ok) {
		return reportFailure(context, configuration.failure);
	}

	const edits = assembleEdits(configuration.value, desired.value, '');
	context.print(context.json ? JSON.stringify({revision: configuration.value.revision, edits}) : edits.map(edit => describeEdit(edit)).join('\n') || 'no difference');
	return 0;
}

async function apply(context: CommandContext, options: FileArguments & ChangeArguments): Promise<number> {
	const desired = await readDesired(options.file);
	return desired.ok ? submitChange(context, options, configuration => assembleEdits(configuration, desired.value, options.operator)) : reportFile(context, desired.failure);
}

/** The edits that lead from the configuration to the file. */
export function assembleEdits(configuration: FleetConfiguration, desired: DesiredConfiguration, operator: string): ConfigurationEdit[] {
	const unset = Object.keys(configuration.defaults).filter(key => !Object.hasOwn(desired.defaults, key));
	const set = Object.entries(desired.defaults).filter(([key, wanted]) => !isSame(configuration.defaults[key], wanted));
	const wanted = desired.exceptions.map(exception => ({...exception, operator}));
	const removed = configuration.exceptions.filter(exception => !wanted.some(other => isSameException(exception, other)));
	const added = wanted.filter(exception => !configuration.exceptions.some(other => isSameException(exception, other)));
	return [
		...unset.map(key => ({kind: 'unsetDefault', key}) as const),
		...set.map(([key, newValue]) => ({kind: 'setDefault', key, value: newValue}) as const),
		...removed.map(exception => ({kind: 'removeException', exceptionId: exception.exceptionId}) as const),
		...added.map(exception => ({kind: 'addException', exception}) as const),
	];
}

function isSameException(left: ConfigurationException, right: ConfigurationException): boolean {
	const comparable = ({
		exceptionId, scope, key, value: held, reason, endsAtMs,
	}: ConfigurationException): unknown => [exceptionId, scope.kind, scope.name, key, held, reason, endsAtMs ?? 0];
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

function reportFile(context: CommandContext, failure: FileFailure): number {
	context.note(`rattanspring: ${failure.type}: ${failure.message}`);
	return exitCodes.usage;
}

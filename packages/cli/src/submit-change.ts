/**
Submits edits as one change and waits until the change is in force.
*/

import {randomUUID} from 'node:crypto';
import {
	ok, type ChangeAnswer, type ConfigurationChange, type ConfigurationEdit, type FleetConfiguration, type InForceAnswer,
} from '@rattanspring/types';
import type {Argv} from 'yargs';
import {reportFailure, type CommandContext} from './command-context.js';
import {exitCodes, type ConnectionArguments} from './connection.js';

/** Interval between polls of the in-force status. */
const inForcePollIntervalMs = 250;

/** Polls of the in-force status before the command stops waiting. */
const maxInForcePolls = 60;

/** Options common to all commands that change the configuration. */
export type ChangeArguments = ConnectionArguments & {
	readonly reason: string;
	readonly operator: string;
	readonly changeId?: string;
	readonly baseRevision?: number;
	readonly wait: boolean;
};

/** Adds the options common to all commands that change the configuration. */
export function withChangeOptions<A extends ConnectionArguments>(builder: Argv<A>): Argv<A> {
	return builder.options({
		reason: {type: 'string', demandOption: true, describe: 'reason for the change, kept in the history'},
		operator: {type: 'string', default: 'unnamed', describe: 'who makes the change; the operator of an operator key takes precedence'},
		'change-id': {type: 'string', describe: 'id of an earlier attempt whose reply was lost; returns the original reply'},
		'base-revision': {type: 'number', describe: 'the revision that the change is based on; required with --change-id, the newest revision by default'},
		wait: {type: 'boolean', default: true, describe: 'wait until the change is in force everywhere'},
	}) as unknown as Argv<A>;
}

/** Builds the edits from the newest configuration. */
export type BuildEdits = (configuration: FleetConfiguration) => readonly ConfigurationEdit[];

/** Builds and submits a change and, if requested, waits until it is in force; returns the exit code. */
export async function submitChange(context: CommandContext, options: ChangeArguments, buildEdits: BuildEdits): Promise<number> {
	const configuration = await context.control.read<FleetConfiguration>('configuration');
	if (!configuration.ok) {
		return reportFailure(context, configuration.failure);
	}

	const change = createChange(options, configuration.value.revision, buildEdits(configuration.value));
	context.printStatus(`change ${change.changeId} on revision ${change.baseRevision}`);
	const submitted = await context.control.submit({kind: 'change', change});
	if (!submitted.ok) {
		context.printStatus(`The result of the change is unknown. To retry, repeat the command with --change-id ${change.changeId} --base-revision ${change.baseRevision}.`);
		return reportFailure(context, submitted.failure);
	}

	const answer = submitted.value.kind === 'change' ? submitted.value.answer : undefined;
	return answer ? reportAnswer(context, answer, options.wait) : exitCodes.failed;
}

function createChange(options: ChangeArguments, revision: number, edits: readonly ConfigurationEdit[]): ConfigurationChange {
	return {
		changeId: options.changeId ?? randomUUID(), baseRevision: options.baseRevision ?? revision, operator: options.operator, reason: options.reason, edits,
	};
}

async function reportAnswer(context: CommandContext, answer: ChangeAnswer, wait: boolean): Promise<number> {
	if (context.json) {
		context.print(JSON.stringify(answer));
	}

	switch (answer.kind) {
		case 'accepted': {
			return reportAccepted(context, answer.revision, wait);
		}

		case 'conflict': {
			context.printStatus(`rattanspring: conflict: the configuration is at revision ${answer.currentRevision}. Changes since the base revision:`);
			for (const change of answer.changesSince) {
				context.printStatus(describeChange(change));
			}

			context.printStatus('Review the new revision, then run the command again.');
			return exitCodes.conflict;
		}

		case 'rejected': {
			context.printStatus(`rattanspring: ${answer.type}: ${answer.message} Nothing was changed.`);
			return exitCodes.rejected;
		}
	}
}

async function reportAccepted(context: CommandContext, revision: number, wait: boolean): Promise<number> {
	if (!context.json) {
		context.print(`accepted as revision ${revision}`);
	}

	return wait ? waitUntilInForce(context, revision) : 0;
}

/** Prints progress until every daemon has applied the revision or a later one. */
async function waitUntilInForce(context: CommandContext, revision: number): Promise<number> {
	let result = ok<InForceAnswer | undefined>(undefined);
	for (let pollCount = 0; pollCount < maxInForcePolls; pollCount++) {
		const read = await context.control.read<InForceAnswer>('inForce');
		if (!read.ok) {
			// The change has been accepted, so the exit code must not report it as failed.
			reportFailure(context, read.failure);
			context.printStatus('The change was accepted, but its in-force status could not be read.');
			return exitCodes.notInForce;
		}

		result = read;
		const lagging = describeLaggingDaemons(read.value, revision);
		context.printStatus(`revision ${revision} in force on ${read.value.daemons - lagging.length} of ${read.value.daemons} daemons`);
		if (lagging.length === 0) {
			return 0;
		}

		await context.sleep(inForcePollIntervalMs);
	}

	context.printStatus(`rattanspring: notInForce: not yet applied on ${describeLaggingDaemons(result.value!, revision).join(', ')}. The change was accepted and will reach these daemons; see "config in-force".`);
	return exitCodes.notInForce;
}

function describeLaggingDaemons(answer: InForceAnswer, revision: number): string[] {
	return answer.notInForce.filter(daemon => daemon.revision < revision || daemon.reason !== 'notYetApplied').map(daemon => `${daemon.daemonId} (${daemon.reason})`);
}

/** Describes a change on one line. */
export function describeChange(change: ConfigurationChange): string {
	return `  ${change.operator}: ${change.reason}: ${change.edits.map(edit => describeEdit(edit)).join('; ')}`;
}

/** Describes an edit in words. */
export function describeEdit(edit: ConfigurationEdit): string {
	switch (edit.kind) {
		case 'setDefault': {
			return `set ${edit.key} = ${JSON.stringify(edit.value)}`;
		}

		case 'unsetDefault': {
			return `unset ${edit.key}`;
		}

		case 'addException': {
			const {exceptionId, scope, key, value} = edit.exception;
			return `add exception ${exceptionId}: ${key} = ${JSON.stringify(value)} for ${scope.kind} ${scope.name}`;
		}

		case 'removeException': {
			return `remove exception ${edit.exceptionId}`;
		}

		case 'addCallerKey': {
			return `add caller key ${edit.callerKey.keyId} of ${edit.callerKey.clientAccount}`;
		}

		case 'removeCallerKey': {
			return `remove caller key ${edit.keyId}`;
		}

		case 'addOperatorKey': {
			return `add operator key ${edit.operatorKey.keyId} of ${edit.operatorKey.operator}`;
		}

		case 'removeOperatorKey': {
			return `remove operator key ${edit.keyId}`;
		}
	}
}

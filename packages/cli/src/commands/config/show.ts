/** `rattanspring config show`: shows the newest confirmed revision of the configuration, or the effective values for a set of scopes. */

import {
	catalogue, effectiveValue, type EffectiveValue, type ScopeNames,
} from '@rattanspring/fleet-state';
import type {FleetConfiguration} from '@rattanspring/types';
import type {Command} from '../../command.js';
import {reportFailure, runCommand, type CommandContext} from '../../command-context.js';
import {exitCodes, type ConnectionArguments} from '../../connection.js';
import {parseScopes} from '../../parse-value.js';
import {renderTable, formatTime} from '../../table.js';

type ShowArguments = ConnectionArguments & {readonly effective?: string};

export const showCommand: Command = {
	command: 'show',
	describe: 'show the fleet configuration',
	builder: builder => builder.option('effective', {type: 'string', describe: 'show the effective value of every key for these scopes and its origin, such as service:orders,clientAccount:a; "" for no scope'}),
	handler: async options => runCommand(options, async context => show(context, options)),
};

/** Prints the configuration or the effective values; returns the exit code. */
export async function show(context: CommandContext, options: ShowArguments): Promise<number> {
	const names = options.effective === undefined ? undefined : parseScopes(options.effective);
	if (names && !names.ok) {
		context.printStatus(`rattanspring: ${names.failure.type}: ${names.failure.message}`);
		return exitCodes.usage;
	}

	const result = await context.control.read<FleetConfiguration>('configuration');
	if (!result.ok) {
		return reportFailure(context, result.failure);
	}

	if (names) {
		const rows = effectiveRows(result.value, names.value, context.wallMs());
		context.print(context.json ? JSON.stringify({revision: result.value.revision, values: rows}) : renderEffectiveTable(rows));
		return 0;
	}

	context.print(context.json ? JSON.stringify(result.value) : formatConfiguration(result.value));
	return 0;
}

/** The effective value of a key, with its origin. */
export type EffectiveRow = EffectiveValue & {readonly key: string};

/** Lists the effective value of every key that has one. */
export function effectiveRows(configuration: FleetConfiguration, names: ScopeNames, nowMs: number): EffectiveRow[] {
	return Object.keys(catalogue).flatMap(key => {
		const effective = effectiveValue(configuration, key, names, nowMs);
		return effective ? [{key, ...effective}] : [];
	});
}

function renderEffectiveTable(rows: readonly EffectiveRow[]): string {
	return renderTable(['key', 'value', 'from'], rows.map(row => [row.key, JSON.stringify(row.value), describeOrigin(row)]));
}

function describeOrigin(row: EffectiveRow): string {
	const {origin} = row;
	if (origin.kind !== 'exception') {
		return origin.kind === 'initial' ? 'initial value' : 'fleet-wide default';
	}

	const {exceptionId, scope, reason} = origin.exception;
	return `exception ${exceptionId} for ${scope.kind} ${scope.name}: ${reason}`;
}

function formatConfiguration(configuration: FleetConfiguration): string {
	const defaults = renderTable(['default', 'value'], Object.entries(configuration.defaults).map(([key, value]) => [key, JSON.stringify(value)]));
	return `revision ${configuration.revision}\n${defaults}\n${renderExceptionTable(configuration)}`;
}

/** Renders the exceptions as a table. */
export function renderExceptionTable(configuration: FleetConfiguration): string {
	return renderTable(['exception', 'scope', 'key', 'value', 'reason', 'operator', 'ends'], configuration.exceptions.map(exception => {
		const {
			exceptionId, scope, key, value, reason, operator, endsAtMs,
		} = exception;
		return [exceptionId, `${scope.kind} ${scope.name}`, key, JSON.stringify(value), reason, operator, formatTime(endsAtMs)];
	}));
}

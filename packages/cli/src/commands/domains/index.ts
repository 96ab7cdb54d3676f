/**
`rattanspring domains`: drains a failure domain by adding an exception for all of its targets, restores it by removing that exception, and lists the drained ones. As with all changes, an
order that is sent again with its change id is applied once, and one on an outdated revision is a conflict.
*/

import type {ConfigurationEdit, ConfigurationException, FleetConfiguration} from '@rattanspring/types';
import type {Argv} from 'yargs';
import type {Command} from '../../command.js';
import {type CommandContext, reportFailure, runCommand} from '../../command-context.js';
import type {ConnectionArguments} from '../../connection.js';
import {submitChange, withChangeOptions, type ChangeArguments} from '../../submit-change.js';
import {renderTable} from '../../table.js';

const admitsWorkKey = 'target.admitsWork';

/** Arguments of `domains drain` and `domains restore`. */
export type DomainArguments = ChangeArguments & {readonly domain: string};

/** The id of the exception that drains a failure domain. It is derived from its name, so that `domains restore` can find it. */
export function domainExceptionId(domain: string): string {
	return `drain-domain-${domain}`;
}

/** Builds the edit that drains a failure domain. */
export function buildDomainDrainEdit({domain, reason, operator}: DomainArguments): ConfigurationEdit {
	return {
		kind: 'addException',
		exception: {
			exceptionId: domainExceptionId(domain), scope: {kind: 'failureDomain', name: domain}, key: admitsWorkKey, value: false, reason, operator,
		},
	};
}

/** The exceptions that drain failure domains, whatever command has added them. */
export function drainedDomains({exceptions}: FleetConfiguration): ConfigurationException[] {
	return exceptions.filter(({scope, key, value}) => scope.kind === 'failureDomain' && key === admitsWorkKey && value === false);
}

function withDomain(builder: Argv<ConnectionArguments>): Argv<ConnectionArguments> {
	return withChangeOptions(builder.positional('domain', {type: 'string', demandOption: true, describe: 'name of the failure domain'}));
}

async function list(context: CommandContext): Promise<number> {
	const result = await context.control.read<FleetConfiguration>('configuration');
	if (!result.ok) {
		return reportFailure(context, result.failure);
	}

	const drained = drainedDomains(result.value);
	context.print(context.json ? JSON.stringify(drained) : renderTable(['failure domain', 'reason', 'operator'], drained.map(({scope, reason, operator}) => [scope.name, reason, operator])));
	return 0;
}

const listCommand: Command = {
	command: 'list',
	describe: 'list the drained failure domains with the reasons',
	handler: async options => runCommand(options, list),
};

const drainCommand: Command = {
	command: 'drain <domain>',
	describe: 'send no new work to the targets of a failure domain; their running requests are completed',
	builder: withDomain,
	async handler(options) {
		const domainOptions = options as unknown as DomainArguments;
		await runCommand(options, async context => submitChange(context, domainOptions, () => [buildDomainDrainEdit(domainOptions)]));
	},
};

const restoreCommand: Command = {
	command: 'restore <domain>',
	describe: 'send work to the targets of a drained failure domain again',
	builder: withDomain,
	async handler(options) {
		const domainOptions = options as unknown as DomainArguments;
		await runCommand(options, async context => submitChange(context, domainOptions, () => [{kind: 'removeException', exceptionId: domainExceptionId(domainOptions.domain)}]));
	},
};

export const domainsCommand: Command = {
	command: 'domains',
	describe: 'list, drain and restore failure domains',
	builder: builder => builder.command([listCommand, drainCommand, restoreCommand]).demandCommand(1, 'Specify a subcommand; see --help.'),
	handler() {
		// Handled by the subcommands.
	},
};

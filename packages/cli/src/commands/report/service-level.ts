/** `rattanspring report service-level`: shows the burn rates of the service-level objectives over all entries. */

import {writeFile} from 'node:fs/promises';
import process from 'node:process';
import {
	buildReport, defaultObjectives, mergeSnapshots, renderHtml, type ServiceLevelReport,
} from '@rattanspring/service-level';
import type {CommandModule} from 'yargs';
import {type ConnectionArguments, exitCodes} from '../../connection.js';
import {createTable} from '../../table.js';
import {collectParts} from './collect.js';

type ServiceLevelArguments = ConnectionArguments & {readonly entry: readonly string[]; readonly html?: string};

export const serviceLevelCommand: CommandModule<ConnectionArguments, ServiceLevelArguments> = {
	command: 'service-level',
	describe: 'show burn rates of the service-level objectives; with RATTANSPRING_OPERATOR_KEY for all accounts, with RATTANSPRING_CALLER_KEY for its own account',
	builder: builder => builder.options({
		entry: {
			type: 'string', array: true, demandOption: true, describe: 'URLs of all entries',
		},
		html: {type: 'string', describe: 'write an HTML page with charts to this file'},
	}),
	handler: run,
};

async function run(options: ServiceLevelArguments): Promise<void> {
	const secret = process.env.RATTANSPRING_OPERATOR_KEY ?? process.env.RATTANSPRING_CALLER_KEY ?? '';
	const collected = await collectParts(options.entry, secret);
	for (const failure of collected.failures) {
		process.stderr.write(`rattanspring: ${failure.type}: ${failure.message}\n`);
	}

	const report = buildReport(mergeSnapshots(collected.parts), defaultObjectives, Date.now());
	if (options.html) {
		await writeFile(options.html, await renderHtml(report));
	}

	process.stdout.write(options.json ? `${JSON.stringify(report)}\n` : `${renderReport(report)}\n`);
	process.exitCode = collected.failures.length > 0 ? exitCodes.unreachable : 0;
}

function renderReport(report: ServiceLevelReport): string {
	const table = createTable(['service', 'client account', 'objective', 'requests', 'bad', '5 min', '1 h', '6 h', 'budget left']);
	for (const line of report.lines) {
		const rates = line.burnRates.map(({rate}) => rate.toFixed(2));
		table.push([line.service, line.clientAccount, line.objective, line.total, line.bad, ...rates, `${(line.budgetLeft * 100).toFixed(1)} %`]);
	}

	return table.toString();
}

/** `rattanspring report shares`: shows what client accounts asked for, were admitted and were owed, over all entries. */

import {writeFile} from 'node:fs/promises';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {buildSharesReport, renderSharesHtml, type SharesReport} from '@rattanspring/service-level';
import type {CommandModule} from 'yargs';
import {type ConnectionArguments, exitCodes} from '../../connection.js';
import {createTable} from '../../table.js';
import {collectCounters} from './share-counters.js';

type SharesArguments = ConnectionArguments & {readonly metrics: readonly string[]; readonly seconds: number; readonly samples: number; readonly html?: string};

export const sharesCommand: CommandModule<ConnectionArguments, SharesArguments> = {
	command: 'shares',
	describe: 'show what client accounts asked for, were admitted and were owed',
	builder: builder => builder.options({
		metrics: {
			type: 'string', array: true, demandOption: true, describe: 'URLs of the metrics of all entries',
		},
		seconds: {type: 'number', default: 10, describe: 'time between two readings'},
		samples: {type: 'number', default: 1, describe: 'number of reports, one after another'},
		html: {type: 'string', describe: 'write the last report as an HTML page to this file'},
	}),
	handler: run,
};

async function run(options: SharesArguments): Promise<void> {
	let fromMs = Date.now();
	let before = await collectCounters(options.metrics);
	let report: SharesReport | undefined;
	for (let sample = 0; sample < options.samples; sample++) {
		await sleep(options.seconds * 1000);
		const toMs = Date.now();
		const after = await collectCounters(options.metrics);
		report = buildSharesReport(before.counts, after.counts, {fromMs, toMs});
		process.stdout.write(options.json ? `${JSON.stringify(report)}\n` : `${renderReport(report)}\n`);
		before = after;
		fromMs = toMs;
	}

	for (const failure of before.failures) {
		process.stderr.write(`rattanspring: ${failure.type}: ${failure.message}\n`);
	}

	if (options.html && report) {
		await writeFile(options.html, renderSharesHtml(report));
	}

	process.exitCode = before.failures.length > 0 ? exitCodes.unreachable : 0;
}

function renderReport(report: SharesReport): string {
	const table = createTable(['service', 'client account', 'asked', 'admitted', 'refused', 'share used', 'share owed', 'wait p95', 'by failure domain']);
	for (const line of report.lines) {
		const wait = line.waitP95Seconds === undefined ? '' : `${line.waitP95Seconds} s`;
		const domains = Object.entries(line.byFailureDomain).map(([name, admitted]) => `${name} ${admitted.toFixed(0)}`).join(', ');
		table.push([line.service, line.account, line.asked.toFixed(0), line.admitted.toFixed(0), line.refused.toFixed(0), percent(line.usedShare), percent(line.owedShare), wait, domains]);
	}

	return `${new Date(report.fromMs).toISOString()} to ${new Date(report.toMs).toISOString()}\n${table.toString()}`;
}

function percent(share: number): string {
	return `${(share * 100).toFixed(1)} %`;
}

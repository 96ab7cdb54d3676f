/** `rattanspring report losses`: shows when and why callers got late answers or none, from the log files of the entries. */

import {readFile} from 'node:fs/promises';
import process from 'node:process';
import type {CommandModule} from 'yargs';
import type {ConnectionArguments} from '../../connection.js';
import {createTable} from '../../table.js';
import {buildLossReport, type LossInterval, requestFates} from './loss-report.js';

type LossesArguments = ConnectionArguments & {readonly log: readonly string[]; readonly intervalS: number};

export const lossesCommand: CommandModule<ConnectionArguments, LossesArguments> = {
	command: 'losses',
	describe: 'show when and why callers got late answers or none, from log files of entries',
	builder: builder => builder.options({
		log: {
			type: 'string', array: true, demandOption: true, describe: 'log files of entries',
		},
		intervalS: {type: 'number', default: 60, describe: 'length of an interval in seconds'},
	}),
	handler: run,
};

async function run({log, intervalS, json}: LossesArguments): Promise<void> {
	const texts = await Promise.all(log.map(async file => readFile(file, 'utf8')));
	const report = buildLossReport(texts.flatMap(text => text.split('\n')), intervalS * 1000);
	process.stdout.write(json ? `${JSON.stringify(report)}\n` : `${renderLosses(report)}\n`);
}

function renderLosses(report: readonly LossInterval[]): string {
	const table = createTable(['from', ...requestFates, 'reasons']);
	for (const {fromMs, counts, reasons} of report) {
		const named = Object.entries(reasons).map(([reason, count]) => `${reason} ${count}`).join(', ');
		table.push([new Date(fromMs).toISOString(), ...requestFates.map(fate => counts[fate]), named]);
	}

	return table.toString();
}

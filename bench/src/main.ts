/** The bench runner: `npm run bench -- list`, `npm run --silent bench -- NAME --seed N --json`. */

import {readdir} from 'node:fs/promises';
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {type Experiment, reportOf} from './experiment.js';

const exitBoundMissed = 1;

const exitUsage = 2;

const folder = new URL('experiments/', import.meta.url);

async function experimentNames(): Promise<string[]> {
	const files = await readdir(folder);
	return files.filter(file => /^[a-z\d-]+\.js$/.test(file)).map(file => file.slice(0, -3)).toSorted();
}

async function load(name: string): Promise<Experiment> {
	const module = await import(new URL(`${name}.js`, folder).href) as {default: Experiment};
	return module.default;
}

async function list(): Promise<void> {
	for (const name of await experimentNames()) {
		const {summary} = await load(name);
		process.stdout.write(`${name.padEnd(24)}${summary}\n`);
	}
}

const options = await yargs(hideBin(process.argv))
	.scriptName('bench')
	.usage('$0 list | NAME [--seed N] [--json]')
	.option('seed', {type: 'number', default: 1, describe: 'seed of all randomness'})
	.option('json', {type: 'boolean', default: false, describe: 'print only the report, as one JSON object'})
	.demandCommand(1, 1)
	.strictOptions()
	.parse();
const name = String(options._[0]);

if (name === 'list') {
	await list();
	process.exit(0);
}

const names = await experimentNames();
if (!names.includes(name)) {
	process.stderr.write(`bench: no experiment "${name}"; there are: ${names.join(', ')}\n`);
	process.exit(exitUsage);
}

const experiment = await load(name);
const result = await experiment.run({
	seed: options.seed,
	log(line) {
		if (!options.json) {
			process.stderr.write(`${line}\n`);
		}
	},
});
const report = reportOf(name, options.seed, result);
process.stdout.write(`${JSON.stringify(report)}\n`);
process.exit(report.pass ? 0 : exitBoundMissed);

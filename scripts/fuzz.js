/**
Runs all fuzz targets, or only the named ones: `npm run fuzz -- --seed N --runs M [NAME...]`.

A fuzz target is a file `NAME.fuzz.ts` in a package whose default export is a function. The function takes `{seed, runs}`,
throws if an invariant is violated, and returns figures.
*/

import {readdir} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath, pathToFileURL} from 'node:url';
import {parseArgs} from 'node:util';

const exitViolation = 1;
const exitUsage = 2;
const suffix = '.fuzz.js';
const packagesFolder = fileURLToPath(new URL('../packages/', import.meta.url));

async function findTargets() {
	const found = [];
	for (const name of await readdir(packagesFolder)) {
		const folder = path.join(packagesFolder, name, 'dist');
		const files = await readdir(folder, {recursive: true}).catch(() => []);
		for (const file of files.filter(candidate => candidate.endsWith(suffix))) {
			const target = await loadTarget(path.join(folder, file));
			found.push(...target);
		}
	}

	return found.toSorted((left, right) => left.name.localeCompare(right.name));
}

async function loadTarget(file) {
	const {default: fuzz} = await import(pathToFileURL(file).href);
	return typeof fuzz === 'function' ? [{name: path.basename(file, suffix), fuzz}] : [];
}

const {values, positionals} = parseArgs({
	options: {seed: {type: 'string', default: '1'}, runs: {type: 'string', default: '1000'}},
	allowPositionals: true,
});
const options = {seed: Number(values.seed), runs: Number(values.runs)};
const targets = await findTargets();
const chosen = positionals.length === 0 ? targets : targets.filter(target => positionals.includes(target.name));
if (!Number.isSafeInteger(options.seed) || !Number.isSafeInteger(options.runs) || chosen.length === 0) {
	process.stderr.write(`fuzz: usage: npm run fuzz -- --seed N --runs M [NAME...]; targets: ${targets.map(target => target.name).join(', ')}\n`);
	process.exit(exitUsage);
}

for (const {name, fuzz} of chosen) {
	const startedAtMs = Date.now();
	try {
		const figures = await fuzz(options);
		const durationMs = Date.now() - startedAtMs;
		const report = {
			target: name, ...options, figures, durationMs,
		};
		process.stdout.write(`${JSON.stringify(report)}\n`);
	} catch (error) {
		const cause = error.cause?.failure ?? String(error.cause);
		process.stderr.write(`fuzz: ${name}: ${error.message}\n${JSON.stringify(cause)}\n`);
		process.exitCode = exitViolation;
	}
}

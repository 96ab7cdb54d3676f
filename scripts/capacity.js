/**
Regenerates the table in docs/CAPACITY.md from docs/measurements. With `--check`, changes nothing and exits with code 1 if the
page does not match the measurements.
*/

import {readFile, writeFile} from 'node:fs/promises';
import process from 'node:process';

const page = new URL('../docs/CAPACITY.md', import.meta.url);
const measurement = new URL('../docs/measurements/control-cost.seed-1.json', import.meta.url);
const begin = '<!-- capacity: begin -->';
const end = '<!-- capacity: end -->';

/** Sizes and limits from the roadmap. */
const daemonsPerRelay = 190;
const targetsInSubset = 210;
const changesPerSecond = 11_000 / 86_400;
const cpuLimitPercent = 2.2;
const memoryLimitMib = 244;
const bytesLimit = 9000;

function rounded(value, digits = 1) {
	return value.toFixed(digits);
}

function relayRow(runs) {
	const [few, many] = runs;
	const cpuSlope = (many.relayCpuPercent - few.relayCpuPercent) / (many.daemons - few.daemons);
	const memorySlope = (many.relayMemoryMib - few.relayMemoryMib) / (many.daemons - few.daemons);
	const extra = daemonsPerRelay - few.daemons;
	return {cpu: few.relayCpuPercent + (cpuSlope * extra), memory: few.relayMemoryMib + (memorySlope * extra)};
}

function tableOf({figures}) {
	const relay = relayRow(figures.runs);
	const verdict = (value, limit) => value <= limit ? 'fits' : '**does not fit**';
	return [
		'| role | what | measured today (8 daemons, 10 targets) | at the two-year size | limit | |',
		'|---|---|---|---|---|---|',
		`| daemon (entry and agent) | processor, % of a core | ${rounded(figures.cpuPercent)} | ${rounded(figures.twoYearCpuPercent)} | ${cpuLimitPercent} | ${verdict(figures.twoYearCpuPercent, cpuLimitPercent)} |`,
		`| daemon (entry and agent) | memory, MiB | ${rounded(figures.memoryMib, 0)} | ${rounded(figures.twoYearMemoryMib, 0)} | ${memoryLimitMib} | ${verdict(figures.twoYearMemoryMib, memoryLimitMib)} |`,
		`| daemon (entry and agent) | bytes a second | ${rounded(figures.bytesPerSecond, 0)} | ${rounded(figures.twoYearBytesPerSecond, 0)} | ${bytesLimit} | ${verdict(figures.twoYearBytesPerSecond, bytesLimit)} |`,
		`| relay, ${daemonsPerRelay} daemons | processor, % of a core | ${rounded(figures.runs[0].relayCpuPercent)} | ${rounded(relay.cpu)} | 100 (one thread) | ${verdict(relay.cpu, 100)} |`,
		`| relay, ${daemonsPerRelay} daemons | memory, MiB | ${rounded(figures.runs[0].relayMemoryMib, 0)} | ${rounded(relay.memory, 0)} | VM of its own | |`,
		'',
		`Slopes: ${rounded(figures.cpuPercentPerDaemon, 3)} % of a core and ${rounded(figures.bytesPerSecondPerDaemon)} bytes/s for each further daemon behind the relay, ${rounded(figures.bytesPerSecondPerTarget)} bytes/s for each target (${targetsInSubset} measured), ${rounded(figures.bytesPerSecondPerChangeRate)} bytes/s and ${rounded(figures.cpuPercentPerChangeRate, 3)} % for one change a second (two-year rate ${rounded(changesPerSecond, 3)}/s).`,
	].join('\n');
}

const text = await readFile(page, 'utf8');
const report = JSON.parse(await readFile(measurement, 'utf8'));
const from = text.indexOf(begin) + begin.length;
const to = text.indexOf(end);
const expected = `${text.slice(0, from)}\n${tableOf(report)}\n${text.slice(to)}`;

if (!process.argv.includes('--check')) {
	await writeFile(page, expected);
} else if (expected !== text) {
	process.stderr.write('capacity: docs/CAPACITY.md does not match docs/measurements; run "npm run capacity"\n');
	process.exit(1);
}

/** Plots skew against loaded bytes for every cost weight in a report of `expert-balance`: `node bench/dist/plot-expert-balance.js REPORT.json >CURVE.svg`. */

import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {parse, View} from 'vega';
import {compile, type TopLevelSpec} from 'vega-lite';
import type {TrialRow} from './expert-load/trial.js';

const widthPx = 640;
const heightPx = 400;

const {figures} = JSON.parse(await readFile(process.argv[2], 'utf8')) as {figures: {curve: readonly TrialRow[]}};
const values = figures.curve
	.filter(row => row.strategy !== 'lower bound')
	.map(row => ({...row, loadedGigabytes: row.loadedBytes / 1e9, kind: row.strategy.startsWith('costWeight') ? 'planner' : 'baseline'}));
const specification: TopLevelSpec = {
	$schema: 'https://vega.github.io/schema/vega-lite/v5.json',
	width: widthPx,
	height: heightPx,
	data: {values},
	encoding: {
		x: {
			field: 'loadedGigabytes', type: 'quantitative', scale: {type: 'symlog'}, title: 'weights loaded, GB (symmetric logarithm)',
		},
		y: {
			field: 'meanSkew', type: 'quantitative', scale: {zero: false}, title: 'mean step-time skew (slowest rank / mean)',
		},
	},
	layer: [
		{mark: 'point', encoding: {color: {field: 'kind', type: 'nominal'}}},
		{mark: {type: 'text', align: 'left', dx: 6}, encoding: {text: {field: 'strategy', type: 'nominal'}}},
	],
};
const view = new View(parse(compile(specification).spec), {renderer: 'none'});
process.stdout.write(`${await view.toSVG()}\n`);

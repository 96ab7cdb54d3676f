/** Renders the report as a self-contained HTML page with plots, without a browser or network access. */

import type {TopLevelSpec} from 'vega-lite';
import type {ReportLine, ServiceLevelReport} from './report.js';

const plotWidthPx = 640;
const rowHeightPx = 18;

export async function renderHtml(report: ServiceLevelReport): Promise<string> {
	const burn = await renderSvg(burnSpec(report));
	const places = await renderSvg(placesSpec(report));
	return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>Service-level burn</title>
<style>
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 60rem; padding: 0 1rem; color: #222 }
table { border-collapse: collapse; margin: 1rem 0 } td, th { padding: .25rem .75rem; border-bottom: 1px solid #ddd; text-align: right }
td:first-child, th:first-child, td:nth-child(2), th:nth-child(2), td:nth-child(3), th:nth-child(3) { text-align: left }
.fast { background: #fde8e8 }
</style>
<h1>Service-level burn</h1>
<p>As of ${new Intl.DateTimeFormat('en-GB', {dateStyle: 'long', timeStyle: 'long', timeZone: 'UTC'}).format(report.atMs)}. A burn rate of 1 consumes the error budget exactly; rows with
a coloured background burn fast both in the last five minutes and in the last hour.</p>
<h2>Burn rate over six hours</h2>
${burn}
<h2>Objectives</h2>
<table><tr><th>service</th><th>client account</th><th>objective</th><th>target</th><th>requests</th><th>bad</th><th>5 min</th><th>1 h</th><th>6 h</th><th>budget left</th></tr>
${report.lines.map(line => renderRow(line)).join('\n')}
</table>
<h2>Times</h2>
<table><tr><th>service</th><th>client account</th><th></th><th>first token p50</th><th>first token p95</th><th>longest gap p95</th></tr>
${report.times.map(times => `<tr><td>${escapeHtml(times.service)}</td><td>${escapeHtml(times.clientAccount)}</td><td></td><td>${formatMs(times.firstTokenP50Ms)}</td><td>${formatMs(times.firstTokenP95Ms)}</td><td>${formatMs(times.longestGapP95Ms)}</td></tr>`).join('\n')}
</table>
<h2>Bad requests in the last hour by target, failure domain and revision</h2>
${report.places.length === 0 ? '<p>There were no bad requests.</p>' : places}
</html>
`;
}

function renderRow(line: ReportLine): string {
	const rates = line.burnRates.map(({rate}) => `<td>${rate.toFixed(2)}</td>`).join('');
	const names = [line.service, line.clientAccount, line.objective].map(name => `<td>${escapeHtml(name)}</td>`).join('');
	const budget = `${(line.budgetLeft * 100).toFixed(1)} %`;
	return `<tr${line.burnsFast ? ' class="fast"' : ''}>${names}<td>${line.target}</td><td>${line.total}</td><td>${line.bad}</td>${rates}<td>${budget}</td></tr>`;
}

function formatMs(ms: number | undefined): string {
	return ms === undefined ? '' : `${ms} ms`;
}

function burnSpec(report: ServiceLevelReport): TopLevelSpec {
	const values = report.lines.map(line => ({name: `${line.service}, ${line.clientAccount}: ${line.objective}`, rate: line.burnRates.at(-1)?.rate ?? 0}));
	return {
		width: plotWidthPx,
		height: Math.max(1, values.length) * rowHeightPx,
		data: {values},
		layer: [
			{
				mark: 'bar',
				encoding: {
					y: {
						field: 'name', type: 'nominal', sort: '-x', title: '', axis: {labelLimit: 320},
					},
					x: {field: 'rate', type: 'quantitative', title: 'burn rate'},
					color: {condition: {test: 'datum.rate > 1', value: '#c0392b'}, value: '#2e86c1'},
				},
			},
			{mark: {type: 'rule', strokeDash: [4, 4]}, encoding: {x: {datum: 1}}},
		],
	};
}

function placesSpec(report: ServiceLevelReport): TopLevelSpec {
	return {
		width: plotWidthPx,
		height: Math.max(1, report.places.length) * rowHeightPx,
		data: {values: report.places.map(({place, bad}) => ({place, bad}))},
		mark: 'bar',
		encoding: {
			y: {
				field: 'place', type: 'nominal', sort: '-x', title: '', axis: {labelLimit: 320},
			},
			x: {field: 'bad', type: 'quantitative', title: 'bad requests'},
		},
	};
}

async function renderSvg(spec: TopLevelSpec): Promise<string> {
	// Loaded lazily, since daemons import this package without rendering and should not hold the plotting libraries in memory.
	const [vega, {compile}] = await Promise.all([import('vega'), import('vega-lite')]);
	const view = new vega.View(vega.parse(compile(spec).spec), {renderer: 'none'});
	return view.toSVG();
}

/** Escapes text for use in an HTML page. */
export function escapeHtml(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;');
}

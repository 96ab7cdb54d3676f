/** Renders the report of client accounts' shares as a self-contained HTML page. */

import {escapeHtml} from './html-report.js';
import type {ShareLine, SharesReport} from './shares-report.js';

const timeFormat = new Intl.DateTimeFormat('en-GB', {dateStyle: 'long', timeStyle: 'long', timeZone: 'UTC'});

export function renderSharesHtml({fromMs, toMs, lines}: SharesReport): string {
	return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>Shares of client accounts</title>
<style>
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 60rem; padding: 0 1rem; color: #222 }
table { border-collapse: collapse } td, th { padding: .25rem .75rem; border-bottom: 1px solid #ddd; text-align: right }
td:first-child, th:first-child, td:nth-child(2), th:nth-child(2) { text-align: left }
</style>
<h1>Shares of client accounts</h1>
<p>From ${timeFormat.format(fromMs)} to ${timeFormat.format(toMs)}. An account is owed what it asked for, or an equal part of the room by weight if that is less.</p>
<table><tr><th>service</th><th>client account</th><th>asked</th><th>admitted</th><th>refused</th><th>share used</th><th>share owed</th><th>wait p95</th></tr>
${lines.map(line => renderRow(line)).join('\n')}
</table>
</html>
`;
}

function renderRow(line: ShareLine): string {
	const names = [line.service, line.account].map(name => `<td>${escapeHtml(name)}</td>`).join('');
	const work = [line.asked, line.admitted, line.refused].map(value => `<td>${value.toFixed(0)}</td>`).join('');
	const shares = [line.usedShare, line.owedShare].map(value => `<td>${(value * 100).toFixed(1)} %</td>`).join('');
	return `<tr>${names}${work}${shares}<td>${line.waitP95Seconds === undefined ? '' : `${line.waitP95Seconds} s`}</td></tr>`;
}

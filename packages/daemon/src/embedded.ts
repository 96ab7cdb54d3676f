/**
The embedded mode, which needs no settings: one daemon with all roles and the stand-in targets, all in this process.
*/

import {mkdtemp, writeFile} from 'node:fs/promises';
import {createHash} from 'node:crypto';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {parseSettings} from '@rattanspring/settings';
import {EngineServer, PlainService} from '@rattanspring/stand-ins';
import {FailureError, type ConfigurationChange} from '@rattanspring/types';
import {startOrExit, stopAtSignal} from './run-daemon.js';

const host = '127.0.0.1';
const ports = {
	control: 7101, relay: 7102, entry: 7103, agent: 7104, admin: 7105,
};
const callerSecret = 'demo-caller-key';
const readyPollIntervalMs = 20;

const engine = new EngineServer({host, port: 0});
const orders = new PlainService({host, port: 0});
await Promise.all([engine.start(), orders.start()]);

const folder = await mkdtemp(path.join(tmpdir(), 'rattanspring-'));
const initialConfigurationFile = path.join(folder, 'initial-configuration.json');
const change: ConfigurationChange = {
	changeId: 'initial',
	baseRevision: 0,
	operator: 'embedded',
	reason: 'initial configuration of the embedded daemon',
	edits: [
		{kind: 'setDefault', key: 'routes.idempotent', value: ['POST /v1/chat/completions', 'GET /orders/*']},
		{
			kind: 'addCallerKey', callerKey: {keyId: 'demo', secretDigest: createHash('sha256').update(callerSecret).digest('hex'), clientAccount: 'demo'},
		},
	],
};
await writeFile(initialConfigurationFile, JSON.stringify(change));

const settings = parseSettings('embedded', JSON.stringify({
	vm: 'embedded',
	region: 'local',
	failureDomain: 'local-a',
	dataFolder: folder,
	transport: {mode: 'plaintext'},
	admin: {listen: {host, port: ports.admin}},
	roles: {
		control: {
			listen: {host, port: ports.control}, voterId: 'voter-1', initialVoters: [{voterId: 'voter-1', address: `${host}:${ports.control}`}], initialConfigurationFile,
		},
		relay: {listen: {host, port: ports.relay}, controlAddresses: [`${host}:${ports.control}`]},
		agent: {
			listen: {host, port: ports.agent},
			relayAddresses: [`${host}:${ports.relay}`],
			targets: [
				{
					targetId: 'engine-1', baseUrl: engine.url, kind: 'model', services: ['draft-model'],
				},
				{
					targetId: 'orders-1', baseUrl: orders.url, kind: 'plain', services: ['orders'],
				},
			],
		},
		entry: {
			listen: {host, port: ports.entry}, advertisedUrl: `http://${host}:${ports.entry}`, relayAddresses: [`${host}:${ports.relay}`],
			controlAddresses: [`${host}:${ports.control}`],
			transport: {mode: 'plaintext'},
		},
	},
}));
if (!settings.ok) {
	throw new FailureError(settings.failure[0]);
}

const daemon = await startOrExit(settings.value);
while (!daemon.isReady) {
	await new Promise(resolve => {
		setTimeout(resolve, readyPollIntervalMs);
	});
}

const entryUrl = `http://${host}:${ports.entry}`;
process.stdout.write(`entry    ${entryUrl}
admin    http://${host}:${ports.admin}
control  ${host}:${ports.control}

Stream a draft:
  curl -N -H 'Authorization: Bearer ${callerSecret}' -H 'Content-Type: application/json' -d '{"model":"draft-model","stream":true,"messages":[{"role":"user","content":"A Shabbat tray for eight"}]}' ${entryUrl}/v1/chat/completions

Place an order:
  curl -H 'Authorization: Bearer ${callerSecret}' -H 'Content-Type: application/json' -H 'Idempotency-Key: order-1' -d '{"reference":"tray-8"}' ${entryUrl}/orders/orders
`);

stopAtSignal(async () => {
	await daemon.stop();
	await Promise.all([engine.stop(), orders.stop()]);
});

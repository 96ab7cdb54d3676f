import {
	after, before, describe, it,
} from 'node:test';
import {EngineServer} from '@rattanspring/stand-ins';
import {expect} from 'earl';
import {
	startTestFleet, testCallerSecret, type TestFleet, waitUntil,
} from './test-fleet.js';

const authorization = `Bearer ${testCallerSecret}`;
const crashText = 'no engine survives this';

describe('routing through a fleet', () => {
	const engines: EngineServer[] = [];
	const crashed = new Set<EngineServer>();
	let fleet: TestFleet;

	before(async () => {
		for (let index = 0; index < 4; index++) {
			const engine: EngineServer = new EngineServer({
				host: '127.0.0.1',
				port: 0,
				engine: {stepMs: 2},
				crashText,
				onCrash() {
					crashed.add(engine);
					void engine.stop();
				},
			});
			await engine.start();
			engines.push(engine);
		}

		fleet = await startTestFleet({
			entries: 2,
			targets: engines.map((engine, index) => ({
				targetId: `engine-${index}`, baseUrl: engine.url, kind: 'model', services: ['draft-model'],
			})),
		});
		await waitUntil(async () => {
			const answers = await Promise.all(fleet.entryUrls.map(async url => ask(url, 'hello')));
			return answers.every(answer => answer.status === 200);
		});
	});

	after(async () => {
		await fleet.stop();
		await Promise.all(engines.map(async engine => engine.stop()));
	});

	async function ask(url: string, content: string): Promise<Response> {
		return fetch(`${url}/v1/chat/completions`, {
			method: 'POST',
			headers: {authorization, 'content-type': 'application/json'},
			body: JSON.stringify({model: 'draft-model', max_tokens: 2, messages: [{role: 'user', content}]}), // eslint-disable-line @typescript-eslint/naming-convention
		});
	}

	it('lists all entries for callers, in the same order at each entry', async () => {
		await waitUntil(async () => {
			const answers = await Promise.all(fleet.entryUrls.map(async url => {
				const answer = await fetch(`${url}/v1/entries`, {headers: {authorization}});
				return answer.json() as Promise<{entries: Array<{url: string}>; maxAgeMs: number}>;
			}));
			const [first, second] = answers;
			return first.entries.length === 2 && first.maxAgeMs > 0 && JSON.stringify(first) === JSON.stringify(second);
		});
	});

	it('limits the crashes to two targets when a crashing request is resent through other entries', async () => {
		const types: string[] = [];
		for (let sent = 0; sent < 6; sent++) {
			const answer = await ask(fleet.entryUrls[sent % 2], crashText);
			const problem = await answer.json() as {type: string};
			types.push(problem.type);
		}

		expect(crashed.size <= 2).toEqual(true);
		expect(types).toEqual(Array.from({length: 6}, () => 'suspectRefused'));
		const innocent = await ask(fleet.entryUrls[1], 'hello again');
		expect(innocent.status).toEqual(200);
	});
});

import net from 'node:net';
import process from 'node:process';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {freePorts} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {stopAccepting} from './index.js';

describe('a listener that is closed while connections wait for it', () => {
	it('resets none of them', async () => {
		const [port] = await freePorts(1);
		const server = net.createServer(socket => {
			socket.end('served');
		});
		await new Promise<void>(resolve => {
			server.listen(port, '127.0.0.1', 100, resolve);
		});
		const outcomes = Array.from({length: 30}, async () => new Promise<string>(resolve => {
			const socket = net.connect({host: '127.0.0.1', port});
			socket.on('data', chunk => {
				resolve(String(chunk));
			});
			socket.on('error', error => {
				resolve(error.message);
			});
		}));
		// The kernel has accepted all of them before the process looks for the first time.
		await new Promise(resolve => {
			process.nextTick(resolve);
		});
		await stopAccepting(server, 2000);
		expect(await Promise.all(outcomes)).toEqual(Array.from({length: 30}, () => 'served'));
		await sleep(10);
		expect(server.listening).toEqual(false);
	});
});

import http from 'node:http';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {CallLimits} from '@rattanspring/desired-state';
import {freePorts} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {CallerServer} from './caller-server.js';

const limits: CallLimits = {
	maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3000, idleTimeoutMs: 5000,
};

/** Sends one request; returns whether it went over a kept connection, and the status or the error. */
async function call(port: number, agent: http.Agent): Promise<readonly [boolean, string]> {
	return new Promise(resolve => {
		const request = http.get({host: '127.0.0.1', port, agent}, response => {
			response.resume();
			response.on('end', () => {
				resolve([request.reusedSocket, String(response.statusCode)]);
			});
		});
		request.on('error', error => {
			resolve([request.reusedSocket, error.message]);
		});
	});
}

describe('a connection that its caller may reuse for a while', () => {
	it('is not closed sooner when the idle timeout is lowered meanwhile', async () => {
		const [port] = await freePorts(1);
		const server = new CallerServer({
			host: '127.0.0.1', port, onRequest(request, response) {
				request.resume();
				response.end('x');
			},
		});
		const agent = new http.Agent({keepAlive: true, maxSockets: 1});
		server.setLimits(limits);
		await server.start();
		expect(await call(port, agent)).toEqual([false, '200']);
		server.setLimits({...limits, idleTimeoutMs: 100});
		await sleep(limits.idleTimeoutMs * 0.8);
		expect(await call(port, agent)).toEqual([true, '200']);
		agent.destroy();
		server.close();
	});
});

import {execFile} from 'node:child_process';
import {
	after, before, describe, it,
} from 'node:test';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import {
	Server, ServerCredentials, type sendUnaryData, type ServerUnaryCall,
} from '@grpc/grpc-js';
import {ordersProtocol} from '@rattanspring/protocol';
import {expect} from 'earl';

const program = fileURLToPath(new URL('../../main.js', import.meta.url));
const run = promisify(execFile); // eslint-disable-line @typescript-eslint/strict-void-return -- execFile has a custom promisify implementation
const host = '127.0.0.1';

const rank = ordersProtocol.RankRow.create({
	groupId: 'drafting', rank: 1, rankIncarnation: 5, fencing: 2, formation: 7, isReady: true, version: 9, fromStep: 40, pendingVersion: 10, pendingPhase: 'armed', begunStep: 41,
});

type ShowRanksCall = ServerUnaryCall<ordersProtocol.ShowRanksRequest, ordersProtocol.ShowRanksReply>;

describe('groups show', () => {
	const server = new Server();
	let address = '';

	before(async () => {
		server.addService(ordersProtocol.OrdersService, {
			showRanks(_call: ShowRanksCall, done: sendUnaryData<ordersProtocol.ShowRanksReply>) {
				done(null, {ranks: [rank]});
			},
		});
		const port = await new Promise<number>((resolve, reject) => {
			server.bindAsync(`${host}:0`, ServerCredentials.createInsecure(), (error, bound) => {
				if (error) {
					reject(error);
				} else {
					resolve(bound);
				}
			});
		});
		address = `${host}:${port}`;
	});

	after(() => {
		server.forceShutdown();
	});

	it('prints the ranks that an agent manages as JSON', async () => {
		const {stdout} = await run(process.execPath, [program, 'groups', 'show', '--agent', address, '--json']);
		expect(JSON.parse(stdout)).toEqual([rank]);
	});

	it('prints a table', async () => {
		const {stdout} = await run(process.execPath, [program, 'groups', 'show', '--agent', address]);
		expect(stdout.includes('drafting')).toEqual(true);
		expect(stdout.includes('armed')).toEqual(true);
	});

	it('names an unreachable agent and exits with a failure', async () => {
		let failure = {code: 0, stderr: ''};
		try {
			await run(process.execPath, [program, 'groups', 'show', '--agent', '127.0.0.1:1']);
		} catch (error) {
			failure = error as typeof failure;
		}

		expect(failure.code).toEqual(5);
		expect(failure.stderr.includes('agent 127.0.0.1:1')).toEqual(true);
	});
});

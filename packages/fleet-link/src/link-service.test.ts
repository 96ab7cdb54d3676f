import {Buffer} from 'node:buffer';
import {after, describe, it} from 'node:test';
import {
	type handleUnaryCall, Server, ServerCredentials,
} from '@grpc/grpc-js';
import {expect} from 'earl';
import * as fc from 'fast-check';
import {LinkCalls} from './link-calls.js';
import {linkService, type RankReply, type RankRequest} from './link-service.js';
import {maxMessageValues, messageValues} from './message-values.js';

const {requestSerialize, requestDeserialize, responseSerialize, responseDeserialize} = linkService.rank;

function tryParse(bytes: Buffer): unknown {
	try {
		return responseDeserialize(bytes);
	} catch {
		return undefined;
	}
}

describe('messages of the method rank', () => {
	it('are the same after decoding, with and without an attachment', () => {
		const request: RankRequest = {targetAddress: 'target', kind: 'order', order: {kind: 'go', step: 5}};
		expect(requestDeserialize(requestSerialize(request))).toEqual(request);
		const attachment = Buffer.from([0, 123, 255]);
		expect(requestDeserialize(requestSerialize({...request, attachment}))).toEqual({...request, attachment});
		expect(responseDeserialize(responseSerialize({answer: 'done', attachment}))).toEqual({answer: 'done', attachment});
		expect(responseDeserialize(responseSerialize({answer: 'done', attachment: Buffer.alloc(0)}))).toEqual({answer: 'done', attachment: Buffer.alloc(0)});
	});

	it('are JSON texts unless they have an attachment', () => {
		expect(responseSerialize({answer: 'done'}).toString()).toEqual('{"answer":"done"}');
		expect(requestDeserialize(Buffer.from('{"targetAddress":"target","kind":"state"}'))).toEqual({targetAddress: 'target', kind: 'state'});
	});

	it('fail the call if their bytes are damaged', () => {
		for (const bytes of [[], [1], [1, 0, 0, 0], [1, 0, 0, 0, 9, 123, 125], [1, 255, 255, 255, 255], [...Buffer.from('null')], [...Buffer.from('{"kind":"state"}')]]) {
			expect(() => requestDeserialize(Buffer.from(bytes))).toThrow();
		}
	});

	it('are either objects or refused, whatever the bytes are', () => {
		fc.assert(fc.property(fc.uint8Array(), fc.boolean(), (bytes, isMarked) => {
			const message = tryParse(Buffer.from(isMarked ? [1, 0, 0, 0, ...bytes] : bytes)) ?? {};
			expect(typeof message).toEqual('object');
		}));
	});
});

describe('requests of any daemon', () => {
	it('with more values than any has are refused before they are parsed, and told of', () => {
		let toldCount = 0;
		messageValues.onExceeded = () => {
			toldCount++;
		};

		const listOf = (count: number) => `"values":[${'0,'.repeat(count)}0]}`;
		const requests = [
			[linkService.join.requestDeserialize, '{"address":"a",'],
			[linkService.trial.requestDeserialize, '{"component":"c",'],
			[linkService.follow.requestDeserialize, '{"type":"beat",'],
			[linkService.rank.requestDeserialize, '{"targetAddress":"t","kind":"state",'],
		] as const;
		for (const [deserialize, begin] of requests) {
			expect(() => deserialize(Buffer.from(begin + listOf(maxMessageValues - 100)))).not.toThrow();
			expect(() => deserialize(Buffer.from(begin + listOf(maxMessageValues)))).toThrow('The message has too many values.');
		}

		expect(toldCount).toEqual(requests.length);
	});
});

describe('messages about targets', () => {
	const report = {
		targetId: 't', bornMs: 1, sequence: 1, service: 's', address: '10.0.0.1:80', failureDomain: 'a', slots: 8, state: 'ready',
	};
	const odd = [
		{...report, address: '10.0.0.1:65536'},
		{...report, slots: 1e308},
		{...report, bornMs: Number.MAX_SAFE_INTEGER},
		{...report, state: 'lost'},
		{...report, targetId: ''},
		{...report, service: undefined},
		{
			...report, rankPlace: {
				group: 'g', epoch: 1, rank: 0, size: 2 ** 32, isOpen: true,
			},
		},
		1,
		null,
		[],
	];
	const parse = (message: object) => linkService.follow.responseDeserialize(Buffer.from(JSON.stringify(message)));

	it('hold but for odd entries, which a build that checks less may pass on', () => {
		expect(parse({type: 'targets', reports: [...odd, report]})).toEqual({type: 'targets', reports: [report as never]});
		const heartbeat = {targetId: 't', bornMs: 1, sequence: 1};
		expect(parse({type: 'heartbeats', targets: [{...heartbeat, sequence: 1e300}, {...heartbeat, bornMs: -1}, null, heartbeat]})).toEqual({type: 'heartbeats', targets: [heartbeat]});
		const row = ['10.0.0.1:80', 1, 1, 0, 0, 0, 1];
		const loads = parse({type: 'loads', rows: [row.slice(1), [...row, 'g', 1, 0, 2 ** 32, 1, null], null, row]});
		expect(loads.type === 'loads' ? loads.loads.map(({address}) => address) : []).toEqual(['10.0.0.1:80']);
	});
});

describe('calls of the method rank', () => {
	const server = new Server();
	const calls = new LinkCalls();
	after(() => {
		calls.close();
		server.forceShutdown();
	});

	it('fail on damaged bytes in either direction, and later ones are answered', async () => {
		const {rank} = linkService;
		let damagedReply = false;
		const handler: handleUnaryCall<RankRequest, RankReply> = (call, done) => {
			done(null, {answer: call.request.kind});
		};

		server.addService({rank: {...rank, responseSerialize: (reply: RankReply) => damagedReply ? Buffer.from([1, 0]) : rank.responseSerialize(reply)}}, {rank: handler});
		const port = await new Promise<number>((resolve, reject) => {
			server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (error, bound) => {
				if (error) {
					reject(error);
				} else {
					resolve(bound);
				}
			});
		});
		const request: RankRequest = {targetAddress: 'target', kind: 'state'};
		const call = async (method = rank): Promise<RankReply | undefined> => calls.call(`127.0.0.1:${port}`, method, request, 5000);
		expect(await call()).toEqual({answer: 'state'});
		expect(await call({...rank, requestSerialize: () => Buffer.from([1, 255, 255, 255, 255])})).toEqual(undefined);
		damagedReply = true;
		expect(await call()).toEqual(undefined);
		damagedReply = false;
		expect(await call()).toEqual({answer: 'state'});
	});
});

import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	type AddressInfo, connect, createServer, type Server, type Socket,
} from 'node:net';
import {describe, it} from 'node:test';
import {Server as GrpcServer, ServerCredentials} from '@grpc/grpc-js';
import {
	currentMembership, initialLog, LogStorage, type Membership, type RecoveredLog, StateMachine,
} from '@rattanspring/replicated-log';
import {expect} from 'earl';
import {GrpcPeerTransport} from './grpc-peer-transport.js';
import {peerService} from './peer-service.js';
import {ReplicaDriver} from './replica-driver.js';
import {SystemClock} from './system-clock.js';
import {waitFor} from './wait-for.js';

const megabyte = 1_000_000;
const host = '127.0.0.1';
const replica = {clockDriftBound: 1, electionTimeoutMs: 600, heartbeatIntervalMs: 120};

/** Passes connections on to a server; each carries `bytesPerMs` towards it. */
class SlowLink {
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();

	constructor(toPort: number, bytesPerMs: number) {
		this.#server = createServer(socket => {
			const target = connect(toPort, host);
			this.#join(socket, target);
			this.#join(target, socket);
			target.pipe(socket);
			passOn(socket, target, bytesPerMs);
		});
	}

	async listen(): Promise<string> {
		this.#server.listen(0, host);
		await once(this.#server, 'listening');
		return `${host}:${(this.#server.address() as AddressInfo).port}`;
	}

	close(): void {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#join(socket: Socket, other: Socket): void {
		this.#sockets.add(socket);
		socket.setNoDelay(true);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this.#sockets.delete(socket);
			other.destroy();
		});
	}
}

function passOn(from: Socket, to: Socket, bytesPerMs: number): void {
	let freeAtMs = 0;
	from.on('data', (chunk: Uint8Array) => {
		freeAtMs = Math.max(freeAtMs, performance.now()) + (chunk.byteLength / bytesPerMs);
		from.pause();
		setTimeout(() => {
			to.write(chunk);
			from.resume();
		}, freeAtMs - performance.now());
	});
}

/** Counts writes and stores nothing, since no voter of the test restarts. */
class CountingStorage extends LogStorage {
	writes = 0;

	async recover(): Promise<RecoveredLog> {
		return {voteState: {term: 0}, entries: []};
	}

	async append(): Promise<void> {
		this.writes++;
	}

	async saveVoteState(): Promise<void> {
		this.writes++;
	}

	async saveSnapshot(): Promise<void> {
		this.writes++;
	}

	async close(): Promise<void> {
		this.writes = 0;
	}
}

/** Returns the size of each command. */
class SizeMachine extends StateMachine<number> {
	#lastBytes = 0;

	apply(command: Uint8Array): number {
		this.#lastBytes = command.byteLength;
		return this.#lastBytes;
	}

	restore(state: Uint8Array): void {
		this.#lastBytes = state.byteLength;
	}

	serialize(): Uint8Array {
		return new Uint8Array(this.#lastBytes);
	}
}

/** A voter behind a slow link. */
class TestVoter {
	readonly voterId: string;
	driver: ReplicaDriver<number> | undefined;
	roleChanges = 0;
	address = '';
	readonly #transport = new GrpcPeerTransport({});
	readonly #server = new GrpcServer();
	#link: SlowLink | undefined;

	constructor(voterId: string) {
		this.voterId = voterId;
	}

	async listen(bytesPerMs: number): Promise<void> {
		const {definition, implementation} = peerService({
			voterId: () => this.voterId,
			membership: () => this.driver && currentMembership(this.driver.state),
			receive: (envelope, fromAddress) => {
				this.driver?.receive(envelope, fromAddress);
			},
			confirmIndex: async () => undefined,
		});
		this.#server.addService(definition, implementation);
		const port = await new Promise<number>((resolve, reject) => {
			this.#server.bindAsync(`${host}:0`, ServerCredentials.createInsecure(), (error, boundPort) => {
				if (error) {
					reject(error);
				} else {
					resolve(boundPort);
				}
			});
		});
		this.#link = new SlowLink(port, bytesPerMs);
		this.address = await this.#link.listen();
	}

	start(membership: Membership): void {
		this.driver = new ReplicaDriver({
			voterId: this.voterId,
			storage: new CountingStorage(),
			transport: this.#transport,
			stateMachine: new SizeMachine(),
			clock: new SystemClock(),
			random: Math.random,
			replica,
			snapshotEveryEntries: 64,
			onApplied: () => undefined,
			onRoleChanged: () => {
				this.roleChanges++;
			},
		}, initialLog(membership));
		this.driver.start();
	}

	async stop(): Promise<void> {
		await this.driver?.stop();
		this.#transport.close();
		this.#server.forceShutdown();
		this.#link?.close();
	}
}

async function startVoters(bytesPerMs: number): Promise<{readonly voters: TestVoter[]; readonly leader: TestVoter}> {
	const voters = ['a', 'b', 'c'].map(voterId => new TestVoter(voterId));
	await Promise.all(voters.map(async voter => voter.listen(bytesPerMs)));
	const membership = {voters: voters.map(({voterId, address}) => ({voterId, address})), learners: []};
	for (const voter of voters) {
		voter.start(membership);
	}

	const findLeader = (): TestVoter | undefined => voters.find(({driver}) => driver!.state.role === 'leader' && driver!.appliedIndex > 0);
	expect(await waitFor(() => findLeader() !== undefined, 10_000)).toEqual(true);
	const leader = findLeader()!;
	expect(await waitFor(() => voters.every(({driver}) => driver!.state.leaderId === leader.voterId), 10_000)).toEqual(true);
	return {voters, leader};
}

describe('voters connected by slow links', () => {
	for (const {bytes, bytesPerMs} of [{bytes: 4 * megabyte, bytesPerMs: 2000}, {bytes: 0.42 * megabyte, bytesPerMs: 100}]) {
		it(`acknowledge a command of ${bytes / megabyte} MB at ${bytesPerMs / 1000} MB/s within twice its transfer time, and keep their leader`, async test => {
			const {voters, leader} = await startVoters(bytesPerMs);
			const changesBefore = voters.map(({roleChanges}) => roleChanges);
			const startMs = performance.now();
			const result = await leader.driver!.propose(Buffer.alloc(bytes, 1));
			const tookMs = performance.now() - startMs;
			const changes = voters.map(({roleChanges}, index) => roleChanges - changesBefore[index]);
			await Promise.all(voters.map(async voter => voter.stop()));
			test.diagnostic(`${result.ok ? 'acknowledged' : result.failure.type} after ${Math.round(tookMs)} ms, changes of role: ${changes.join(', ')}`);
			expect(result).toEqual({ok: true, value: bytes});
			expect(changes).toEqual([0, 0, 0]);
			expect(tookMs <= 2 * bytes / bytesPerMs).toEqual(true);
		});
	}
});

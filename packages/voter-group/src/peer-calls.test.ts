import {once} from 'node:events';
import {
	type AddressInfo, connect, createServer, type Server, type Socket,
} from 'node:net';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {Server as GrpcServer, ServerCredentials} from '@grpc/grpc-js';
import {expect} from 'earl';
import {PeerCalls} from './peer-calls.js';
import {peerService} from './peer-service.js';

const host = '127.0.0.1';

/** A link whose open connections can go silent for good, while new ones work. */
class FallibleLink {
	readonly #server: Server;
	readonly #open = new Set<Socket>();

	constructor(toPort: number) {
		this.#server = createServer(socket => {
			const target = connect(toPort, host);
			for (const side of [socket, target]) {
				this.#open.add(side);
				side.on('error', () => undefined);
				side.on('close', () => {
					this.#open.delete(side);
					socket.destroy();
					target.destroy();
				});
			}

			socket.pipe(target);
			target.pipe(socket);
		});
	}

	async listen(): Promise<string> {
		this.#server.listen(0, host);
		await once(this.#server, 'listening');
		return `${host}:${(this.#server.address() as AddressInfo).port}`;
	}

	silence(): void {
		for (const socket of this.#open) {
			socket.unpipe();
			socket.pause();
		}
	}

	close(): void {
		this.#server.close();
		for (const socket of this.#open) {
			socket.destroy();
		}
	}
}

describe('calls to a voter whose connection has gone silent', () => {
	const server = new GrpcServer();
	const calls = new PeerCalls(undefined);
	let link: FallibleLink;
	let address: string;

	beforeEach(async () => {
		const {definition, implementation} = peerService({
			voterId: () => 'v', membership: () => undefined, receive: () => undefined, confirmIndex: async () => 7,
		});
		server.addService(definition, implementation);
		const port = await new Promise<number>((resolve, reject) => {
			server.bindAsync(`${host}:0`, ServerCredentials.createInsecure(), (error, bound) => {
				if (error) {
					reject(error);
				} else {
					resolve(bound);
				}
			});
		});
		link = new FallibleLink(port);
		address = await link.listen();
	});
	afterEach(() => {
		calls.close();
		link.close();
		server.forceShutdown();
	});

	it('get a new connection after the first that has failed', async () => {
		expect(await calls.confirmIndex(address)).toEqual(7);
		link.silence();
		expect(await calls.confirmIndex(address)).toEqual(undefined);
		expect(await calls.confirmIndex(address)).toEqual(7);
	});
});

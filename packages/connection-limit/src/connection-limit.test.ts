import type {Socket} from 'node:net';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {ConnectionLimit, connectionsFor, type LimitExceeded} from './index.js';

/** What the limit uses of a socket. */
class FakeSocket {
	bytesRead = 0;
	bytesWritten = 0;
	writableLength = 0;
	isClosed = false;
	readonly name: string;
	#onClose: (() => void) | undefined;

	constructor(name: string) {
		this.name = name;
	}

	once(_event: 'close', listener: () => void): void {
		this.#onClose = listener;
	}

	destroy(): void {
		this.isClosed = true;
		this.#onClose?.();
	}
}

const admit = (limit: ConnectionLimit, socket: FakeSocket) => limit.admit(socket as unknown as Socket);

describe('ConnectionLimit', () => {
	it('closes the connections on which nothing has moved for longest, and not those in use', () => {
		let nowMs = 0;
		const busy = new Set<string>();
		const events: LimitExceeded[] = [];
		const limit = new ConnectionLimit({
			maxConnections: 4,
			nowMs: () => nowMs,
			isBusy: socket => busy.has((socket as unknown as FakeSocket).name),
			onExceeded(event) {
				events.push(event);
			},
		});
		const sockets = ['a', 'b', 'c', 'd', 'e', 'f'].map(name => new FakeSocket(name));
		for (const socket of sockets.slice(0, 4)) {
			admit(limit, socket);
			nowMs += 10;
		}

		busy.add('a');
		admit(limit, sockets[4]);
		sockets[2].bytesRead = 1;
		nowMs += 10;
		admit(limit, sockets[5]);
		expect(sockets.filter(({isClosed}) => isClosed).map(({name}) => name)).toEqual(['b', 'd']);
		expect(events).toEqual([{
			closedCount: 1, refusedCount: 0, openCount: 3, maxConnections: 4,
		}, {
			closedCount: 1, refusedCount: 0, openCount: 3, maxConnections: 4,
		}]);
	});

	it('refuses a new connection only if all others are in use', () => {
		const limit = new ConnectionLimit({maxConnections: 2, isBusy: () => true});
		const sockets = ['a', 'b', 'c'].map(name => new FakeSocket(name));
		expect(sockets.map(socket => admit(limit, socket))).toEqual([true, true, false]);
		expect(sockets.map(({isClosed}) => isClosed)).toEqual([false, false, true]);
		sockets[0].destroy();
		expect(admit(limit, new FakeSocket('d'))).toEqual(true);
	});

	it('looks at each connection a bounded number of times a new one, however many there are', () => {
		const looksPerConnection = (maxConnections: number) => {
			let looks = 0;
			const limit = new ConnectionLimit({
				maxConnections, isBusy() {
					looks++;
					return false;
				},
			});
			for (let count = 0; count < 4 * maxConnections; count++) {
				admit(limit, new FakeSocket(''));
			}

			return looks / (4 * maxConnections);
		};

		expect(looksPerConnection(1600)).toBeLessThan(1.2 * looksPerConnection(160));
	});
});

describe('the descriptors of a process', () => {
	it('are enough for all its uses together', () => {
		for (const maxDescriptors of [400, 1494, 4100]) {
			const sum = (['callers', 'targets', 'directory', 'readiness', 'metrics'] as const).reduce((total, use) => total + connectionsFor(use, maxDescriptors), 0);
			expect(sum).toBeLessThan(maxDescriptors - 200);
			expect(connectionsFor('calls', maxDescriptors) + connectionsFor('links', maxDescriptors) + connectionsFor('metrics', maxDescriptors)).toBeLessThan(maxDescriptors - 200);
		}
	});
});

import type {Socket} from 'node:net';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {type CallsExceeded, OpenCalls} from './index.js';

/** What the bound uses of a socket. */
class FakeSocket {
	isClosed = false;
	#onClose: (() => void) | undefined;

	once(_event: 'close', listener: () => void): void {
		this.#onClose = listener;
	}

	destroy(): void {
		this.isClosed = true;
		this.#onClose?.();
	}
}

const begin = (calls: OpenCalls, socket: FakeSocket) => calls.begin(socket as unknown as Socket);

describe('OpenCalls', () => {
	it('closes the connection with the most calls, and none that has few', () => {
		const events: CallsExceeded[] = [];
		const calls = new OpenCalls({
			maxCalls: 80,
			onExceeded(event) {
				events.push(event);
			},
		});
		const few = Array.from({length: 4}, () => new FakeSocket());
		const many = new FakeSocket();
		for (const socket of few) {
			for (let count = 0; count < 16; count++) {
				begin(calls, socket);
			}
		}

		for (let count = 0; count < 17; count++) {
			begin(calls, many);
		}

		expect(many.isClosed).toEqual(true);
		expect(events).toEqual([{closedCalls: 17, openCalls: 81}]);
		for (let count = 0; count < 20; count++) {
			begin(calls, new FakeSocket());
		}

		expect(few.some(({isClosed}) => isClosed)).toEqual(false);
		expect(calls.total).toEqual(84);
	});

	it('counts a call until it is over, or its connection closed, and never twice', () => {
		const calls = new OpenCalls();
		const socket = new FakeSocket();
		const onOver = begin(calls, socket);
		begin(calls, socket);
		onOver();
		onOver();
		expect(calls.total).toEqual(1);
		const late = begin(calls, socket);
		socket.destroy();
		late();
		expect(calls.total).toEqual(0);
	});
});

import {describe, it} from 'node:test';
import {expect} from 'earl';
import {ConnectionRequests, maxRequestsAtOnce} from './index.js';

describe('ConnectionRequests', () => {
	it('allows any number of requests one after the other', () => {
		const socket = {bytesRead: 0};
		const requests = new ConnectionRequests(socket);
		for (let count = 0; count < 1000; count++) {
			socket.bytesRead += 100;
			expect(requests.begin(1)).toEqual(true);
		}
	});

	it('refuses more than a few in progress, or with one read, also if each is answered as soon as it comes', () => {
		const socket = {bytesRead: 100};
		const requests = new ConnectionRequests(socket);
		expect(requests.begin(maxRequestsAtOnce + 1)).toEqual(false);
		for (let count = 1; count < maxRequestsAtOnce; count++) {
			expect(requests.begin(1)).toEqual(true);
		}

		expect(requests.begin(1)).toEqual(false);
		socket.bytesRead += 100;
		expect(requests.begin(1)).toEqual(true);
	});
});

import {Buffer} from 'node:buffer';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {type ResponseHead} from '@rattanspring/target-connection';
import {expect} from 'earl';
import {CallerResponse} from './caller-response.js';
import {HeaderCodec, type RequestMetadata, type ResponseMetadata} from './header-codec.js';

class NoHeaders extends HeaderCodec {
	readRequest(): RequestMetadata {
		return {};
	}

	targetHeaders(): string[] {
		return [];
	}

	readResponse(): ResponseMetadata {
		return {isNotExecuted: false, isSigned: false, isLeaving: false};
	}

	callerHeaders(): string[] {
		return [];
	}

	refusalHeaders(): Record<string, string> {
		return {};
	}
}

const head: ResponseHead = {status: 500, headers: new Map(), rawHeaders: []};
const event = 'data: x\n\n';

const later: Readonly<Record<string, (answer: CallerResponse) => void>> = {
	refuse(answer) {
		answer.refuse('late', 100);
	},
	reject(answer) {
		answer.reject(401, 'late');
	},
	fail(answer) {
		answer.fail(502, 'late');
	},
	pass(answer) {
		answer.pass(head, Buffer.from('late'));
	},
	startStream(answer) {
		answer.startStream(head);
	},
	closeConnection(answer) {
		answer.closeConnection();
	},
};

/** What a caller gets if a response begins with one event and goes on as given. */
async function replyTo(version: string, goOn: (answer: CallerResponse) => void): Promise<{text: string; isReset: boolean}> {
	const server = http.createServer((_request, response) => {
		const answer = new CallerResponse(response, new NoHeaders());
		answer.startStream({...head, status: 200});
		answer.write(Buffer.from(event));
		setTimeout(() => {
			goOn(answer);
		}, 10);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return new Promise(resolve => {
		const socket = net.connect((server.address() as AddressInfo).port, '127.0.0.1');
		let text = '';
		let isReset = false;
		socket.setTimeout(1000, () => {
			text += ' (still open)';
			socket.destroy();
		});
		socket.on('data', (chunk: Buffer) => {
			text += chunk.toString();
		});
		socket.on('error', () => {
			isReset = true;
		});
		socket.on('close', () => {
			server.close();
			resolve({text, isReset});
		});
		socket.write(`GET / HTTP/${version}\r\nHost: a.example\r\n\r\n`);
	});
}

describe('a response to a caller that has started', () => {
	for (const [name, goOn] of Object.entries(later)) {
		it(`ends visibly broken, and without another response in it, after ${name}`, async () => {
			const {text} = await replyTo('1.1', goOn);
			expect(text.slice(text.indexOf('\r\n\r\n'))).toEqual(`\r\n\r\n${event.length.toString(16)}\r\n${event}\r\n`);
		});

		it(`is reset after ${name} if it ends with its connection, as for HTTP/1.0`, async () => {
			const {text, isReset} = await replyTo('1.0', goOn);
			expect([text.slice(text.indexOf('\r\n\r\n')), isReset]).toEqual([`\r\n\r\n${event}`, true]);
		});
	}
});

import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {StoredDocument} from '@rattanspring/desired-state';
import {incompressibleText, seededRandom} from '@rattanspring/test-kit';
import {DocumentReceiver, DocumentSender, type ReceiveResult} from './document-transfer.js';
import type {DocumentReply} from './link-service.js';

/** A document of several parts, also when compressed. */
function largeDocument(version: number): StoredDocument {
	return {version, text: incompressibleText(version, 200_000)};
}

function senderOf(...documents: StoredDocument[]): DocumentSender {
	const sender = new DocumentSender();
	for (const document of documents) {
		sender.publish(document);
	}

	return sender;
}

/** A document with the given number of routes that differ in their names only. */
function routesDocument(version: number, count: number): StoredDocument {
	const random = seededRandom(1);
	const routes = Array.from({length: count}, () => ({
		name: `r-${Math.floor(random() * 1e9)}`, host: `h${Math.floor(random() * 60)}.example`, pathPrefix: `/${Math.floor(random() * 1e9)}/`, kind: 'streaming', timeoutMs: 8000, objectiveMs: 400, priority: 1, service: 's', maxAttempts: 2, isPublic: false, isResumable: true,
	}));
	return {version, text: JSON.stringify({version, routes})};
}

/** Requests one part. */
function transferPart(sender: DocumentSender, receiver: DocumentReceiver, heldVersion = -1): ReceiveResult {
	return receiver.receive(sender.reply(receiver.request(heldVersion)));
}

/** Requests parts until the document is whole. */
function finish(sender: DocumentSender, receiver: DocumentReceiver, heldVersion = -1): string | undefined {
	for (let parts = 0; parts < 100; parts++) {
		const result = transferPart(sender, receiver, heldVersion);
		if (result.kind === 'whole') {
			return result.text;
		}
	}

	return undefined;
}

describe('the transfer of a document', () => {
	it('delivers it whole, in several parts', () => {
		const document = largeDocument(3);
		const sender = senderOf(document);
		const receiver = new DocumentReceiver();
		expect(transferPart(sender, receiver).kind).toEqual('partial');
		expect(finish(sender, receiver)).toEqual(document.text);
	});

	it('continues at another control process where it stopped', () => {
		const document = largeDocument(3);
		const [first, second] = [senderOf(document), senderOf(document)];
		const receiver = new DocumentReceiver();
		transferPart(first, receiver);
		const {offset} = receiver.request(-1).transfer!;
		expect(second.reply(receiver.request(-1)).part!.offset).toEqual(offset);
		expect(finish(second, receiver)).toEqual(document.text);
	});

	it('is not started again by a newer document, so that quick changes starve no follower', () => {
		const documents = [largeDocument(3), largeDocument(4)];
		const sender = senderOf(documents[0]);
		const receiver = new DocumentReceiver();
		transferPart(sender, receiver);
		sender.publish(documents[1]);
		expect(finish(sender, receiver)).toEqual(documents[0].text);
		expect(finish(sender, receiver, 3)).toEqual(documents[1].text);
	});

	it('starts again if the control process does not know it', () => {
		const receiver = new DocumentReceiver();
		transferPart(senderOf(largeDocument(3)), receiver);
		const newest = largeDocument(9);
		expect(finish(senderOf(newest), receiver)).toEqual(newest.text);
	});

	it('says which version the process holds if it has none that is newer', () => {
		expect(senderOf(largeDocument(3)).reply({heldVersion: 3})).toEqual({version: 3});
		expect(senderOf().reply({heldVersion: -1})).toEqual({version: -1});
	});

	it('takes a small part of the bytes of a document that repeats its field names', () => {
		const document = routesDocument(3, 2000);
		const {part} = senderOf(document).reply({heldVersion: -1});
		expect(part!.totalBytes).toBeLessThan(document.text.length / 4);
	});

	it('takes less than 3 kB for a change of one route, so that three changes a second fit into the 9 kB/s of a daemon', () => {
		const [earlier, later] = [routesDocument(3, 2000), routesDocument(4, 2001)];
		const sender = senderOf(earlier);
		const receiver = new DocumentReceiver();
		finish(sender, receiver);
		sender.publish(later);
		expect(sender.reply(receiver.request(3)).part!.totalBytes).toBeLessThan(3000);
		expect(finish(sender, receiver, 3)).toEqual(later.text);
	});

	it('carries the whole text if the control process does not know the one that the follower holds', () => {
		const receiver = new DocumentReceiver();
		finish(senderOf(routesDocument(3, 20)), receiver);
		const later = routesDocument(4, 21);
		expect(finish(senderOf(later), receiver, 3)).toEqual(later.text);
	});

	describe('with damaged parts', () => {
		const document = largeDocument(3);
		const sender = senderOf(document);

		function receiveChanged(change: (reply: DocumentReply) => DocumentReply): ReceiveResult {
			const receiver = new DocumentReceiver();
			transferPart(sender, receiver);
			return receiver.receive(change(sender.reply(receiver.request(-1))));
		}

		it('refuses a part at another place, an empty one, and more bytes than were announced', () => {
			expect(receiveChanged(reply => ({...reply, part: {...reply.part!, offset: 0}})).kind).toEqual('damaged');
			expect(receiveChanged(reply => ({...reply, attachment: new Uint8Array()})).kind).toEqual('damaged');
			expect(receiveChanged(reply => ({...reply, attachment: Buffer.alloc(1_000_000)})).kind).toEqual('damaged');
		});

		it('refuses bytes that do not match the digest, and then transfers the document anew', () => {
			const receiver = new DocumentReceiver();
			const reply = sender.reply(receiver.request(-1));
			receiver.receive({...reply, attachment: Buffer.alloc(reply.attachment!.byteLength)});
			expect(finish(sender, receiver)).toEqual(document.text);
		});
	});
});

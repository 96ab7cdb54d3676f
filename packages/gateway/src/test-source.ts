/** Sources of a document in tests, and a codec for documents that are nothing but a version. */

import {type sendUnaryData, Server, type ServerUnaryCall} from '@grpc/grpc-js';
import {type DesiredState, DocumentCodec, type DocumentFailure} from '@rattanspring/desired-state';
import {
	type DocumentReply, type DocumentRequest, DocumentSender, linkService, listen,
} from '@rattanspring/fleet-link';
import {ok, type Result} from '@rattanspring/types';

/** Reads only the version; the rest of the text stands for any content. */
export class VersionCodec extends DocumentCodec {
	decode(text: string): Result<DesiredState, DocumentFailure> {
		return ok({
			version: Number.parseInt(text, 10), routes: [], services: [], limits: {
				maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
			},
		});
	}
}

/** A control process that serves documents, unless it is silent. */
export class TestSource {
	readonly address: string;
	readonly sender = new DocumentSender();
	isSilent = false;
	requestCount = 0;
	readonly #server = new Server();

	constructor(address: string) {
		this.address = address;
	}

	beforeReply: () => void = () => undefined;

	async start(): Promise<void> {
		const {document} = linkService;
		this.#server.addService({document}, {
			document: (call: ServerUnaryCall<DocumentRequest, DocumentReply>, done: sendUnaryData<DocumentReply>) => {
				this.requestCount++;
				if (!this.isSilent) {
					const reply = this.sender.reply(call.request);
					this.beforeReply();
					done(null, reply);
				}
			},
		});
		await listen(this.#server, this.address);
	}

	stop(): void {
		this.#server.forceShutdown();
	}
}

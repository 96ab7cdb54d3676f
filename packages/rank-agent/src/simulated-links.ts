/**
Links between VMs in virtual time, for tests: each VM sends and receives at a fixed rate, one byte after the other in the order of the
requests, and a message arrives after a fixed delay. The messages are the serialized ones, so that their size counts.
*/

import type {MethodDefinition} from '@grpc/grpc-js';

type Event = {readonly atMs: number; readonly run: () => void};

/** A clock that advances from event to event. */
export class VirtualTime {
	nowMs = 0;
	#events: Event[] = [];

	schedule(afterMs: number, run: () => void): Event {
		const event = {atMs: this.nowMs + afterMs, run};
		this.#events.push(event);
		return event;
	}

	cancel(event: Event): void {
		this.#events = this.#events.filter(other => other !== event);
	}

	async sleep(durationMs: number): Promise<void> {
		return new Promise(resolve => {
			this.schedule(durationMs, resolve);
		});
	}

	/** Runs events until the promise is settled. Before each event, code that awaits earlier ones has run as far as it can. */
	async run<Value>(promise: Promise<Value>): Promise<Value> {
		let isSettled = false;
		const settle = (): void => {
			isSettled = true;
		};

		promise.then(settle, settle);
		for (;;) {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
			if (isSettled) {
				return promise;
			}

			this.#runNext();
		}
	}

	#runNext(): void {
		const [next] = this.#events.toSorted((left, right) => left.atMs - right.atMs);
		if (next) {
			this.cancel(next);
			this.nowMs = next.atMs;
			next.run();
		}
	}
}

/** One direction of a VM's link. */
class LinkDirection {
	readonly #bytesPerMs: number;
	#freeAtMs = 0;

	constructor(bytesPerMs: number) {
		this.#bytesPerMs = bytesPerMs;
	}

	/** When the last byte has passed, if the first may pass from now on. */
	pass(bytes: number, nowMs: number): number {
		this.#freeAtMs = Math.max(this.#freeAtMs, nowMs) + (bytes / this.#bytesPerMs);
		return this.#freeAtMs;
	}
}

/** The link of one VM. */
class VmLink {
	readonly up: LinkDirection;
	readonly down: LinkDirection;

	constructor(bytesPerMs: number) {
		this.up = new LinkDirection(bytesPerMs);
		this.down = new LinkDirection(bytesPerMs);
	}
}

/** Serves requests at an address. */
export type SimulatedServer = (request: unknown) => Promise<unknown>;

/** Options of simulated links. */
export type SimulatedLinksOptions = {
	readonly time: VirtualTime;
	/** Rate of each VM's link, in each direction. */
	readonly bytesPerMs: number;
	/** Time from the sender's link to the receiver's. */
	readonly oneWayMs: number;
	/** Bytes that headers add to a message. */
	readonly headerBytes: number;
	/** Time that a server takes to answer a request. */
	readonly serveMs: number;
};

/** A call that was made, for the expectations of tests. */
export type SimulatedCall = {readonly request: unknown; readonly sentAtMs: number; readonly tookMs: number; readonly isAnswered: boolean};

/** Calls from one VM to others. */
export class SimulatedLinks {
	/** Calls that were answered or reached their time limit. */
	readonly calls: SimulatedCall[] = [];
	sentBytes = 0;
	receivedBytes = 0;
	readonly #options: SimulatedLinksOptions;
	readonly #ownLink: VmLink;
	readonly #servers = new Map<string, {readonly link: VmLink; readonly serve: SimulatedServer}>();

	constructor(options: SimulatedLinksOptions) {
		this.#options = options;
		this.#ownLink = new VmLink(options.bytesPerMs);
	}

	addServer(address: string, serve: SimulatedServer): void {
		this.#servers.set(address, {link: new VmLink(this.#options.bytesPerMs), serve});
	}

	/** Calls a server; `undefined` if no reply arrives before the time limit. What was sent late is still delivered. */
	async call<Request, Reply>(address: string, method: MethodDefinition<Request, Reply>, request: Request, timeoutMs: number): Promise<Reply | undefined> {
		const {time} = this.#options;
		const sentAtMs = time.nowMs;
		return new Promise(resolve => {
			const finish = (reply: Reply | undefined): void => {
				time.cancel(timer);
				this.calls.push({
					request, sentAtMs, tookMs: time.nowMs - sentAtMs, isAnswered: reply !== undefined,
				});
				resolve(reply);
			};

			const timer = time.schedule(timeoutMs, () => {
				finish(undefined);
			});
			void this.#exchange(address, method, request).then(reply => {
				if (time.nowMs - sentAtMs < timeoutMs) {
					finish(reply);
				}
			});
		});
	}

	async #exchange<Request, Reply>(address: string, method: MethodDefinition<Request, Reply>, request: Request): Promise<Reply> {
		const {time, headerBytes, serveMs} = this.#options;
		const server = this.#servers.get(address)!;
		const requestBytes = method.requestSerialize(request);
		this.sentBytes += requestBytes.length + headerBytes;
		await this.#transfer(requestBytes.length + headerBytes, this.#ownLink.up, server.link.down);
		await time.sleep(serveMs);
		const replyBytes = method.responseSerialize(await server.serve(method.requestDeserialize(requestBytes)) as Reply);
		await this.#transfer(replyBytes.length + headerBytes, server.link.up, this.#ownLink.down);
		this.receivedBytes += replyBytes.length + headerBytes;
		return method.responseDeserialize(replyBytes);
	}

	async #transfer(bytes: number, up: LinkDirection, down: LinkDirection): Promise<void> {
		const {time, oneWayMs, bytesPerMs} = this.#options;
		const sentAtMs = up.pass(bytes, time.nowMs);
		const firstByteAtMs = sentAtMs - (bytes / bytesPerMs) + oneWayMs;
		await time.sleep(firstByteAtMs - time.nowMs);
		await time.sleep(down.pass(bytes, time.nowMs) - time.nowMs);
	}
}

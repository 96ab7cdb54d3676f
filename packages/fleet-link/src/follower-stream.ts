/**
The sending side of a follower's stream. Counts the bytes that wait to be sent, as the library's own count is one of messages.
At most one message of load figures waits at a time; of the figures that come meanwhile, the newest of each target are kept.
*/

import type {ServerDuplexStream} from '@grpc/grpc-js';
import type {TargetLoad} from '@rattanspring/target-table';
import {serializeShared} from './link-service.js';
import type {DownMessage, UpMessage} from './messages.js';

/** A message with its length, so that both are computed once for all followers. */
export type SizedMessage = {readonly message: DownMessage; readonly sizeBytes: number};

export function sized(message: DownMessage): SizedMessage {
	return {message, sizeBytes: serializeShared(message).byteLength};
}

/** What waits to be sent to all followers, in bytes. */
export type WaitingTotal = {bytes: number};

/** Options of a stream: the call, the total that its bytes are a part of, and what to do when the connection has accepted some. */
export type FollowerStreamOptions = {
	readonly call: ServerDuplexStream<UpMessage, DownMessage>;
	readonly total: WaitingTotal;
	readonly onTaken: () => void;
};

/** One stream to a follower. */
export class FollowerStream {
	readonly #call: ServerDuplexStream<UpMessage, DownMessage>;
	readonly #total: WaitingTotal;
	readonly #onTaken: () => void;
	readonly #newestLoads = new Map<string, TargetLoad>();
	#areLoadsWaiting = false;
	#waitingBytes = 0;
	#takenCount = 0;
	#isForgotten = false;

	constructor({call, total, onTaken}: FollowerStreamOptions) {
		this.#call = call;
		this.#total = total;
		this.#onTaken = onTaken;
	}

	/** Messages that the connection has accepted. */
	get takenCount(): number {
		return this.#takenCount;
	}

	/** Bytes that the connection has not accepted yet. */
	get waitingBytes(): number {
		return this.#waitingBytes;
	}

	write(sizedMessage: SizedMessage): void {
		const {message} = sizedMessage;
		if (message.type !== 'loads') {
			this.#write(sizedMessage, () => undefined);
		} else if (this.#areLoadsWaiting) {
			for (const load of message.loads) {
				this.#newestLoads.set(load.address, load);
			}
		} else {
			this.#areLoadsWaiting = true;
			this.#write(sizedMessage, () => {
				this.#areLoadsWaiting = false;
				this.#writeNewestLoads();
			});
		}
	}

	end(): void {
		this.#call.end();
	}

	destroy(): void {
		this.#call.destroy();
	}

	/** The stream is over: what waits for it does not count any more. */
	forget(): void {
		this.#isForgotten = true;
		this.#total.bytes -= this.#waitingBytes;
		this.#waitingBytes = 0;
	}

	#writeNewestLoads(): void {
		if (this.#newestLoads.size > 0) {
			const loads = [...this.#newestLoads.values()];
			this.#newestLoads.clear();
			this.write(sized({type: 'loads', loads}));
		}
	}

	#write({message, sizeBytes}: SizedMessage, onAccepted: () => void): void {
		this.#waitingBytes += sizeBytes;
		this.#total.bytes += sizeBytes;
		this.#call.write(message, (error?: Error | null) => {
			if (this.#isForgotten) {
				return;
			}

			this.#waitingBytes -= sizeBytes;
			this.#total.bytes -= sizeBytes;
			if (!error) {
				this.#takenCount++;
				onAccepted();
				this.#onTaken();
			}
		});
	}
}

/**
The response of one attempt as numbered frames, kept so that a reader can resume after a broken connection.

Pure: performs no I/O and reads no clock. Delivered frames may be dropped to free memory; a reader that then requests
one of them gets a typed failure instead of a gap in the stream.
*/

import {createHash} from 'node:crypto';
import type {agentProtocol} from '@rattanspring/protocol';

/** Identifies an attempt at an incarnation of its agent. */
export type AttemptId = {readonly requestId: string; readonly attempt: number; readonly incarnation: number};

/** Content of a frame. */
export type FrameContent = NonNullable<agentProtocol.Frame['content']>;

/** Result of looking up a frame by its sequence number. */
export type FrameLookup
	= | {readonly kind: 'frame'; readonly frame: agentProtocol.Frame}
		| {readonly kind: 'notYet'}
		| {readonly kind: 'dropped'};

/** Memory overhead of a frame in addition to its data. */
const frameOverheadBytes = 64;

/** Buffers the frames of one attempt. */
export class AttemptBuffer {
	readonly #name: AttemptId;
	readonly #listeners = new Set<() => void>();
	readonly #onSizeChange: (deltaBytes: number) => void;
	readonly #digest = createHash('sha256');
	#frames: agentProtocol.Frame[] = [];
	#firstSequence = 0;
	#deliveredSequence = 0;
	#lengthBytes = 0;
	#bufferedBytes = 0;
	#isEnded = false;

	/** `onSizeChange` is called with each change of the buffered size. */
	constructor(name: AttemptId, onSizeChange: (changeBytes: number) => void) {
		this.#name = name;
		this.#onSizeChange = onSizeChange;
	}

	/** Whether the final frame has been added. */
	get isEnded(): boolean {
		return this.#isEnded;
	}

	/** Whether the final frame has been delivered to a reader. */
	get isDelivered(): boolean {
		return this.#isEnded && this.#deliveredSequence === this.#nextSequence;
	}

	/** Memory used by the buffered frames, in bytes. */
	get bufferedBytes(): number {
		return this.#bufferedBytes;
	}

	/** Adds the status and headers of the response. */
	head(head: agentProtocol.Head): void {
		this.#appendFrame({$case: 'head', value: head}, 0);
	}

	/** Adds bytes of the response body. */
	data(bytes: Uint8Array): void {
		if (this.#isEnded) {
			return;
		}

		this.#digest.update(bytes);
		this.#lengthBytes += bytes.length;
		this.#appendFrame({$case: 'data', value: bytes}, bytes.length);
	}

	/** Ends a complete response with its length and digest. */
	end(): void {
		this.#finish({$case: 'end', value: {lengthBytes: this.#lengthBytes, digest: this.#digest.copy().digest('hex')}});
	}

	/** Ends an incomplete response with a refusal. */
	refuse(refusal: agentProtocol.Refusal): void {
		this.#finish({$case: 'refusal', value: refusal});
	}

	/** Looks up a frame by its sequence number. */
	frameAt(sequence: number): FrameLookup {
		if (sequence < this.#firstSequence) {
			return {kind: 'dropped'};
		}

		const frame = this.#frames[sequence - this.#firstSequence] as agentProtocol.Frame | undefined;
		return frame ? {kind: 'frame', frame} : {kind: 'notYet'};
	}

	/** Records that a reader has received all frames up to and including this one. */
	markDelivered(sequence: number): void {
		this.#deliveredSequence = Math.max(this.#deliveredSequence, sequence + 1);
	}

	/** Drops delivered frames; returns the number of bytes freed. */
	dropDelivered(): number {
		const count = this.#deliveredSequence - this.#firstSequence;
		const dropped = this.#frames.slice(0, count);
		const freedBytes = dropped.reduce((sum, frame) => sum + frameBytes(frame), 0);
		this.#frames = this.#frames.slice(count);
		this.#firstSequence = this.#deliveredSequence;
		this.#adjustBufferedBytes(-freedBytes);
		return freedBytes;
	}

	/** Calls the listener after each new frame; returns a function that unsubscribes it. */
	onFrame(listener: () => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	get #nextSequence(): number {
		return this.#firstSequence + this.#frames.length;
	}

	#finish(content: FrameContent): void {
		if (!this.#isEnded) {
			this.#appendFrame(content, 0);
			this.#isEnded = true;
			this.#notify();
		}
	}

	#appendFrame(content: FrameContent, dataBytes: number): void {
		if (this.#isEnded) {
			return;
		}

		this.#frames.push({...this.#name, sequence: this.#nextSequence, content});
		this.#adjustBufferedBytes(dataBytes + frameOverheadBytes);
		if (content.$case === 'head' || content.$case === 'data') {
			this.#notify();
		}
	}

	#adjustBufferedBytes(deltaBytes: number): void {
		this.#bufferedBytes += deltaBytes;
		this.#onSizeChange(deltaBytes);
	}

	#notify(): void {
		for (const listener of this.#listeners) {
			listener();
		}
	}
}

function frameBytes(frame: agentProtocol.Frame): number {
	return frameOverheadBytes + (frame.content?.$case === 'data' ? frame.content.value.length : 0);
}

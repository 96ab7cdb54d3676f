/**
The answer of one attempt: numbered frames, kept so that a reader may come back after a broken connection.

Pure: it does no I/O and reads no clock. Frames that were delivered may be dropped to free memory; a reader that then
asks for one of them gets a typed failure, never a gap.
*/

import {createHash} from 'node:crypto';
import type {agentProtocol} from '@rattanspring/protocol';

/** Names an attempt. */
export type AttemptName = {readonly requestId: string; readonly attempt: number; readonly incarnation: number};

/** Content of a frame. */
export type FrameContent = NonNullable<agentProtocol.Frame['content']>;

/** What a reader finds at a position. */
export type FrameAt
	= | {readonly kind: 'frame'; readonly frame: agentProtocol.Frame}
		| {readonly kind: 'notYet'}
		| {readonly kind: 'dropped'};

/** Memory that each frame takes beyond its data, in bytes. */
const frameOverheadBytes = 64;

/** Buffers the frames of one attempt. */
export class AttemptBuffer {
	readonly #name: AttemptName;
	readonly #listeners = new Set<() => void>();
	readonly #onHeldBytes: (changeBytes: number) => void;
	readonly #digest = createHash('sha256');
	#frames: agentProtocol.Frame[] = [];
	#firstSequence = 0;
	#deliveredSequence = 0;
	#lengthBytes = 0;
	#heldBytes = 0;
	#isEnded = false;

	/** `onHeldBytes` is told by how much the memory held changes. */
	constructor(name: AttemptName, onHeldBytes: (changeBytes: number) => void) {
		this.#name = name;
		this.#onHeldBytes = onHeldBytes;
	}

	/** Whether the last frame has been added. */
	get isEnded(): boolean {
		return this.#isEnded;
	}

	/** Whether a reader has taken the last frame. */
	get isDelivered(): boolean {
		return this.#isEnded && this.#deliveredSequence === this.#nextSequence;
	}

	/** Memory held, in bytes. */
	get heldBytes(): number {
		return this.#heldBytes;
	}

	/** Adds the status and headers of the answer. */
	head(head: agentProtocol.Head): void {
		this.#add({$case: 'head', value: head}, 0);
	}

	/** Adds bytes of the answer. */
	data(bytes: Uint8Array): void {
		if (this.#isEnded) {
			return;
		}

		this.#digest.update(bytes);
		this.#lengthBytes += bytes.length;
		this.#add({$case: 'data', value: bytes}, bytes.length);
	}

	/** Ends a whole answer. */
	end(): void {
		this.#finish({$case: 'end', value: {lengthBytes: this.#lengthBytes, digest: this.#digest.copy().digest('hex')}});
	}

	/** Ends an answer that cannot be whole. */
	refuse(refusal: agentProtocol.Refusal): void {
		this.#finish({$case: 'refusal', value: refusal});
	}

	/** The frame with a sequence number. */
	frameAt(sequence: number): FrameAt {
		if (sequence < this.#firstSequence) {
			return {kind: 'dropped'};
		}

		const frame = this.#frames[sequence - this.#firstSequence] as agentProtocol.Frame | undefined;
		return frame ? {kind: 'frame', frame} : {kind: 'notYet'};
	}

	/** Notes that a reader has taken all frames up to and including this one. */
	markDelivered(sequence: number): void {
		this.#deliveredSequence = Math.max(this.#deliveredSequence, sequence + 1);
	}

	/** Drops delivered frames; returns the bytes freed. */
	dropDelivered(): number {
		const count = this.#deliveredSequence - this.#firstSequence;
		const dropped = this.#frames.slice(0, count);
		const freedBytes = dropped.reduce((sum, frame) => sum + bytesOf(frame), 0);
		this.#frames = this.#frames.slice(count);
		this.#firstSequence = this.#deliveredSequence;
		this.#changeHeld(-freedBytes);
		return freedBytes;
	}

	/** Calls the listener after each new frame; returns how to stop. */
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
			this.#add(content, 0);
			this.#isEnded = true;
			this.#notify();
		}
	}

	#add(content: FrameContent, dataBytes: number): void {
		if (this.#isEnded) {
			return;
		}

		this.#frames.push({...this.#name, sequence: this.#nextSequence, content});
		this.#changeHeld(dataBytes + frameOverheadBytes);
		if (content.$case === 'head' || content.$case === 'data') {
			this.#notify();
		}
	}

	#changeHeld(changeBytes: number): void {
		this.#heldBytes += changeBytes;
		this.#onHeldBytes(changeBytes);
	}

	#notify(): void {
		for (const listener of this.#listeners) {
			listener();
		}
	}
}

function bytesOf(frame: agentProtocol.Frame): number {
	return frameOverheadBytes + (frame.content?.$case === 'data' ? frame.content.value.length : 0);
}

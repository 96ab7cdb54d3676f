/** Submits configuration changes in sequence and records when each was accepted. */

import {createHash} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {GrpcControlAccess} from '@rattanspring/control-client';

const pauseMs = 40;

/** Submits changes until stopped. A change without an answer is resubmitted under the same id. */
export class ChangeWriter {
	/** Ids of the caller keys whose addition was accepted. */
	readonly accepted: string[] = [];
	readonly #access: GrpcControlAccess;
	readonly #acceptedAtMs: number[] = [];
	#revision = 0;
	#isStopped = false;
	#running: Promise<void> | undefined;

	constructor(addresses: readonly string[]) {
		this.#access = new GrpcControlAccess({addresses});
	}

	start(): void {
		this.#running = this.#run();
	}

	/** Resolves after this time, during which the writer goes on. */
	async writeFor(durationMs: number): Promise<void> {
		await sleep(durationMs);
	}

	/** Longest gap between accepted changes that ended after `sinceMs` or still lasts. */
	longestWriteGapMs(sinceMs: number): number {
		const times = [...this.#acceptedAtMs, Date.now()];
		const gaps = times.slice(1).map((time, index) => time > sinceMs ? time - times[index] : 0);
		return Math.max(...gaps);
	}

	async stop(): Promise<void> {
		this.#isStopped = true;
		await this.#running;
		this.#access.close();
	}

	async #run(): Promise<void> {
		for (let number = 1; !this.#isStopped; number++) {
			await this.#add(`key-${number}`);
			await sleep(pauseMs);
		}
	}

	async #add(keyId: string): Promise<void> {
		const callerKey = {keyId, secretDigest: createHash('sha256').update(keyId).digest('hex'), clientAccount: 'bench'};
		for (let attempt = 1; !this.#isStopped; attempt++) {
			const result = await this.#access.submit({
				kind: 'change',
				change: {
					changeId: `${keyId}-on-${this.#revision}`, baseRevision: this.#revision, operator: 'bench', reason: 'failover bench', edits: [{kind: 'addCallerKey', callerKey}],
				},
			});
			const answer = result.ok && result.value.kind === 'change' ? result.value.answer : undefined;
			if (answer?.kind === 'accepted') {
				this.#revision = answer.revision;
				this.accepted.push(keyId);
				this.#acceptedAtMs.push(Date.now());
				return;
			}

			if (answer?.kind === 'conflict') {
				this.#revision = answer.currentRevision;
			}
		}
	}
}

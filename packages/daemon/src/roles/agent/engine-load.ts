/**
The load that a model engine reports about itself, asked for at short intervals.
*/

import {Buffer} from 'node:buffer';
import Wreck from '@hapi/wreck';
import type {TargetSettings} from '@rattanspring/settings';
import * as z from 'zod';

/** Time for one answer. */
const askTimeoutMs = 400;

const loadSchema = z.object({tokensPerSecond: z.number()});

/** What an engine reports. */
export type EngineReport = z.infer<typeof loadSchema>;

/** Asks one engine. A report that is late or missing only makes choices worse. */
export class EngineLoad {
	readonly #target: TargetSettings;
	#report: EngineReport | undefined;
	#isRefusing = false;

	constructor(target: TargetSettings) {
		this.#target = target;
	}

	/** The last report. */
	get report(): EngineReport | undefined {
		return this.#report;
	}

	/** Whether nothing listened at the target's address when it was last asked. */
	get isRefusing(): boolean {
		return this.#isRefusing;
	}

	/** Asks for a new report. */
	async ask(): Promise<void> {
		if (this.#target.kind !== 'model') {
			return;
		}

		try {
			const {payload} = await Wreck.get(new URL('/load', this.#target.baseUrl).href, {timeout: askTimeoutMs});
			const parsed = loadSchema.safeParse(JSON.parse(Buffer.from(payload as Uint8Array).toString('utf8')));
			this.#report = parsed.success ? parsed.data : undefined;
			this.#isRefusing = false;
		} catch (error) {
			this.#report = undefined;
			this.#isRefusing = isConnectionRefused(error);
		}
	}
}

/** Whether an error says that nothing listens at an address. */
export function isConnectionRefused(error: unknown): boolean {
	const {code, data} = (error ?? {}) as {readonly code?: string; readonly data?: {readonly code?: string}};
	return code === 'ECONNREFUSED' || data?.code === 'ECONNREFUSED';
}

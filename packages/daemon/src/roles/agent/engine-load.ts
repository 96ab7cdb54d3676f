/**
Polls the load that a model engine reports about itself.
*/

import {Buffer} from 'node:buffer';
import Wreck from '@hapi/wreck';
import type {TargetSettings} from '@rattanspring/settings';
import * as z from 'zod';

/** Timeout of one load request. */
const loadTimeoutMs = 400;

const loadSchema = z.object({tokensPerSecond: z.number()});

export type EngineReport = z.infer<typeof loadSchema>;

/** Holds the last load report of one engine. A late or missing report only makes routing decisions less accurate. */
export class EngineLoad {
	readonly #target: TargetSettings;
	#report: EngineReport | undefined;
	#refusesConnections = false;

	constructor(target: TargetSettings) {
		this.#target = target;
	}

	/** The last report; undefined if the last request failed. */
	get report(): EngineReport | undefined {
		return this.#report;
	}

	/** Whether the target's address refused the connection at the last request. */
	get refusesConnections(): boolean {
		return this.#refusesConnections;
	}

	/** Requests a new report. */
	async refresh(): Promise<void> {
		if (this.#target.kind !== 'model') {
			return;
		}

		try {
			const {payload} = await Wreck.get(new URL('/load', this.#target.baseUrl).href, {timeout: loadTimeoutMs});
			const parsed = loadSchema.safeParse(JSON.parse(Buffer.from(payload as Uint8Array).toString('utf8')));
			this.#report = parsed.success ? parsed.data : undefined;
			this.#refusesConnections = false;
		} catch (error) {
			this.#report = undefined;
			this.#refusesConnections = isConnectionRefused(error);
		}
	}
}

/** Whether an error means that the connection was refused. */
export function isConnectionRefused(error: unknown): boolean {
	const {code, data} = (error ?? {}) as {readonly code?: string; readonly data?: {readonly code?: string}};
	return code === 'ECONNREFUSED' || data?.code === 'ECONNREFUSED';
}

/**
Serves a simulated group of expert-parallel ranks over HTTP. Agents request to begin a step for a rank and report its
tokens per expert; token counts are returned per rank.
*/

import {type Server, server as createServer} from '@hapi/hapi';
import * as z from 'zod';
import {RankGroup, type RankGroupOptions, type RankWork} from './rank-group.js';

export type RankGroupServerOptions = RankGroupOptions & {
	readonly host: string;
	/** Port to listen on; 0 selects any free port. */
	readonly port: number;
};

const beginSchema = z.object({
	formation: z.int().min(1),
	step: z.int().min(0),
	/** Version of the expert map that the rank uses. */
	version: z.int().min(0).default(0),
	speed: z.number().positive().default(1),
	/** Pairs of expert index and token count, per layer. */
	layers: z.array(z.array(z.tuple([z.int().min(0), z.number().min(0)]))).min(1).default([[]]),
});

type BeginRequest = z.infer<typeof beginSchema>;
type BeginResponse = {readonly begun: boolean};

/** Serves a rank group to its agents. */
export class RankGroupServer {
	readonly #group: RankGroup;
	readonly #server: Server;
	readonly #rankCount: number;
	/** Work of the ranks that have begun the current step. */
	readonly #work = new Map<number, RankWork>();
	#step = {formation: 0, step: -1, version: 0};
	#mixedSteps = 0;
	#endsAtMs = 0;

	constructor(options: RankGroupServerOptions) {
		this.#group = new RankGroup(options);
		this.#rankCount = options.rankCount;
		this.#server = createServer({host: options.host, port: options.port, compression: false});
	}

	/** Base URL; valid once the server has started. */
	get url(): string {
		return this.#server.info.uri;
	}

	/** Number of begin requests whose map version differed from the version with which the step was first begun; 0 in correct operation. */
	get mixedSteps(): number {
		return this.#mixedSteps;
	}

	/** The latest step that any rank has begun. */
	get step(): {readonly formation: number; readonly step: number; readonly version: number} {
		return this.#step;
	}

	async start(): Promise<void> {
		this.#server.route({
			method: 'POST',
			path: '/ranks/{rank}/begin',
			handler: (request, toolkit) => {
				const parsed = beginSchema.safeParse(request.payload);
				return parsed.success ? this.#begin(parseRank(request.params), parsed.data) : toolkit.response({type: 'malformedRequest', message: parsed.error.message}).code(400);
			},
		});
		this.#server.route({
			method: 'POST',
			path: '/ranks/{rank}/end',
			handler: request => {
				this.#group.end(parseRank(request.params));
				return {};
			},
		});
		this.#server.route({method: 'POST', path: '/ranks/{rank}/counts', handler: request => this.#counts(parseRank(request.params))});
		await this.#server.start();
	}

	/** Stops without waiting for open connections. */
	async stop(): Promise<void> {
		await this.#server.stop({timeout: 0});
	}

	#begin(rank: number, {formation, step, version, speed, layers}: BeginRequest): BeginResponse {
		const isNew = formation > this.#step.formation || (formation === this.#step.formation && step === this.#step.step + 1);
		const isCurrent = formation === this.#step.formation && step === this.#step.step;
		const isAllowed = isCurrent || (isNew && performance.now() >= this.#endsAtMs && this.#group.canBegin(formation, step));
		if (!isAllowed) {
			return {begun: false};
		}

		if (isNew) {
			this.#step = {formation, step, version};
			this.#work.clear();
		}

		this.#mixedSteps += version === this.#step.version ? 0 : 1;

		if (!this.#work.has(rank)) {
			this.#group.begin(rank, formation, step);
			this.#work.set(rank, {speed, layers: layers.map(tokens => new Map(tokens))});
			this.#runStepIfAllRanksBegan();
		}

		return {begun: true};
	}

	/** Once all ranks have begun, the step lasts as long as its slowest rank takes. */
	#runStepIfAllRanksBegan(): void {
		if (this.#work.size === this.#rankCount) {
			const work = Array.from({length: this.#rankCount}, (_, rank) => this.#work.get(rank)!);
			this.#endsAtMs = performance.now() + this.#group.stepMs(work);
		}
	}

	#counts(rank: number): {readonly steps: number; readonly layers: ReadonlyArray<ReadonlyArray<readonly [number, number]>>} {
		const {steps, layers} = this.#group.takeCounts(rank);
		return {steps, layers: layers.map(tokens => [...tokens])};
	}
}

function parseRank(params: unknown): number {
	return Number((params as {rank: string}).rank);
}

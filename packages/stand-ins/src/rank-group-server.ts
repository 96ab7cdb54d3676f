/**
The rank group over HTTP. Agents ask whether a rank may begin a step and report its tokens; once all ranks have, the step
runs for as long as its slowest rank takes. Counts are handed out per rank.
*/

import {type Server, server as createServer} from '@hapi/hapi';
import * as z from 'zod';
import {RankGroup, type RankGroupOptions, type RankWork} from './rank-group.js';

/** Options of a group that listens. */
export type RankGroupServerOptions = RankGroupOptions & {
	readonly host: string;
	/** 0 takes any free port. */
	readonly port: number;
};

const beginSchema = z.object({
	formation: z.int().min(1),
	step: z.int().min(0),
	/** Version of the map that the rank uses. */
	version: z.int().min(0).default(0),
	speed: z.number().positive().default(1),
	/** Pairs of expert and tokens, for each layer. */
	layers: z.array(z.array(z.tuple([z.int().min(0), z.number().min(0)]))).min(1).default([[]]),
});

type Begin = z.infer<typeof beginSchema>;
type BeginAnswer = {readonly begun: boolean};

/** A group that listens for its agents. */
export class RankGroupServer {
	readonly #group: RankGroup;
	readonly #server: Server;
	readonly #rankCount: number;
	/** Work of the ranks that have begun the present step. */
	readonly #work = new Map<number, RankWork>();
	#step = {formation: 0, step: -1, version: 0};
	#mixedSteps = 0;
	#endsAtMs = 0;

	constructor(options: RankGroupServerOptions) {
		this.#group = new RankGroup(options);
		this.#rankCount = options.rankCount;
		this.#server = createServer({host: options.host, port: options.port, compression: false});
	}

	/** Base URL once started. */
	get url(): string {
		return this.#server.info.uri;
	}

	/** Steps that ranks began on different maps; none if all is well. */
	get mixedSteps(): number {
		return this.#mixedSteps;
	}

	/** The newest step that a rank has begun. */
	get step(): {readonly formation: number; readonly step: number; readonly version: number} {
		return this.#step;
	}

	/** Starts to listen. */
	async start(): Promise<void> {
		this.#server.route({
			method: 'POST',
			path: '/ranks/{rank}/begin',
			handler: (request, toolkit) => {
				const parsed = beginSchema.safeParse(request.payload);
				return parsed.success ? this.#begin(rankOf(request.params), parsed.data) : toolkit.response({type: 'malformedRequest', message: parsed.error.message}).code(400);
			},
		});
		this.#server.route({
			method: 'POST',
			path: '/ranks/{rank}/end',
			handler: request => {
				this.#group.end(rankOf(request.params));
				return {};
			},
		});
		this.#server.route({method: 'POST', path: '/ranks/{rank}/counts', handler: request => this.#counts(rankOf(request.params))});
		await this.#server.start();
	}

	/** Stops at once. */
	async stop(): Promise<void> {
		await this.#server.stop({timeout: 0});
	}

	#begin(rank: number, {formation, step, version, speed, layers}: Begin): BeginAnswer {
		const isNew = formation > this.#step.formation || (formation === this.#step.formation && step === this.#step.step + 1);
		const isPresent = formation === this.#step.formation && step === this.#step.step;
		const isDue = isPresent || (isNew && performance.now() >= this.#endsAtMs && this.#group.canBegin(formation, step));
		if (!isDue) {
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
			this.#runIfComplete();
		}

		return {begun: true};
	}

	#runIfComplete(): void {
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

function rankOf(params: unknown): number {
	return Number((params as {rank: string}).rank);
}

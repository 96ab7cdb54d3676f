/* eslint-disable camelcase, no-void, @stylistic/object-curly-newline, complexity -- the names of the platform; results that nobody waits for; a list of orders */
/** A group of model workers as PROTOCOL.md describes it: ranks that execute each pass together, their reports, counts and orders, and streams with one event a pass. */

import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {nowMs, Reports} from './fleet.js';
import {coldLeft} from './names.js';

const passMs = 40;
const choicesOfRequest = 100;

/** The service's engine in the desired state; the figures are those of the site. */
export const figures = {
	slots: 12, kv_capacity: 372_000, kv_bytes: 96_256, link_mbps: 92_000, stride: 5, models: [{name: 'm'}], step_ms: 5.85, per_seq_ms: 0.5325, context_per_k: 0.054,
	read_per_s: 61_200, pairs_per_m: 0.325, chunk: 512, report_lag_ms: 200, loads_per_s: 0, loads_at_once: 8, delays: [], usual: {prompt: 835, answer: 138},
	sets: 6, experts: 64, placements: 11, spare: 4, expert_mb: 580, expert_share: 0.85, form_ms: 600,
};

const copyMs = figures.expert_mb * 8 / figures.link_mbps * 1000;

/** Map 0: the places of all ranks take the experts in turn. */
function expertsInTurn(rank, size) {
	const experts = [];
	for (let place = 0; place < size * figures.placements; place++) {
		const turn = place < figures.experts ? place : place + 1;
		if (turn % size === rank) {
			experts.push(place % figures.experts);
		}
	}

	return experts;
}

class Rank {
	newestVersion = 0;
	prepared;
	armed;
	held;
	sequence = 0;
	active = [];

	constructor(rank, size) {
		this.rank = rank;
		this.map = {version: 0, experts: Array.from({length: figures.sets}, () => expertsInTurn(rank, size))};
		this.counts = Array.from({length: figures.sets * figures.experts}, () => 0);
	}
}

export class RankGroup {
	step = 0;
	epoch = 1;
	mixedPasses = 0;
	orderCount = 0;
	lateCount = 0;

	/** `chooses` gives the expert of a choice in a set. `lateness` says whether an order gets no answer, and after how many milliseconds it is carried out then. */
	constructor({fleet, record, service, members}) {
		this.fleet = fleet;
		this.record = record;
		this.service = service;
		this.members = members;
		this.bornMs = Date.now();
		this.ranks = members.map((_, index) => new Rank(index, members.length));
		this.chooses = (set, choice) => (set + choice) % figures.experts;
		this.lateness = () => undefined;
	}

	get isIdle() {
		return this.ranks.every(({active}) => active.length === 0);
	}

	async start() {
		this.servers = await Promise.all(this.members.map(async ({host}, index) => {
			const server = http.createServer((request, response) => {
				void this.#serve(this.ranks[index], request, response);
			});
			await new Promise(resolve => {
				server.listen(this.fleet.ports.app, host, resolve);
			});
			return server;
		}));
		this.reports = this.members.map(({id, host, zone}, index) => new Reports(this.fleet, {
			id, describe: () => ({
				service: this.service, address: `${host}:${this.fleet.ports.app}`, zone, version: 'v1', slots: figures.slots, state: 'ready', [coldLeft]: 0, stage: 'unified', models: [{name: 'm', version: 1, adapters: []}],
				born: this.bornMs, ...this.#placeOf(index),
			}),
		}));
		for (const reports of this.reports) {
			reports.start();
		}

		this.timer = setInterval(() => {
			this.#pass();
		}, passMs);
	}

	stop() {
		clearInterval(this.timer);
		for (const reports of this.reports) {
			reports.stop();
		}

		for (const server of this.servers) {
			server.close();
			server.closeAllConnections();
		}
	}

	#placeOf(rank) {
		return {group: {name: 'group-1', epoch: this.epoch, rank, state: 'open'}, size: this.ranks.length};
	}

	/** An idle group makes no passes, and a held one does not begin the pass before which it is held. */
	#pass() {
		if (this.isIdle || this.ranks.some(({held}) => held === this.step + 1)) {
			return;
		}

		this.step++;
		for (const rank of this.ranks.filter(({armed}) => armed?.step === this.step)) {
			rank.map = {version: rank.armed.version, experts: rank.prepared.experts};
			rank.armed = undefined;
			rank.prepared = undefined;
			this.record.add(`pass ${this.step}: rank ${rank.rank} begins it with map ${rank.map.version}`);
		}

		const versions = this.ranks.map(({map}) => map.version);
		if (new Set(versions).size > 1) {
			this.mixedPasses++;
			this.record.add(`pass ${this.step} begins with maps ${versions.join(', ')} at ranks 0 to ${versions.length - 1}`);
		}

		for (const rank of this.ranks) {
			this.#work(rank);
		}
	}

	#work(rank) {
		for (let set = 0; set < figures.sets; set++) {
			for (let choice = 0; choice < rank.active.length * choicesOfRequest; choice++) {
				rank.counts[(set * figures.experts) + this.chooses(set, choice)]++;
			}
		}

		for (const stream of rank.active) {
			stream.next++;
			stream.response.write(`id: ${stream.next}\ndata: ${stream.id} ${stream.next}\n\n`);
			if (stream.next === stream.events) {
				stream.response.end();
			}
		}

		rank.active = rank.active.filter(({next, events, response}) => next < events && !response.destroyed);
	}

	async #serve(rank, request, response) {
		let body = '';
		request.setEncoding('utf8');
		for await (const part of request) {
			body += part;
		}

		const {pathname, searchParams} = new URL(request.url, 'http://worker');
		if (pathname === '/-/report') {
			answer(response, 200, this.#report(rank));
		} else if (pathname === '/-/picked' && searchParams.has('lists')) {
			answer(response, 200, {map: rank.map, prepared: rank.prepared && {version: rank.prepared.version, experts: rank.prepared.experts}});
		} else if (pathname === '/-/picked') {
			answer(response, 200, {step: this.step, epoch: this.epoch, counts: rank.counts});
		} else if (pathname === '/-/order') {
			this.#order(rank, JSON.parse(body), response);
		} else {
			this.#stream(rank, request, response, Number(searchParams.get('events') ?? 8));
		}
	}

	#stream(rank, request, response, events) {
		const id = String(request.headers['attempt-id']);
		const {id: ownId} = this.members[rank.rank];
		const expected = request.headers['expect-instance'];
		const isOther = expected !== undefined && expected !== ownId;
		if (isOther || rank.active.length >= figures.slots) {
			response.writeHead(isOther ? 421 : 503, {'attempt-id': id, 'not-executed': '1'});
			response.end();
			return;
		}

		response.writeHead(200, {'attempt-id': id, 'instance-signature': `s-${ownId}`, 'Content-Type': 'text/event-stream'});
		response.flushHeaders();
		rank.active.push({id, response, events, next: Number(request.headers['last-event-id'] ?? 0)});
	}

	#report(rank) {
		const isPrepared = rank.prepared !== undefined && rank.prepared.readyAtMs <= nowMs();
		return {
			stage: 'unified', models: [{name: 'm', version: 1, adapters: []}], busy: false, sequence: rank.sequence, queued: 0, active: rank.active.length,
			kv_used: 0, kv_total: figures.kv_capacity, handles: 0, pace: 1,
			born: this.bornMs, step: this.step, map: rank.map.version, prepared: isPrepared ? rank.prepared.version : null, armed: rank.armed ?? null,
			held: rank.held ?? null, ...this.#placeOf(rank.rank),
		};
	}

	/** Carries out an order; a late one gets no answer, and is carried out after some seconds, after newer ones. */
	#order(rank, order, response) {
		this.orderCount++;
		const {operation, version, step} = order;
		const name = `${operation}${version === undefined ? '' : ` version ${version}`}${step === undefined ? '' : ` step ${step}`} at rank ${rank.rank}`;
		const lateMs = this.lateness(rank.rank, order);
		if (lateMs === undefined) {
			const status = this.#apply(rank, order);
			this.record.add(`order ${name}: ${status}`);
			answer(response, status, {});
			return;
		}

		this.lateCount++;
		this.record.add(`order ${name}: no answer, carried out ${lateMs} ms later`);
		void this.#applyLate(rank, order, {name, lateMs});
	}

	async #applyLate(rank, order, {name, lateMs}) {
		await sleep(lateMs);
		this.record.add(`late order ${name} is carried out: ${this.#apply(rank, order)}`);
	}

	/** The status of an order: 202 if it has begun, 200 if the state holds, 409 if it does not fit the rank's state. */
	#apply(rank, {operation, version, step, epoch, map}) {
		if (epoch !== undefined && epoch !== this.epoch) {
			return 409;
		}

		const begin = change => {
			Object.assign(rank, change);
			rank.sequence++;
			return 202;
		};

		switch (operation) {
			case 'prepare': {
				const experts = map.map(ranks => ranks[rank.rank]);
				const added = experts.map((list, set) => list.filter(expert => !rank.map.experts[set].includes(expert)).length);
				if (version <= rank.newestVersion || rank.armed || added.some(count => count > figures.spare)) {
					return 409;
				}

				const copies = added.reduce((sum, count) => sum + count, 0);
				return begin({newestVersion: version, prepared: {version, experts, readyAtMs: nowMs() + (copies * copyMs)}});
			}

			case 'arm': {
				if (rank.armed?.version === version && rank.armed.step === step) {
					return 200;
				}

				const isReady = rank.prepared?.version === version && rank.prepared.readyAtMs <= nowMs();
				return !isReady || rank.armed || step <= this.step ? 409 : begin({armed: {version, step}});
			}

			case 'disarm': {
				if (rank.map.version === version) {
					return 409;
				}

				return rank.armed?.version === version ? begin({armed: undefined}) : 200;
			}

			case 'hold': {
				if (rank.held === step) {
					return 200;
				}

				return rank.held !== undefined || step <= this.step ? 409 : begin({held: step});
			}

			case 'go': {
				return rank.held === step ? begin({held: undefined}) : 409;
			}

			default: {
				return 400;
			}
		}
	}
}

function answer(response, status, value) {
	const text = JSON.stringify(value);
	response.writeHead(status, {'Content-Type': 'application/json', 'Content-Length': String(text.length)});
	response.end(text);
}

/**
Stateful fuzzing of the request path: the claimed runner of several entries, the agents' attempt tables and the
ledger, under a seeded schedule with crashes of entries, restarts of agents, broken connections, copied and late
dispatches, failing targets and lost answers of the ledger.

The oracle is simple: it counts the real runs of each order, and compares every answer with the order it is for.
*/

import {Buffer} from 'node:buffer';
import type {ControlAccess} from '@rattanspring/control-client';
import {applyAnnouncement, emptyDirectory, type DirectoryState} from '@rattanspring/directory';
import type {FleetCommand} from '@rattanspring/fleet-state';
import type {Logger} from '@rattanspring/logger';
import type {agentProtocol} from '@rattanspring/protocol';
import {
	applyLedgerCommand, deserializeLedger, emptyLedger, serializeLedger, type LedgerAnswer, type LedgerCommand,
} from '@rattanspring/request-ledger';
import {
	Clock, err, ok, type RequestFailure,
} from '@rattanspring/types';
import fc, {type Scheduler} from 'fast-check';
import {
	AttemptTable, createFailure, createRefusal, type Attempt,
} from './roles/agent/attempt-table.js';
import {StreamMemory} from './roles/agent/stream-memory.js';
import type {AgentConnections} from './ports/agent-connection.js';
import {CallerResponse} from './roles/entry/caller-response.js';
import {ClaimedRunner} from './roles/entry/claimed-runner.js';
import {Dispatcher} from './roles/entry/dispatcher.js';
import type {RoutedRun} from './roles/entry/request-routing.js';

/** Options of a fuzz run. */
export type FuzzOptions = {readonly seed: number; readonly runs: number};

const account = 'account';
const service = 'orders';
const agentCount = 2;
const bufferBytes = 400;

/** How often a caller sends its order until it has the answer. */
const sends = 3;

/** Draws decisions from a generated list, so that a failing case can be replayed and made smaller. */
class Choices {
	readonly #numbers: readonly number[];
	#next = 0;

	constructor(numbers: readonly number[]) {
		this.#numbers = numbers;
	}

	/** True in about this many of a hundred cases. */
	percent(share: number): boolean {
		const number = this.#numbers[this.#next % this.#numbers.length];
		this.#next++;
		return number < share;
	}
}

class StillClock extends Clock {
	monotonicMs(): number {
		return 1000;
	}

	wallMs(): number {
		return 1000;
	}
}

const silentLogger = {log: () => undefined} as unknown as Logger;

/** What all parts of one fuzzed fleet share. */
class World {
	readonly scheduler: Scheduler;
	readonly choices: Choices;
	readonly runs = new Map<string, number>();
	readonly ranRequestIds = new Set<string>();
	readonly agents: FuzzAgent[] = [];
	#ledger = emptyLedger();

	constructor(scheduler: Scheduler, choices: Choices) {
		this.scheduler = scheduler;
		this.choices = choices;
		for (let index = 0; index < agentCount; index++) {
			this.agents.push(new FuzzAgent(this, `target-${index}`));
		}
	}

	async step(label: string): Promise<void> {
		await this.scheduler.schedule(Promise.resolve(), label);
	}

	runsOf(reference: string): number {
		return this.runs.get(reference) ?? 0;
	}

	apply(command: LedgerCommand): LedgerAnswer {
		if (this.choices.percent(5)) {
			const text = JSON.stringify(serializeLedger(this.#ledger));
			this.#ledger = deserializeLedger(JSON.parse(text) as ReturnType<typeof serializeLedger>);
		}

		return applyLedgerCommand(this.#ledger, command);
	}
}

/** An agent with its target, behind the interface of a gRPC client. */
class FuzzAgent {
	readonly targetId: string;
	readonly #world: World;
	#table: AttemptTable;
	#incarnation = 10;

	constructor(world: World, targetId: string) {
		this.#world = world;
		this.targetId = targetId;
		this.#table = this.#newTable();
	}

	/** Forgets everything, as a new process does. */
	restart(): void {
		this.#incarnation += 10;
		this.#table = this.#newTable();
	}

	announce(directory: DirectoryState): void {
		applyAnnouncement(directory, {
			targetId: this.targetId, incarnation: this.#table.incarnation, sequence: 1, vm: 'vm', failureDomain: 'a', agentAddress: this.targetId,
			kind: 'plain', services: [service], state: 'serving', leaseMs: 1000,
			load: {
				queuedTokens: 0, inProgressRequests: 0, capacityRequests: 8, prefillTokens: 0, tokensPerSecond: 0, stepTimeSkew: 1,
			},
		}, 0);
	}

	execute(request: agentProtocol.ExecuteRequest): unknown {
		if (this.#world.choices.percent(15)) {
			void this.#deliverCopy(request);
		}

		return this.#call(async () => {
			await this.#world.step('dispatch');
			return this.#world.choices.percent(10) ? undefined : this.#deliver(request);
		}, 0);
	}

	resume(request: agentProtocol.ResumeRequest): unknown {
		return this.#call(async () => {
			await this.#world.step('resume');
			return this.#table.findAttempt(request);
		}, request.fromSequence);
	}

	seal(request: agentProtocol.SealRequest, _metadata: unknown, _options: unknown, done: (error: unknown, reply?: agentProtocol.SealReply) => void): void {
		void this.#seal(request, done);
	}

	cancel(): void {
		// Claimed attempts are never cancelled.
	}

	async #seal(request: agentProtocol.SealRequest, done: (error: unknown, reply?: agentProtocol.SealReply) => void): Promise<void> {
		await this.#world.step('seal');
		if (this.#world.choices.percent(10)) {
			done(new Error('question lost'));
			return;
		}

		const outcome = this.#table.seal(request, request.incarnation);
		await this.#world.step('sealReply');
		if (this.#world.choices.percent(10)) {
			done(new Error('reply lost'));
			return;
		}

		done(undefined, {outcome, incarnation: this.#table.incarnation});
	}

	#newTable(): AttemptTable {
		return new AttemptTable({incarnation: this.#incarnation, memory: new StreamMemory(bufferBytes), maxRecordsPerIncarnation: 6});
	}

	async #deliverCopy(request: agentProtocol.ExecuteRequest): Promise<void> {
		await this.#world.step('copy');
		this.#deliver(request);
	}

	#deliver(request: agentProtocol.ExecuteRequest): Attempt | undefined {
		const decision = this.#table.dispatch(request);
		if (!('attempt' in decision)) {
			return undefined;
		}

		if (decision.kind === 'admitted') {
			void this.#run(this.#table, decision.attempt);
		}

		return decision.attempt;
	}

	async #run(table: AttemptTable, attempt: Attempt): Promise<void> {
		await this.#world.step('turn');
		if (this.#world.choices.percent(20)) {
			table.refuse(attempt, createRefusal('overloaded', 'full'));
			return;
		}

		// A process that has ended hands nothing over.
		if (table !== this.#table || !table.handOver(attempt)) {
			return;
		}

		const {requestId, body} = attempt.request;
		const reference = Buffer.from(body).toString('utf8');
		this.#world.runs.set(reference, this.#world.runsOf(reference) + 1);
		this.#world.ranRequestIds.add(requestId);
		attempt.buffer.head({status: 201, headers: {reference}});
		for (const part of answerParts(reference)) {
			await this.#world.step('answer');
			if (this.#world.choices.percent(10)) {
				attempt.buffer.refuse(createFailure('targetFailed', 'crashed'));
				break;
			}

			attempt.buffer.data(Buffer.from(part));
		}

		attempt.buffer.end();
		table.finish(attempt);
		await this.#world.step('drop');
		if (this.#world.choices.percent(30)) {
			table.drop(attempt);
		}
	}

	/** A stream of frames that may break before each frame, and breaks when the agent restarts. */
	#call(open: () => Promise<Attempt | undefined>, fromSequence: number): unknown {
		const read = this.#read(open, fromSequence);
		return {[Symbol.asyncIterator]: () => read, cancel: () => undefined};
	}

	async * #read(open: () => Promise<Attempt | undefined>, fromSequence: number): AsyncGenerator<agentProtocol.Frame> {
		const table = this.#table;
		const attempt = await open();
		if (!attempt) {
			return;
		}

		let sequence = fromSequence;
		for (let reads = 0; reads < 100 && table === this.#table; reads++) {
			await this.#world.step('frame');
			const found = attempt.buffer.frameAt(sequence);
			if (found.kind === 'dropped' || this.#world.choices.percent(5)) {
				return;
			}

			if (found.kind === 'frame') {
				sequence++;
				yield found.frame;
			}
		}
	}
}

/** A ledger whose answers may be lost, as one caller's entry sees it. */
class FuzzControl {
	/** Runs of the order at the last answer of the ledger. */
	runsAtAnswer = 0;
	readonly #world: World;
	readonly #reference: string;

	constructor(world: World, reference: string) {
		this.#world = world;
		this.#reference = reference;
	}

	async submit(command: FleetCommand): Promise<unknown> {
		await this.#world.step('submit');
		const lost = err({type: 'unreachable', message: 'lost'});
		if (command.kind !== 'ledger' || this.#world.choices.percent(2)) {
			return lost;
		}

		const answer = this.#world.apply(command.command);
		this.runsAtAnswer = this.#world.runsOf(this.#reference);
		if (this.#world.choices.percent(10)) {
			this.#world.apply(command.command);
		}

		await this.#world.step('submitAnswer');
		return this.#world.choices.percent(2) ? lost : ok({kind: 'ledger', answer});
	}
}

/** Keeps what a caller received, and checks it. */
class CheckedAnswer extends CallerResponse {
	kind: 'open' | 'whole' | 'didNotRun' | 'unknown' | 'ran' = 'open';
	readonly #reference: string;
	readonly #control: FuzzControl;
	#body = '';
	#status = 0;

	constructor(reference: string, control: FuzzControl) {
		super();
		this.#reference = reference;
		this.#control = control;
	}

	get isClosed(): boolean {
		return false;
	}

	get isResumable(): boolean {
		return false;
	}

	get isStarted(): boolean {
		return this.#status > 0;
	}

	head(status: number, headers: Readonly<Record<string, string>>): void {
		this.#status = status;
		require(headers.reference === this.#reference, `the head for ${headers.reference} went to ${this.#reference}`);
	}

	async data(bytes: Uint8Array): Promise<void> {
		this.#body += Buffer.from(bytes).toString('utf8');
	}

	end(): void {
		this.#settle('whole');
		require(this.#body === answerParts(this.#reference).join(''), `the answer of ${this.#reference} is "${this.#body}"`);
	}

	fail(failure: RequestFailure): void {
		this.#settle(failure.execution);
		const isTrue = failure.execution !== 'didNotRun' || this.#control.runsAtAnswer === 0;
		require(isTrue, `${this.#reference} was said not to have run, and had`);
	}

	#settle(kind: CheckedAnswer['kind']): void {
		require(this.kind === 'open', `${this.#reference} got two final answers`);
		this.kind = kind;
	}
}

/** One caller's try, at an entry of its own process. */
type Try = {readonly reference: string; readonly crashesAfterSteps: number};

/** Fuzzes the request path; throws the smallest counterexample found. */
export async function fuzz(options: FuzzOptions): Promise<void> {
	const tries = fc.array(fc.record({reference: fc.constantFrom('order-a', 'order-b'), crashesAfterSteps: fc.oneof(fc.constant(1000), fc.nat(12))}), {minLength: 1, maxLength: 6});
	const numbers = fc.array(fc.nat(99), {minLength: 50, maxLength: 300});
	const restarts = fc.array(fc.nat(40), {maxLength: 2});
	const property = fc.asyncProperty(fc.scheduler(), tries, numbers, restarts, checkFleet);
	await fc.assert(property, {seed: options.seed, numRuns: options.runs, endOnFailure: false});
}

async function checkFleet(scheduler: Scheduler, tries: readonly Try[], numbers: readonly number[], restarts: readonly number[]): Promise<void> {
	const world = new World(scheduler, new Choices(numbers));
	const problems: unknown[] = [];
	for (const [index, one] of tries.entries()) {
		void runTry(world, one, index, problems);
	}

	for (const afterSteps of restarts) {
		void restartLater(world, afterSteps);
	}

	await scheduler.waitIdle();
	for (const [reference, runs] of world.runs) {
		require(runs <= 1, `${reference} ran ${runs} times`);
	}

	require(problems.length === 0, String(problems[0]));
}

async function restartLater(world: World, afterSteps: number): Promise<void> {
	for (let step = 0; step < afterSteps; step++) {
		await world.step('time');
	}

	world.agents[afterSteps % agentCount].restart();
}

/** Sends an order, and again through another entry while there is no answer, as a caller does. */
async function runTry(world: World, one: Try, index: number, problems: unknown[]): Promise<void> {
	await world.step('arrives');
	try {
		for (let send = 0; send < sends; send++) {
			const answer = await sendOnce(world, one, `request-${index}-${send}`);
			if (answer.kind === 'whole') {
				return;
			}
		}
	} catch (error) {
		problems.push(error);
	}
}

async function sendOnce(world: World, one: Try, requestId: string): Promise<CheckedAnswer> {
	const {reference, crashesAfterSteps} = one;
	const control = new FuzzControl(world, reference);
	const answer = new CheckedAnswer(reference, control);
	const {runner, run} = makeRunner(world, control, crashesAfterSteps);
	const request = {
		clientAccount: account, service, method: 'POST', path: '/orders', headers: {}, body: Buffer.from(reference), idempotencyClass: 'nonIdempotent', deadlineMs: 10_000,
	} as const;
	await runner.run({
		requestId, request, idempotencyKey: reference, run,
	}, answer);
	require(answer.kind !== 'open', `${reference} got no final answer`);
	require(answer.kind !== 'didNotRun' || !world.ranRequestIds.has(requestId), `${requestId} was said not to have run, and had`);
	return answer;
}

function makeRunner(world: World, control: FuzzControl, crashesAfterSteps: number): {runner: ClaimedRunner; run: RoutedRun} {
	const directory = emptyDirectory();
	for (const agent of world.agents) {
		agent.announce(directory);
	}

	const crash = crashing(crashesAfterSteps);
	const clock = new StillClock();
	const agents = {at: (address: string) => crash(world.agents.find(agent => agent.targetId === address)!)} as unknown as AgentConnections;
	const dispatcher = new Dispatcher({
		directory, agents, clock, waitBeforeReconnect: async () => world.step('pause'),
	});
	const runner = new ClaimedRunner({
		dispatcher, control: crash(control) as unknown as ControlAccess, clock, logger: silentLogger,
	});
	return {runner, run: routedRun(directory)};
}

/** Routing that tries every target once, in order. */
function routedRun(directory: DirectoryState): RoutedRun {
	const tried = new Set<string>();
	const run = {
		nextTarget: () => [...directory.targets.values()].find(target => !tried.has(target.announcement.targetId)),
		attemptFields: () => ({}),
		recordDispatch(targetId: string) {
			tried.add(targetId);
			return () => undefined;
		},
		failed: async () => undefined,
		recordSuccess: () => undefined,
	};
	return run as unknown as RoutedRun;
}

/** Makes the calls of one entry process end in silence after a number of them, as a crash does. */
function crashing(callsLeft: number): <Port extends FuzzAgent | FuzzControl>(port: Port) => Port {
	let left = callsLeft;
	return port => new Proxy(port, {
		get(inner, name) {
			const member: unknown = Reflect.get(inner, name, inner);
			if (typeof member !== 'function') {
				return member;
			}

			return (...parameters: unknown[]): unknown => {
				left--;
				return left < 0 ? silence() : Reflect.apply(member, inner, parameters);
			};
		},
	});
}

/** Neither a promise nor a stream that ever yields anything. */
function silence(): unknown {
	const never = new Promise<never>(() => {
		// Stays pending.
	});
	return Object.assign(never, {cancel: () => undefined, [Symbol.asyncIterator]: () => ({next: async () => never, return: async () => ({done: true, value: undefined})})});
}

function answerParts(reference: string): string[] {
	return [`${reference}: `, 'booked', ', ', `${reference}.`];
}

function require(condition: boolean, problem: string): void {
	if (!condition) {
		throw new Error(problem);
	}
}

/**
Stateful fuzz test of the request path: the claimed runners of several entries, the agents' attempt tables and the
ledger, under a seeded schedule with crashing entries, restarting agents, broken connections, duplicated and delayed
dispatches, failing targets and lost ledger answers.

The oracle counts how often each order was actually run, and checks every answer against the order it belongs to.
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

/** Maximum number of times a caller sends its order until it receives the whole answer. */
const sends = 3;

/** Makes random decisions from a generated list of numbers, so that a failing case can be replayed and shrunk. */
class RandomChoices {
	readonly #numbers: readonly number[];
	#next = 0;

	constructor(numbers: readonly number[]) {
		this.#numbers = numbers;
	}

	/** Returns true with a probability of about `share` percent. */
	chance(share: number): boolean {
		const number = this.#numbers[this.#next % this.#numbers.length];
		this.#next++;
		return number < share;
	}
}

class FixedClock extends Clock {
	monotonicMs(): number {
		return 1000;
	}

	wallMs(): number {
		return 1000;
	}
}

const silentLogger = {log: () => undefined} as unknown as Logger;

/** Shared state of a simulated fleet: scheduler, random choices, agents, ledger and the counted runs. */
class Simulation {
	readonly scheduler: Scheduler;
	readonly choices: RandomChoices;
	readonly runs = new Map<string, number>();
	readonly executedRequestIds = new Set<string>();
	readonly agents: FuzzAgent[] = [];
	#ledger = emptyLedger();

	constructor(scheduler: Scheduler, choices: RandomChoices) {
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
		if (this.choices.chance(5)) {
			const text = JSON.stringify(serializeLedger(this.#ledger));
			this.#ledger = deserializeLedger(JSON.parse(text) as ReturnType<typeof serializeLedger>);
		}

		return applyLedgerCommand(this.#ledger, command);
	}
}

/** A simulated agent with its target, with the interface of an agent connection. */
class FuzzAgent {
	readonly targetId: string;
	readonly #simulation: Simulation;
	#table: AttemptTable;
	#incarnation = 10;

	constructor(simulation: Simulation, targetId: string) {
		this.#simulation = simulation;
		this.targetId = targetId;
		this.#table = this.#createTable();
	}

	/** Simulates a process restart: loses all state and gets a new incarnation. */
	restart(): void {
		this.#incarnation += 10;
		this.#table = this.#createTable();
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
		if (this.#simulation.choices.chance(15)) {
			void this.#deliverDuplicate(request);
		}

		return this.#call(async () => {
			await this.#simulation.step('dispatch');
			return this.#simulation.choices.chance(10) ? undefined : this.#deliver(request);
		}, 0);
	}

	resume(request: agentProtocol.ResumeRequest): unknown {
		return this.#call(async () => {
			await this.#simulation.step('resume');
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
		await this.#simulation.step('seal');
		if (this.#simulation.choices.chance(10)) {
			done(new Error('question lost'));
			return;
		}

		const outcome = this.#table.seal(request, request.incarnation);
		await this.#simulation.step('sealReply');
		if (this.#simulation.choices.chance(10)) {
			done(new Error('reply lost'));
			return;
		}

		done(undefined, {outcome, incarnation: this.#table.incarnation});
	}

	#createTable(): AttemptTable {
		return new AttemptTable({incarnation: this.#incarnation, memory: new StreamMemory(bufferBytes), maxRecordsPerIncarnation: 6});
	}

	async #deliverDuplicate(request: agentProtocol.ExecuteRequest): Promise<void> {
		await this.#simulation.step('copy');
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
		await this.#simulation.step('turn');
		if (this.#simulation.choices.chance(20)) {
			table.refuse(attempt, createRefusal('overloaded', 'full'));
			return;
		}

		// An agent process that was restarted in the meantime hands nothing over to the target.
		if (table !== this.#table || !table.handOver(attempt)) {
			return;
		}

		const {requestId, body} = attempt.request;
		const reference = Buffer.from(body).toString('utf8');
		this.#simulation.runs.set(reference, this.#simulation.runsOf(reference) + 1);
		this.#simulation.executedRequestIds.add(requestId);
		attempt.buffer.head({status: 201, headers: {reference}});
		for (const part of answerParts(reference)) {
			await this.#simulation.step('answer');
			if (this.#simulation.choices.chance(10)) {
				attempt.buffer.refuse(createFailure('targetFailed', 'crashed'));
				break;
			}

			attempt.buffer.data(Buffer.from(part));
		}

		attempt.buffer.end();
		table.finish(attempt);
		await this.#simulation.step('drop');
		if (this.#simulation.choices.chance(30)) {
			table.drop(attempt);
		}
	}

	/** Returns a frame stream that may break before any frame, and that breaks when the agent restarts. */
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
			await this.#simulation.step('frame');
			const found = attempt.buffer.frameAt(sequence);
			if (found.kind === 'dropped' || this.#simulation.choices.chance(5)) {
				return;
			}

			if (found.kind === 'frame') {
				sequence++;
				yield found.frame;
			}
		}
	}
}

/** The ledger as the entry of one caller sees it. Its answers may be lost, and its commands may be applied twice. */
class FuzzControl {
	/** Number of runs of the order at the time of the ledger's last answer. */
	runsAtLastAnswer = 0;
	readonly #simulation: Simulation;
	readonly #reference: string;

	constructor(simulation: Simulation, reference: string) {
		this.#simulation = simulation;
		this.#reference = reference;
	}

	async submit(command: FleetCommand): Promise<unknown> {
		await this.#simulation.step('submit');
		const lost = err({type: 'unreachable', message: 'lost'});
		if (command.kind !== 'ledger' || this.#simulation.choices.chance(2)) {
			return lost;
		}

		const answer = this.#simulation.apply(command.command);
		this.runsAtLastAnswer = this.#simulation.runsOf(this.#reference);
		if (this.#simulation.choices.chance(10)) {
			this.#simulation.apply(command.command);
		}

		await this.#simulation.step('submitAnswer');
		return this.#simulation.choices.chance(2) ? lost : ok({kind: 'ledger', answer});
	}
}

/** Records what a caller receives, and checks it. */
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
		assertThat(headers.reference === this.#reference, `the response head of ${headers.reference} was sent to ${this.#reference}`);
	}

	async data(bytes: Uint8Array): Promise<void> {
		this.#body += Buffer.from(bytes).toString('utf8');
	}

	end(): void {
		this.#settle('whole');
		assertThat(this.#body === answerParts(this.#reference).join(''), `the answer to ${this.#reference} has the wrong body "${this.#body}"`);
	}

	fail(failure: RequestFailure): void {
		this.#settle(failure.execution);
		const isTruthful = failure.execution !== 'didNotRun' || this.#control.runsAtLastAnswer === 0;
		assertThat(isTruthful, `${this.#reference} was reported as not run, but it had run`);
	}

	#settle(kind: CheckedAnswer['kind']): void {
		assertThat(this.kind === 'open', `${this.#reference} received two final answers`);
		this.kind = kind;
	}
}

/** The submission of an order by one caller, at an entry that crashes after a number of calls. */
type Submission = {readonly reference: string; readonly crashesAfterSteps: number};

/** Fuzzes the request path. Throws with the smallest counterexample found. */
export async function fuzz(options: FuzzOptions): Promise<void> {
	const submissions = fc.array(fc.record({reference: fc.constantFrom('order-a', 'order-b'), crashesAfterSteps: fc.oneof(fc.constant(1000), fc.nat(12))}), {minLength: 1, maxLength: 6});
	const numbers = fc.array(fc.nat(99), {minLength: 50, maxLength: 300});
	const restarts = fc.array(fc.nat(40), {maxLength: 2});
	const property = fc.asyncProperty(fc.scheduler(), submissions, numbers, restarts, checkFleet);
	await fc.assert(property, {seed: options.seed, numRuns: options.runs, endOnFailure: false});
}

async function checkFleet(scheduler: Scheduler, submissions: readonly Submission[], numbers: readonly number[], restarts: readonly number[]): Promise<void> {
	const simulation = new Simulation(scheduler, new RandomChoices(numbers));
	const problems: unknown[] = [];
	for (const [index, submission] of submissions.entries()) {
		void submitUntilAnswered(simulation, submission, index, problems);
	}

	for (const afterSteps of restarts) {
		void restartAfterSteps(simulation, afterSteps);
	}

	await scheduler.waitIdle();
	for (const [reference, runs] of simulation.runs) {
		assertThat(runs <= 1, `${reference} ran ${runs} times`);
	}

	assertThat(problems.length === 0, String(problems[0]));
}

async function restartAfterSteps(simulation: Simulation, afterSteps: number): Promise<void> {
	for (let step = 0; step < afterSteps; step++) {
		await simulation.step('time');
	}

	simulation.agents[afterSteps % agentCount].restart();
}

/** Sends an order as a caller does: again through another entry until it receives the whole answer. */
async function submitUntilAnswered(simulation: Simulation, submission: Submission, index: number, problems: unknown[]): Promise<void> {
	await simulation.step('arrives');
	try {
		for (let send = 0; send < sends; send++) {
			const answer = await sendOnce(simulation, submission, `request-${index}-${send}`);
			if (answer.kind === 'whole') {
				return;
			}
		}
	} catch (error) {
		problems.push(error);
	}
}

async function sendOnce(simulation: Simulation, submission: Submission, requestId: string): Promise<CheckedAnswer> {
	const {reference, crashesAfterSteps} = submission;
	const control = new FuzzControl(simulation, reference);
	const answer = new CheckedAnswer(reference, control);
	const {runner, run} = createRunner(simulation, control, crashesAfterSteps);
	const request = {
		clientAccount: account, service, method: 'POST', path: '/orders', headers: {}, body: Buffer.from(reference), idempotencyClass: 'nonIdempotent', deadlineMs: 10_000,
	} as const;
	await runner.run({
		requestId, request, idempotencyKey: reference, run,
	}, answer);
	assertThat(answer.kind !== 'open', `${reference} received no final answer`);
	assertThat(answer.kind !== 'didNotRun' || !simulation.executedRequestIds.has(requestId), `${requestId} was reported as not run, but it had run`);
	return answer;
}

function createRunner(simulation: Simulation, control: FuzzControl, crashesAfterSteps: number): {runner: ClaimedRunner; run: RoutedRun} {
	const directory = emptyDirectory();
	for (const agent of simulation.agents) {
		agent.announce(directory);
	}

	const crash = crashAfterCalls(crashesAfterSteps);
	const clock = new FixedClock();
	const agents = {at: (address: string) => crash(simulation.agents.find(agent => agent.targetId === address)!)} as unknown as AgentConnections;
	const dispatcher = new Dispatcher({
		directory, agents, clock, waitBeforeReconnect: async () => simulation.step('pause'),
	});
	const runner = new ClaimedRunner({
		dispatcher, control: crash(control) as unknown as ControlAccess, clock, logger: silentLogger,
	});
	return {runner, run: routedRun(directory)};
}

/** Returns a routing that tries every target once, in order. */
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

/** Simulates the crash of an entry process: after a number of calls, its calls never complete. */
function crashAfterCalls(callsLeft: number): <Port extends FuzzAgent | FuzzControl>(port: Port) => Port {
	let left = callsLeft;
	return port => new Proxy(port, {
		get(inner, name) {
			const member: unknown = Reflect.get(inner, name, inner);
			if (typeof member !== 'function') {
				return member;
			}

			return (...parameters: unknown[]): unknown => {
				left--;
				return left < 0 ? neverAnswers() : Reflect.apply(member, inner, parameters);
			};
		},
	});
}

/** Returns the result of a call that never completes: a promise that stays pending, and a frame stream without frames. */
function neverAnswers(): unknown {
	const never = new Promise<never>(() => {
		// Stays pending.
	});
	return Object.assign(never, {cancel: () => undefined, [Symbol.asyncIterator]: () => ({next: async () => never, return: async () => ({done: true, value: undefined})})});
}

function answerParts(reference: string): string[] {
	return [`${reference}: `, 'booked', ', ', `${reference}.`];
}

function assertThat(condition: boolean, problem: string): void {
	if (!condition) {
		throw new Error(problem);
	}
}

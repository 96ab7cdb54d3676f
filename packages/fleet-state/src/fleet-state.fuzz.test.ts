/** Model-based fuzzing of the fleet state machine against an oracle with unbounded history. */
import {describe, it} from 'node:test';
import process from 'node:process';
import type {ChangeAnswer, ConfigurationChange} from '@rattanspring/types';
import {expect} from 'earl';
import {
	assert, commands, constantFrom, integer, modelRun, property, record, constant, type Command,
} from 'fast-check';
import {
	applyFleetCommand, emptyFleetState, type FleetAnswer, type FleetState,
} from './fleet-state.js';
import {deserializeFleetState, serializeFleetState} from './serialize-fleet-state.js';
import {buildChange} from './test-fixtures.js';

const seed = Number(process.env.FUZZ_SEED ?? 4);
const runs = Number(process.env.FUZZ_RUNS ?? 100);
const retention = 40;

/** The model: accepted change ids in order, and the first answer to each change. */
type Oracle = {
	readonly accepted: string[];
	readonly answers: Map<string, string>;
	readonly sent: ConfigurationChange[];
	/** Ids that the state machine must still have cached, oldest first. */
	readonly remembered: string[];
	/** Sample size after the accepted changes. */
	sampleSize: number | undefined;
	highestFencingNumber: number;
	lease: {holder: string; fencingNumber: number; endsAtMs: number} | undefined;
	nowMs: number;
};

/** The replicas under test; each applies every command. */
type Replicas = {states: FleetState[]};

/** Number of commands run, over all sequences. */
let commandsRun = 0;

abstract class FleetFuzzCommand implements Command<Oracle, Replicas> {
	check(): boolean {
		return true;
	}

	abstract run(oracle: Oracle, replicas: Replicas): void;
	abstract toString(): string;
}

function submitToAll(replicas: Replicas, change: ConfigurationChange): ChangeAnswer {
	const answers = replicas.states.map(state => applyFleetCommand(state, {kind: 'change', change}));
	expect(answers[1]).toEqual(answers[0]);
	const first: FleetAnswer = answers[0];
	if (first.kind !== 'change') {
		throw new TypeError('not the answer to a change');
	}

	return first.answer;
}

/** Records a newly computed answer, as opposed to a cached one, in the oracle. */
function recordAnswer(oracle: Oracle, change: ConfigurationChange, answer: ChangeAnswer): void {
	const {changeId, edits} = change;
	oracle.answers.set(changeId, JSON.stringify(answer));
	oracle.remembered.push(changeId);
	if (oracle.remembered.length > retention) {
		oracle.remembered.shift();
	}

	if (answer.kind === 'accepted') {
		expect(oracle.accepted.includes(changeId)).toEqual(false);
		oracle.accepted.push(changeId);
		expect(answer.revision).toEqual(oracle.accepted.length);
		const [edit] = edits;
		oracle.sampleSize = edit.kind === 'setDefault' ? Number(edit.value) : undefined;
	}
}

class SubmitChange extends FleetFuzzCommand {
	readonly #fields: {readonly baseLag: number; readonly sampleSize: number};

	constructor(fields: {readonly baseLag: number; readonly sampleSize: number}) {
		super();
		this.#fields = fields;
	}

	run(oracle: Oracle, replicas: Replicas): void {
		commandsRun++;
		const {baseLag, sampleSize} = this.#fields;
		const revision = oracle.accepted.length;
		const base = revision - baseLag;
		const change = buildChange(`change-${oracle.sent.length}`, base, [{kind: 'setDefault', key: 'routing.sampleSize', value: sampleSize}]);
		const answer = submitToAll(replicas, change);
		const isValid = sampleSize >= 1 && sampleSize <= 64;
		const expected = base > revision || (baseLag === 0 && !isValid) ? 'rejected' : (baseLag === 0 ? 'accepted' : 'conflict');
		expect(answer.kind).toEqual(expected);
		oracle.sent.push(change);
		recordAnswer(oracle, change, answer);

		if (answer.kind === 'conflict') {
			const expectedChanges = oracle.accepted.slice(Math.max(0, base));
			expect(answer.omittedChanges + answer.changesSince.length).toEqual(revision - base);
			expect(answer.changesSince.map(earlier => earlier.changeId)).toEqual(expectedChanges.slice(expectedChanges.length - answer.changesSince.length));
		}

		for (const state of replicas.states) {
			expect(state.configuration.defaults['routing.sampleSize'] as number | undefined).toEqual(oracle.sampleSize);
		}
	}

	toString(): string {
		return `submit(${JSON.stringify(this.#fields)})`;
	}
}

/** Drops the list of changes of a conflict, which the bounded history may truncate. */
function withoutChangesSince(answer: ChangeAnswer): unknown {
	return answer.kind === 'conflict' ? {kind: answer.kind, currentRevision: answer.currentRevision} : answer;
}

class ResendChange extends FleetFuzzCommand {
	readonly #age: number;

	constructor(age: number) {
		super();
		this.#age = age;
	}

	override check(oracle?: Readonly<Oracle>): boolean {
		return (oracle?.sent.length ?? 0) > this.#age;
	}

	run(oracle: Oracle, replicas: Replicas): void {
		commandsRun++;
		const change = oracle.sent[oracle.sent.length - 1 - this.#age];
		const isRemembered = oracle.remembered.includes(change.changeId);
		const answer = submitToAll(replicas, change);
		if (isRemembered) {
			expect(withoutChangesSince(answer)).toEqual(withoutChangesSince(JSON.parse(oracle.answers.get(change.changeId)!) as ChangeAnswer));
		} else {
			recordAnswer(oracle, change, answer);
		}

		expect(replicas.states[0].configuration.revision).toEqual(oracle.accepted.length);
	}

	toString(): string {
		return `resend(${this.#age})`;
	}
}

class ReuseChangeId extends FleetFuzzCommand {
	override check(oracle?: Readonly<Oracle>): boolean {
		return (oracle?.remembered.length ?? 0) > 0;
	}

	run(oracle: Oracle, replicas: Replicas): void {
		commandsRun++;
		const changeId = oracle.remembered.at(-1)!;
		const answer = submitToAll(replicas, {...buildChange(changeId, oracle.accepted.length), reason: 'another one'});
		expect(answer.kind === 'rejected' && answer.type).toEqual('changeIdReused');
	}

	toString(): string {
		return 'reuseChangeId';
	}
}

class Restart extends FleetFuzzCommand {
	run(_oracle: Oracle, replicas: Replicas): void {
		commandsRun++;
		const text = JSON.stringify(serializeFleetState(replicas.states[1]));
		replicas.states[1] = deserializeFleetState(JSON.parse(text) as Parameters<typeof deserializeFleetState>[0]);
	}

	toString(): string {
		return 'restart';
	}
}

class AcquireLease extends FleetFuzzCommand {
	readonly #fields: {readonly holder: string; readonly passedMs: number};

	constructor(fields: {readonly holder: string; readonly passedMs: number}) {
		super();
		this.#fields = fields;
	}

	run(oracle: Oracle, replicas: Replicas): void {
		commandsRun++;
		const {holder, passedMs} = this.#fields;
		oracle.nowMs += passedMs;
		const leaderTime = {leaderId: 'voter-1', monotonicMs: oracle.nowMs};
		const [answer, other] = replicas.states.map(state => applyFleetCommand(state, {
			kind: 'lease',
			leaderTime,
			command: {
				kind: 'acquire', subject: {kind: 'targetOwner', name: 't'}, holder, durationMs: 1000,
			},
		}));
		expect(other).toEqual(answer);
		const held = oracle.lease && oracle.lease.endsAtMs > oracle.nowMs ? oracle.lease : undefined;
		if (answer.kind !== 'lease' || answer.answer.kind !== 'granted') {
			expect(held?.holder).not.toEqual(holder);
			expect(held).not.toEqual(undefined);
			return;
		}

		const {fencingNumber} = answer.answer;
		expect(held === undefined || held.holder === holder).toEqual(true);
		expect(held ? fencingNumber === held.fencingNumber : fencingNumber > oracle.highestFencingNumber).toEqual(true);
		oracle.highestFencingNumber = fencingNumber;
		oracle.lease = {holder, fencingNumber, endsAtMs: oracle.nowMs + 1000};
	}

	toString(): string {
		return `acquire(${JSON.stringify(this.#fields)})`;
	}
}

describe('fleet state under random commands', () => {
	it('agrees with an oracle with unbounded history', context => {
		const submits = record({baseLag: integer({min: -1, max: 3}), sampleSize: integer({min: 0, max: 66})});
		const anyCommands = commands([
			submits.map(fields => new SubmitChange(fields)),
			submits.map(fields => new SubmitChange({...fields, baseLag: 0})),
			integer({min: 0, max: 120}).map(age => new ResendChange(age)),
			constant(new ReuseChangeId()),
			constant(new Restart()),
			record({holder: constantFrom('a', 'b', 'c'), passedMs: integer({min: 0, max: 700})}).map(fields => new AcquireLease(fields)),
		], {maxCommands: 250, size: 'max'});
		assert(property(anyCommands, sequence => {
			modelRun(() => ({
				model: {
					remembered: [], accepted: [], answers: new Map(), sent: [], sampleSize: undefined, highestFencingNumber: 0, lease: undefined, nowMs: 0,
				},
				real: {states: [emptyFleetState({answered: retention, history: retention}), emptyFleetState({answered: retention, history: retention})]},
			}), sequence);
		}), {seed, numRuns: runs});
		context.diagnostic(`seed ${seed}, ${runs} runs, ${commandsRun} commands`);
	});
});

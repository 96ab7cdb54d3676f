import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	after, before, describe, it,
} from 'node:test';
import {FatalErrorHandler} from '@rattanspring/log-storage';
import {SilentLogger} from '@rattanspring/logger';
import {FailureError} from '@rattanspring/types';
import {expect} from 'earl';
import {SystemClock} from '@rattanspring/voter-group';
import {freePorts, waitUntil} from '../test-fleet.js';
import {GrpcListener} from './grpc-listener.js';
import {ReplicatedFleetLog} from './replicated-fleet-log.js';

const host = '127.0.0.1';

class ThrowingFatalErrorHandler extends FatalErrorHandler {
	end(failure: {type: string; message: string}): void {
		throw new FailureError(failure);
	}
}

type VoterOptions = {readonly name: string; readonly port: number; readonly folder: string; readonly names: readonly string[]; readonly ports: readonly number[]; readonly start?: 'newGroup' | 'joinGroup'};

class RunningVoter {
	readonly log: ReplicatedFleetLog;
	readonly revisions: number[] = [];
	readonly #listener: GrpcListener;

	constructor({name, port, folder, names, ports, start = 'newGroup'}: VoterOptions) {
		this.log = new ReplicatedFleetLog({
			settings: {
				listen: {host, port}, voterId: name, start, initialVoters: names.map((voterId, index) => ({voterId, address: `${host}:${ports[index]}`})),
			},
			dataFolder: folder,
			fatalErrorHandler: new ThrowingFatalErrorHandler(),
			logger: new SilentLogger(),
			clock: new SystemClock(),
			snapshotEveryEntries: 20,
		});
		this.#listener = new GrpcListener({listen: {host, port}});
		this.#listener.addService(this.log.service.definition, this.log.service.implementation);
		this.log.onConfiguration(configuration => {
			this.revisions.push(configuration.revision);
		});
	}

	async start(): Promise<void> {
		await this.#listener.start();
		await this.log.start();
	}

	async stop(): Promise<void> {
		await this.log.stop();
		await this.#listener.stop(100);
	}
}

describe('ReplicatedFleetLog', () => {
	const names = ['a', 'b', 'c'];
	let folder: string;
	let ports: number[];
	let voters: RunningVoter[];
	let revision = 0;

	function createVoter(index: number): RunningVoter {
		return new RunningVoter({
			name: names[index], port: ports[index], folder: path.join(folder, names[index]), names, ports,
		});
	}

	async function change(): Promise<void> {
		const changeId = `change-${revision + 1}`;
		await waitUntil(async () => {
			for (const {log} of voters) {
				const result = await log.submit({
					kind: 'change',
					change: {
						changeId, baseRevision: revision, operator: 'test', reason: 'test', edits: [{kind: 'setDefault', key: 'routing.sampleSize', value: 2 + (revision % 3)}],
					},
				});
				if (result.ok) {
					expect(result.value).toEqual({kind: 'change', answer: {kind: 'accepted', revision: revision + 1}});
					revision++;
					return true;
				}
			}

			return false;
		});
	}

	before(async () => {
		folder = await mkdtemp(path.join(tmpdir(), 'rattanspring-voters-'));
		ports = await freePorts(4);
		voters = names.map((_, index) => createVoter(index));
		await Promise.all(voters.map(async voter => voter.start()));
	});

	after(async () => {
		await Promise.all(voters.map(async voter => voter.stop()));
		await rm(folder, {recursive: true});
	});

	it('notifies listeners at every voter of accepted configurations in order', async () => {
		await change();
		await change();
		await waitUntil(() => voters.every(voter => voter.revisions.at(-1) === 2));
		expect(voters.every(voter => voter.revisions.every((value, index) => index === 0 || value > voter.revisions[index - 1]))).toEqual(true);
	});

	it('answers confirmed reads at every voter', async () => {
		await change();
		for (const voter of voters) {
			const state = await voter.log.confirmedState();
			expect(state.ok && state.value.configuration.revision).toEqual(revision);
		}
	});

	it('returns the address of the leader when a follower refuses a command', async () => {
		const follower = voters.find(voter => voter.log.membership!.leaderId !== voter.log.voterId)!;
		const result = await follower.log.submit({
			kind: 'change', change: {
				changeId: 'other', baseRevision: 0, operator: 'test', reason: 'test', edits: [],
			},
		});
		expect(result.ok).toEqual(false);
		expect(!result.ok && result.failure.leaderAddress).toEqual(`${host}:${ports[voters.findIndex(voter => voter.log.voterId === follower.log.membership!.leaderId)]}`);
	});

	it('recovers from snapshots and log files after every voter has restarted', async () => {
		for (const index of names.keys()) {
			await voters[index].stop();
			voters[index] = createVoter(index);
			const starting = voters[index].start();
			for (let count = 0; count < 15; count++) {
				await change();
			}

			await starting;
		}

		await waitUntil(() => voters.every(voter => voter.revisions.at(-1) === revision));
		expect(revision).toEqual(48);
	});

	it('refuses a voter that lost its disk, and accepts a new member as its replacement', async () => {
		const [lost] = voters;
		const lostId = lost.log.voterId!;
		await lost.stop();
		voters.shift();
		const empty = new RunningVoter({
			name: 'a', port: ports[0], folder: path.join(folder, 'a-empty'), names, ports,
		});
		const refusal = await empty.start().then(() => undefined, (error: unknown) => error);
		expect(refusal instanceof FailureError && (refusal as FailureError).failure.type).toEqual('notInGroup');
		await empty.stop();

		const added = new RunningVoter({
			name: 'a', port: ports[3], folder: path.join(folder, 'a-new'), names, ports, start: 'joinGroup',
		});
		await added.start();
		const others = [...voters];
		voters.push(added);
		await waitUntil(async () => {
			const results = await Promise.all(others.map(async voter => voter.log.changeMembership({kind: 'add', learner: {voterId: added.log.voterId!, address: `${host}:${ports[3]}`, replaces: lostId}})));
			return results.some(result => result.ok || result.failure.type === 'membershipRefused');
		});
		const wanted = voters.map(voter => voter.log.voterId!).toSorted();
		await waitUntil(() => JSON.stringify(added.log.membership!.voters.map(voter => voter.voterId).toSorted()) === JSON.stringify(wanted));
		await change();
		await waitUntil(() => added.revisions.at(-1) === revision);
	});
});

import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import {
	initialLog, LogStorage, PeerTransport, type RecoveredLog, StateMachine,
} from '@rattanspring/replicated-log';
import {expect} from 'earl';
import {ReplicaDriver} from './replica-driver.js';
import {SystemClock} from './system-clock.js';
import {waitFor} from './wait-for.js';

/** Stores nothing. */
class NoStorage extends LogStorage {
	async recover(): Promise<RecoveredLog> {
		return {voteState: {term: 0}, entries: []};
	}

	async append(): Promise<void> {
		await Promise.resolve();
	}

	async saveVoteState(): Promise<void> {
		await Promise.resolve();
	}

	async saveSnapshot(): Promise<void> {
		await Promise.resolve();
	}

	async close(): Promise<void> {
		await Promise.resolve();
	}
}

/** Reaches nobody. */
class NoTransport extends PeerTransport {
	readonly sent: unknown[] = [];

	send(...message: unknown[]): void {
		this.sent.push(message);
	}

	close(): void {
		this.sent.length = 0;
	}
}

class NoMachine extends StateMachine<number> {
	readonly commands: Uint8Array[] = [];

	apply(command: Uint8Array): number {
		return this.commands.push(command);
	}

	restore(): void {
		this.commands.length = 0;
	}

	serialize(): Uint8Array {
		return new Uint8Array();
	}
}

async function startLeader(): Promise<ReplicaDriver<number>> {
	const driver = new ReplicaDriver({
		voterId: 'a',
		storage: new NoStorage(),
		transport: new NoTransport(),
		stateMachine: new NoMachine(),
		clock: new SystemClock(),
		random: Math.random,
		replica: {electionTimeoutMs: 50, heartbeatIntervalMs: 10},
		snapshotEveryEntries: 64,
		onApplied: () => undefined,
		onRoleChanged: () => undefined,
	}, initialLog({voters: [{voterId: 'a', address: '127.0.0.1:1'}], learners: []}));
	driver.start();
	expect(await waitFor(() => driver.state.role === 'leader', 5000)).toEqual(true);
	return driver;
}

/** Types of the failures of all kinds of requests; a request that gets no answer has none. */
async function failuresOf(requests: ReadonlyArray<Promise<{readonly ok: boolean; readonly failure?: {readonly type: string}}>>): Promise<Array<string | undefined>> {
	const types: Array<string | undefined> = requests.map(() => undefined);
	for (const [index, request] of requests.entries()) {
		void request.then(result => {
			types[index] = result.failure?.type;
		});
	}

	await waitFor(() => !types.includes(undefined), 1000);
	return types;
}

describe('a voter that stops', () => {
	it('answers what is asked after its stop', async () => {
		const driver = await startLeader();
		await driver.stop();
		const requests = [driver.propose(Buffer.from('x')), driver.read(), driver.changeMembership({kind: 'remove', voterId: 'a'})];
		expect(await failuresOf(requests)).toEqual(['notLeader', 'notLeader', 'notLeader']);
	});

	it('answers the commands that it has taken on and not yet appended', async () => {
		const driver = await startLeader();
		const requests = [driver.propose(Buffer.from('x')), driver.propose(Buffer.from('y'))];
		const stopped = driver.stop();
		expect(await failuresOf(requests)).toEqual(['notLeader', 'notLeader']);
		await stopped;
	});
});

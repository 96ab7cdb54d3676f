/** Runs voter daemons in separate processes, each with its own data folder; they can be killed, suspended, restarted and replaced. */

import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {VoterAccess, type VoterListEntry} from '@rattanspring/control-client';
import {freePorts} from '@rattanspring/daemon';
import {FailureError} from '@rattanspring/types';
import {ProcessFleet, type FleetProcess} from '../process-fleet.js';

const host = '127.0.0.1';
const pollMs = 50;
const conditionTimeoutMs = 20_000;

/** One voter. */
export type VoterProcess = {readonly name: string; readonly port: number; readonly adminPort: number; readonly start: 'newGroup' | 'joinGroup'; running: FleetProcess | undefined};

/** The voters of one experiment. */
export class VoterProcesses {
	/** Starts a new group and waits until all voters are ready. */
	static async start(count: number): Promise<VoterProcesses> {
		const voters = new VoterProcesses(await freePorts(2 * (count + 1)), count);
		// The fleet creates its folder on first use; doing so here keeps the concurrent restarts below from creating it twice.
		await voters.#fleet.folder();
		await Promise.all(voters.#voters.map(async voter => voters.restart(voter)));
		return voters;
	}

	readonly #fleet = new ProcessFleet();
	readonly #access: VoterAccess;
	readonly #voters: VoterProcess[];
	readonly #spare: VoterProcess;

	private constructor(ports: number[], count: number) {
		const make = (name: string, start: VoterProcess['start']): VoterProcess => ({
			name, port: ports.pop()!, adminPort: ports.pop()!, start, running: undefined,
		});
		this.#voters = Array.from({length: count}, (_, index) => make(`voter-${index + 1}`, 'newGroup'));
		this.#spare = make('voter-new', 'joinGroup');
		this.#access = new VoterAccess({addresses: this.addresses});
	}

	/** Addresses of all voters, the spare one and replaced ones included. */
	get addresses(): string[] {
		return [...this.#voters, this.#spare].map(voter => addressOf(voter));
	}

	/** Voters with a running process. */
	get running(): VoterProcess[] {
		return this.#voters.filter(voter => voter.running);
	}

	/** The voter that a quorum confirms as leader. */
	async leader(): Promise<VoterProcess> {
		return this.#poll(async () => {
			const entries = await this.#list();
			const leader = entries.find(entry => entry.standing === 'leader');
			return this.running.find(voter => addressOf(voter) === leader?.address);
		});
	}

	/** Kills the process of a voter with SIGKILL. */
	kill(voter: VoterProcess): void {
		voter.running?.child.kill('SIGKILL');
		voter.running = undefined;
	}

	/** Suspends the process of a voter with SIGSTOP; its connections stay open. */
	suspendProcess(voter: VoterProcess): void {
		voter.running?.child.kill('SIGSTOP');
	}

	/** Resumes a suspended process with SIGCONT. */
	resumeProcess(voter: VoterProcess): void {
		voter.running?.child.kill('SIGCONT');
	}

	/** Starts a voter on its existing data folder; waits until it is ready unless it joins a group. */
	async restart(voter: VoterProcess): Promise<void> {
		const folder = await this.#fleet.folder();
		const initialVoters = voter.start === 'newGroup' ? this.#voters.map(other => ({voterId: other.name, address: addressOf(other)})) : [];
		voter.running = await this.#fleet.startDaemon({
			vm: voter.name,
			region: 'bench',
			failureDomain: `bench-${voter.name}`,
			dataFolder: path.join(folder, voter.name),
			logLevel: 'error',
			transport: {mode: 'plaintext'},
			admin: {listen: {host, port: voter.adminPort}},
			roles: {
				control: {
					listen: {host, port: voter.port}, voterId: voter.name, start: voter.start, initialVoters,
				},
			},
		});
		if (voter.start === 'newGroup') {
			await this.#fleet.ready(voter.adminPort);
		}
	}

	/** Replaces a voter that lost its disk by the spare one; resolves once the spare one is a voter and the lost one is removed. */
	async replace(lost: VoterProcess): Promise<void> {
		const before = await this.#list();
		const lostId = before.find(entry => entry.address === addressOf(lost))!.voterId;
		await this.restart(this.#spare);
		await this.#poll(async () => {
			await this.#access.change({$case: 'add', value: {address: addressOf(this.#spare), replaces: lostId}});
			const entries = await this.#list();
			const isVoter = entries.some(entry => entry.address === addressOf(this.#spare) && entry.standing !== 'learner');
			return isVoter && !entries.some(entry => entry.voterId === lostId) ? true : undefined;
		});
		this.#voters.splice(this.#voters.indexOf(lost), 1, this.#spare);
	}

	/** Kills all processes. */
	async stop(): Promise<void> {
		this.#access.close();
		await this.#fleet.stop();
	}

	async #list(): Promise<readonly VoterListEntry[]> {
		const answer = await this.#access.list();
		return answer.ok ? answer.value : [];
	}

	async #poll<Value>(query: () => Promise<Value | undefined>): Promise<Value> {
		const deadlineMs = Date.now() + conditionTimeoutMs;
		while (Date.now() < deadlineMs) {
			const found = await query();
			if (found !== undefined) {
				return found;
			}

			await sleep(pollMs);
		}

		throw new FailureError({type: 'conditionNotMet', message: `The voter group did not reach the expected state within ${conditionTimeoutMs} ms.`});
	}
}

function addressOf(voter: VoterProcess): string {
	return `${host}:${voter.port}`;
}

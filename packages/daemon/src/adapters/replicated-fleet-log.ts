/** The fleet log over the replicated log: the consensus core, files in the data folder and streams to the other voters. */

import {randomInt, randomUUID} from 'node:crypto';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {type ControlFailure, toJsonBytes} from '@rattanspring/control-client';
import type {FleetAnswer, FleetCommand, FleetState} from '@rattanspring/fleet-state';
import {type FatalErrorHandler, FileLogStorage, loadOrCreateDiskIdentity} from '@rattanspring/log-storage';
import type {Logger} from '@rattanspring/logger';
import type {KeyMaterial} from '@rattanspring/protocol';
import {
	currentMembership, findMember, initialLog, type Membership, type MembershipChange, type RecoveredLog, type ReplicaOptions,
} from '@rattanspring/replicated-log';
import type {ControlSettings} from '@rattanspring/settings';
import {
	type Clock, err, ok, type Result,
} from '@rattanspring/types';
import {
	formGroup, GrpcPeerTransport, type GrpcService, PeerCalls, peerService, ReplicaDriver, type RequestFailure,
} from '@rattanspring/voter-group';
import {type ConfigurationListener, FleetLog} from '../ports/fleet-log.js';
import {FleetStateMachine} from './fleet-state-machine.js';

/** Applied entries after which a snapshot is taken. */
const defaultSnapshotEveryEntries = 10_000;

/** Time for the state here to reach a position that the leader confirmed. */
const catchUpTimeoutMs = 1500;

/** Pause between attempts to confirm the first state. */
const confirmPauseMs = 100;

/** Time for another voter to take over at shutdown. */
const transferTimeoutMs = 1500;

const randomSteps = 2 ** 32;

/** Options of the log. */
export type ReplicatedFleetLogOptions = {
	readonly settings: ControlSettings;
	readonly dataFolder: string;
	readonly fatal: FatalErrorHandler;
	readonly logger: Logger;
	readonly clock: Clock;
	readonly keys?: KeyMaterial;
	readonly replica?: Partial<ReplicaOptions>;
	readonly snapshotEveryEntries?: number;
};

/** Members and the leader. */
export type GroupMembership = Membership & {readonly leaderId?: string};

/** Refusals that asking again, here or elsewhere, does not change. */
const finalRefusals = new Set<RequestFailure['type']>(['alreadyMember', 'unknownMember', 'lastVoter', 'quorumAtRisk']);

/** One voter or learner of the control group. */
export class ReplicatedFleetLog extends FleetLog {
	/** The peer protocol, to be served on the control role's port. */
	readonly service: GrpcService;
	readonly #options: ReplicatedFleetLogOptions;
	readonly #machine = new FleetStateMachine();
	readonly #storage: FileLogStorage;
	readonly #transport: GrpcPeerTransport;
	readonly #calls: PeerCalls;
	readonly #listeners: ConfigurationListener[] = [];
	#driver: ReplicaDriver<FleetAnswer> | undefined;
	#voterId: string | undefined;
	#isConfirmed = false;
	#isStopped = false;
	#notifiedRevision = -1;

	constructor(options: ReplicatedFleetLogOptions) {
		super();
		this.#options = options;
		this.#storage = new FileLogStorage({folder: path.join(options.dataFolder, 'log'), fatalErrorHandler: options.fatal});
		this.#transport = new GrpcPeerTransport({keys: options.keys});
		this.#calls = new PeerCalls(options.keys);
		this.service = peerService({
			voterId: () => this.#voterId,
			membership: () => this.#driver && currentMembership(this.#driver.state),
			receive: (envelope, fromAddress) => {
				this.#driver?.receive(envelope, fromAddress);
			},
			confirmIndex: async () => this.#confirmAsLeader(),
		});
	}

	/** Identity of this voter: its name and that of its data folder. */
	get voterId(): string | undefined {
		return this.#voterId;
	}

	/** Members in force and the leader, as this voter sees them. */
	get membership(): GroupMembership | undefined {
		const state = this.#driver?.state;
		return state && {...currentMembership(state), leaderId: state.leaderId};
	}

	async start(): Promise<void> {
		const {settings, dataFolder} = this.#options;
		const diskId = await loadOrCreateDiskIdentity({folder: dataFolder, createId: () => randomUUID().slice(0, 8)});
		const recovered = await this.#storage.recover();
		this.#voterId = `${settings.voterId}.${diskId}`;
		const start = await this.#startingPoint(recovered);
		if (!start || this.#isStopped) {
			return;
		}

		this.#driver = this.#makeDriver(start);
		this.#driver.start();
		void this.#confirmFirstState();
	}

	async submit(command: FleetCommand): Promise<Result<FleetAnswer, ControlFailure>> {
		if (!this.#driver) {
			return err(notStarted);
		}

		const result = await this.#driver.propose(toJsonBytes(command));
		return result.ok ? result : err(toControlFailure(result.failure));
	}

	async confirmedState(): Promise<Result<FleetState, ControlFailure>> {
		if (!this.#driver) {
			return err(notStarted);
		}

		if (this.#driver.state.role === 'leader') {
			const read = await this.#driver.read();
			return read.ok ? ok(this.#machine.state) : err(toControlFailure(read.failure));
		}

		return await this.#catchUpWithLeader(this.#driver) ? ok(this.#machine.state) : err(this.#notLeader(this.#driver));
	}

	/** Adds a member as a learner, or removes one. */
	async changeMembership(change: MembershipChange): Promise<Result<unknown, ControlFailure>> {
		if (!this.#driver) {
			return err(notStarted);
		}

		const result = await this.#driver.changeMembership(change);
		return result.ok ? result : err(toControlFailure(result.failure));
	}

	/** Asks who listens at an address. */
	async identify(address: string): Promise<string | undefined> {
		const reply = await this.#calls.identify(address);
		return reply?.voterId;
	}

	onConfiguration(listener: ConfigurationListener): void {
		this.#listeners.push(listener);
		if (this.#isConfirmed) {
			listener(this.#machine.state.configuration);
		}
	}

	async stop(): Promise<void> {
		this.#isStopped = true;
		const driver = this.#driver;
		if (driver) {
			await driver.transferLeadershipAndWait(transferTimeoutMs);
			await driver.stop();
		}

		this.#listeners.length = 0;
		this.#transport.close();
		this.#calls.close();
		await this.#storage.close();
	}

	async #startingPoint(recovered: RecoveredLog): Promise<RecoveredLog | undefined> {
		const {settings} = this.#options;
		const isEmpty = !recovered.snapshot && recovered.entries.length === 0;
		if (!isEmpty || settings.start === 'joinGroup') {
			return recovered;
		}

		const membership = await formGroup({
			voterId: this.#voterId!,
			ownAddress: settings.initialVoters.find(voter => voter.voterId === settings.voterId)!.address,
			addresses: settings.initialVoters.map(voter => voter.address),
			calls: this.#calls,
			isStopped: () => this.#isStopped,
		});
		if (!membership) {
			return undefined;
		}

		const formed = initialLog(membership);
		await this.#storage.saveSnapshot(formed.snapshot!);
		return formed;
	}

	#makeDriver(recovered: RecoveredLog): ReplicaDriver<FleetAnswer> {
		const {clock, logger, replica, snapshotEveryEntries = defaultSnapshotEveryEntries} = this.#options;
		return new ReplicaDriver({
			voterId: this.#voterId!,
			storage: this.#storage,
			transport: this.#transport,
			stateMachine: this.#machine,
			clock,
			random: () => randomInt(randomSteps) / randomSteps,
			replica,
			snapshotEveryEntries,
			onApplied: () => {
				this.#notify();
			},
			onRoleChanged(role, term) {
				logger.log('info', 'replicaRoleChanged', {role, term});
			},
		}, recovered);
	}

	async #confirmAsLeader(): Promise<number | undefined> {
		const read = await this.#driver?.read();
		return read?.ok ? read.value : undefined;
	}

	/** Waits until the state here has everything that was accepted before the call. */
	async #catchUpWithLeader(driver: ReplicaDriver<FleetAnswer>): Promise<boolean> {
		const leader = findMember(currentMembership(driver.state), driver.state.leaderId);
		const index = leader && await this.#calls.confirmIndex(leader.address);
		return index !== undefined && driver.waitForIndex(index, catchUpTimeoutMs);
	}

	/** After a start the state on disk may be old: nothing is told before a quorum confirmed it. */
	async #confirmFirstState(): Promise<void> {
		while (!this.#isStopped) {
			const state = await this.confirmedState();
			if (state.ok) {
				this.#isConfirmed = true;
				this.#notify();
				return;
			}

			await sleep(confirmPauseMs);
		}
	}

	#notify(): void {
		const {configuration, changes} = this.#machine.state;
		if (!this.#isConfirmed || configuration.revision === this.#notifiedRevision) {
			return;
		}

		// Without the one change in between, followers get the whole configuration.
		const isNext = configuration.revision === this.#notifiedRevision + 1;
		const accepted = isNext ? changes.history.at(-1) : undefined;
		this.#notifiedRevision = configuration.revision;
		for (const listener of this.#listeners) {
			listener(configuration, accepted);
		}
	}

	#notLeader(driver: ReplicaDriver<FleetAnswer>): ControlFailure {
		const leader = findMember(currentMembership(driver.state), driver.state.leaderId);
		return {type: leader ? 'notLeader' : 'noQuorum', message: 'No leader confirmed that the state here is the newest.', leaderAddress: leader?.address};
	}
}

const notStarted: ControlFailure = {type: 'noQuorum', message: 'This voter is starting.'};

function toControlFailure({type, message, leaderAddress}: RequestFailure): ControlFailure {
	if (finalRefusals.has(type)) {
		return {type: 'membershipRefused', message};
	}

	return {type: type === 'lost' ? 'noQuorum' : 'notLeader', message, leaderAddress};
}

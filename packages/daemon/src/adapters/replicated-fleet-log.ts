/** The fleet log on the replicated log: the consensus core, log files in the data folder, and streams to the other voters. */

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

/** Number of applied entries between snapshots. */
const defaultSnapshotEveryEntries = 10_000;

/** Maximum time to wait until the local state reaches an index that the leader confirmed. */
const catchUpTimeoutMs = 1500;

/** Delay between attempts to confirm the state after a start. */
const confirmRetryDelayMs = 100;

/** Maximum time to wait at shutdown until another voter has taken over leadership. */
const transferTimeoutMs = 1500;

const randomRange = 2 ** 32;

/** Options of the replicated fleet log. */
export type ReplicatedFleetLogOptions = {
	readonly settings: ControlSettings;
	readonly dataFolder: string;
	readonly fatalErrorHandler: FatalErrorHandler;
	readonly logger: Logger;
	readonly clock: Clock;
	readonly keys?: KeyMaterial;
	readonly replica?: Partial<ReplicaOptions>;
	readonly snapshotEveryEntries?: number;
};

/** The members of the control group and its leader, if known. */
export type GroupMembership = Membership & {readonly leaderId?: string};

/** Refusals that a retry, at this or another voter, does not change. */
const permanentRefusals = new Set<RequestFailure['type']>(['alreadyMember', 'unknownMember', 'lastVoter', 'quorumAtRisk']);

/** One voter or learner of the control group. */
export class ReplicatedFleetLog extends FleetLog {
	/** The gRPC service of the peer protocol, to be served on the control role's port. */
	readonly service: GrpcService;
	readonly #options: ReplicatedFleetLogOptions;
	readonly #stateMachine = new FleetStateMachine();
	readonly #storage: FileLogStorage;
	readonly #transport: GrpcPeerTransport;
	readonly #peerCalls: PeerCalls;
	readonly #listeners: ConfigurationListener[] = [];
	#driver: ReplicaDriver<FleetAnswer> | undefined;
	#voterId: string | undefined;
	#isConfirmed = false;
	#isStopped = false;
	#notifiedRevision = -1;

	constructor(options: ReplicatedFleetLogOptions) {
		super();
		this.#options = options;
		this.#storage = new FileLogStorage({folder: path.join(options.dataFolder, 'log'), fatalErrorHandler: options.fatalErrorHandler});
		this.#transport = new GrpcPeerTransport({keys: options.keys});
		this.#peerCalls = new PeerCalls(options.keys);
		this.service = peerService({
			voterId: () => this.#voterId,
			membership: () => this.#driver && currentMembership(this.#driver.state),
			receive: (envelope, fromAddress) => {
				this.#driver?.receive(envelope, fromAddress);
			},
			confirmIndex: async () => this.#confirmAsLeader(),
		});
	}

	/** Id of this voter: its configured name and the id of its data folder. Undefined until `start` has read the folder. */
	get voterId(): string | undefined {
		return this.#voterId;
	}

	/** The current members and the leader, as known to this voter. */
	get membership(): GroupMembership | undefined {
		const state = this.#driver?.state;
		return state && {...currentMembership(state), leaderId: state.leaderId};
	}

	async start(): Promise<void> {
		const {settings, dataFolder} = this.#options;
		const diskId = await loadOrCreateDiskIdentity({folder: dataFolder, createId: () => randomUUID().slice(0, 8)});
		const recovered = await this.#storage.recover();
		this.#voterId = `${settings.voterId}.${diskId}`;
		const start = await this.#recoverOrFormGroup(recovered);
		if (!start || this.#isStopped) {
			return;
		}

		this.#driver = this.#createDriver(start);
		this.#driver.start();
		void this.#confirmFirstState();
	}

	async submit(command: FleetCommand): Promise<Result<FleetAnswer, ControlFailure>> {
		if (!this.#driver) {
			return err(notStartedFailure);
		}

		const result = await this.#driver.propose(toJsonBytes(command));
		return result.ok ? result : err(toControlFailure(result.failure));
	}

	async confirmedState(): Promise<Result<FleetState, ControlFailure>> {
		if (!this.#driver) {
			return err(notStartedFailure);
		}

		if (this.#driver.state.role === 'leader') {
			const read = await this.#driver.read();
			return read.ok ? ok(this.#stateMachine.state) : err(toControlFailure(read.failure));
		}

		return await this.#catchUpWithLeader(this.#driver) ? ok(this.#stateMachine.state) : err(this.#notLeader(this.#driver));
	}

	/** Adds a member as a learner, or removes a member. */
	async changeMembership(change: MembershipChange): Promise<Result<unknown, ControlFailure>> {
		if (!this.#driver) {
			return err(notStartedFailure);
		}

		const result = await this.#driver.changeMembership(change);
		return result.ok ? result : err(toControlFailure(result.failure));
	}

	/** Returns the id of the voter that listens at an address, or undefined if none answers. */
	async identify(address: string): Promise<string | undefined> {
		const reply = await this.#peerCalls.identify(address);
		return reply?.voterId;
	}

	onConfiguration(listener: ConfigurationListener): void {
		this.#listeners.push(listener);
		if (this.#isConfirmed) {
			listener(this.#stateMachine.state.configuration);
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
		this.#peerCalls.close();
		await this.#storage.close();
	}

	async #recoverOrFormGroup(recovered: RecoveredLog): Promise<RecoveredLog | undefined> {
		const {settings} = this.#options;
		const isEmpty = !recovered.snapshot && recovered.entries.length === 0;
		if (!isEmpty || settings.start === 'joinGroup') {
			return recovered;
		}

		const membership = await formGroup({
			voterId: this.#voterId!,
			ownAddress: settings.initialVoters.find(voter => voter.voterId === settings.voterId)!.address,
			addresses: settings.initialVoters.map(voter => voter.address),
			calls: this.#peerCalls,
			isStopped: () => this.#isStopped,
		});
		if (!membership) {
			return undefined;
		}

		const formed = initialLog(membership);
		await this.#storage.saveSnapshot(formed.snapshot!);
		return formed;
	}

	#createDriver(recovered: RecoveredLog): ReplicaDriver<FleetAnswer> {
		const {clock, logger, replica, snapshotEveryEntries = defaultSnapshotEveryEntries} = this.#options;
		return new ReplicaDriver({
			voterId: this.#voterId!,
			storage: this.#storage,
			transport: this.#transport,
			stateMachine: this.#stateMachine,
			clock,
			random: () => randomInt(randomRange) / randomRange,
			replica,
			snapshotEveryEntries,
			onApplied: () => {
				this.#notifyListeners();
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

	/** Waits until the local state includes everything that was committed before the call. */
	async #catchUpWithLeader(driver: ReplicaDriver<FleetAnswer>): Promise<boolean> {
		const leader = findMember(currentMembership(driver.state), driver.state.leaderId);
		const index = leader && await this.#peerCalls.confirmIndex(leader.address);
		return index !== undefined && driver.waitForIndex(index, catchUpTimeoutMs);
	}

	/** Confirms the recovered state with a quorum. Listeners are notified only then, because the state on disk may be outdated. */
	async #confirmFirstState(): Promise<void> {
		while (!this.#isStopped) {
			const state = await this.confirmedState();
			if (state.ok) {
				this.#isConfirmed = true;
				this.#notifyListeners();
				return;
			}

			await sleep(confirmRetryDelayMs);
		}
	}

	#notifyListeners(): void {
		const {configuration, changes} = this.#stateMachine.state;
		if (!this.#isConfirmed || configuration.revision === this.#notifiedRevision) {
			return;
		}

		// If more than one revision was applied since the last notification, listeners get the whole configuration without a change.
		const isNext = configuration.revision === this.#notifiedRevision + 1;
		const accepted = isNext ? changes.history.at(-1) : undefined;
		this.#notifiedRevision = configuration.revision;
		for (const listener of this.#listeners) {
			listener(configuration, accepted);
		}
	}

	#notLeader(driver: ReplicaDriver<FleetAnswer>): ControlFailure {
		const leader = findMember(currentMembership(driver.state), driver.state.leaderId);
		return {type: leader ? 'notLeader' : 'noQuorum', message: 'No leader confirmed that the local state is up to date.', leaderAddress: leader?.address};
	}
}

const notStartedFailure: ControlFailure = {type: 'noQuorum', message: 'This voter is still starting.'};

function toControlFailure({type, message, leaderAddress}: RequestFailure): ControlFailure {
	if (permanentRefusals.has(type)) {
		return {type: 'membershipRefused', message};
	}

	return {type: type === 'lost' ? 'noQuorum' : 'notLeader', message, leaderAddress};
}

/**
The consensus group of control processes that stores the configuration document. On the first start the group is formed
from the seeds; the leader then adds further processes until a quorum would remain after the losses that the fault tolerance
allows. A process that starts with an empty disk later joins under a new identity, and becomes a voter only once it has
caught up. Processes that the group does not need keep asking to join and pass documents and reads on to the leader.
*/

import {randomInt, randomUUID} from 'node:crypto';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import type {ReplaceOutcome, StoredDocument} from '@rattanspring/desired-state';
import type {DomainOrder, DomainOrderOutcome, DomainRegister} from '@rattanspring/domain-drain';
import type {JoinReply, JoinRequest} from '@rattanspring/fleet-link';
import {
	DiskSpace, type FatalErrorHandler, FileLogStorage, type FileSystem, loadOrCreateDiskIdentity,
} from '@rattanspring/log-storage';
import type {Logger} from '@rattanspring/logger';
import {
	currentMembership, findMember, initialLog, isVoter, type Membership, type RecoveredLog, type Voter,
} from '@rattanspring/replicated-log';
import {type Clock, FailureError} from '@rattanspring/types';
import {
	formGroup, GrpcPeerTransport, type GrpcService, PeerCalls, peerService, ReplicaDriver,
} from '@rattanspring/voter-group';
import {ControlGroup} from './control-group.js';
import {documentCommand, DocumentStateMachine, domainCommand} from './document-state-machine.js';
import {type ConfirmedRead, LeaderAccess, submitTimeoutMs} from './leader-access.js';
import {MembershipMaintenance} from './membership-maintenance.js';
import {whileLeaderChanges} from './while-leader-changes.js';
import {withTimeout} from './with-timeout.js';

/** Number of applied entries between snapshots, and their size if that is reached before: each may hold a document of megabytes. */
const snapshotEveryEntries = 64;
const snapshotEveryBytes = 8_388_608;

/** How long a read waits for the local state machine to apply the index that the leader confirmed. */
const catchUpTimeoutMs = 800;

const readTimeoutMs = 800;

/** Pause between join requests, at first and after the group had time to add this process. */
const joinPauseMs = 300;
const longJoinPauseMs = 1000;
const quickJoinCount = 30;

const formationPauseMs = 100;

/** Time after which a seed that has not answered is left out of the group that is formed. Seeds start within a second of each other. */
const absentSeedMs = 5000;

/** Pause between attempts to confirm the recovered state. */
const confirmPauseMs = 50;

const maintenanceIntervalMs = 1000;
const tickIntervalMs = 50;
const transferTimeoutMs = 1000;
const randomRange = 2 ** 32;

/**
Disables lease-based reads. The monotonic clock stops while the VM is suspended, so a leader could consider its lease
valid after the other voters have elected a new leader. A clock drift bound of 1 gives a lease duration of zero.
*/
const replicaOptions = {clockDriftBound: 1, electionTimeoutMs: 600, heartbeatIntervalMs: 120};

export type DocumentGroupOptions = {
	readonly nodeId: string;
	readonly linkAddress: string;
	readonly dataFolder: string;
	/** The file system of that folder; that of the operating system by default. */
	readonly fileSystem?: FileSystem;
	/** Link addresses of the initial members on the first start, otherwise of any members. */
	readonly seeds: () => readonly string[];
	/** Link addresses of the other control processes discovered so far. */
	readonly otherAddresses: () => readonly string[];
	/** Number of VMs whose loss at the same time has to be tolerated. */
	readonly faultTolerance: number;
	/** Failure domain of the control process at a link address, as far as known. */
	readonly failureDomainOf: (address: string) => string | undefined;
	/** Whether the whole system starts for the first time, so that no group exists yet. */
	readonly isFirstStart: boolean;
	readonly fatalErrorHandler: FatalErrorHandler;
	readonly logger: Logger;
	readonly clock: Clock;
	/** Called with the first register that a quorum has confirmed, and with each newer one. */
	readonly onRegister: (register: DomainRegister) => void;
	readonly onDocument: (document: StoredDocument) => void;
};

/** The local member of the group. */
export class DocumentGroup extends ControlGroup {
	readonly service: GrpcService;
	readonly #options: DocumentGroupOptions;
	readonly #stateMachine = new DocumentStateMachine();
	readonly #diskSpace: DiskSpace;
	readonly #storage: FileLogStorage;
	readonly #transport = new GrpcPeerTransport({});
	readonly #peerCalls = new PeerCalls(undefined);
	readonly #leaderAccess: LeaderAccess;
	readonly #membership: MembershipMaintenance;
	#driver: ReplicaDriver<ReplaceOutcome> | undefined;
	#voterId = '';
	#timer: NodeJS.Timeout | undefined;
	#publishedVersion = -1;
	#publishedRevision = -1;
	#isConfirmed = false;
	#isStopped = false;

	constructor(options: DocumentGroupOptions) {
		super();
		this.#options = options;
		this.#membership = new MembershipMaintenance(options);
		this.#leaderAccess = new LeaderAccess({linkAddress: options.linkAddress, addresses: () => this.#otherAddresses});
		const {logger} = options;
		this.#diskSpace = new DiskSpace({
			onFull(message) {
				logger.log('error', 'diskFull', {message});
			},
			onRoom(waitedMs) {
				logger.log('info', 'diskHasRoom', {waitedMs: Math.round(waitedMs)});
			},
		});
		this.#storage = new FileLogStorage({
			folder: path.join(options.dataFolder, 'log'), fatalErrorHandler: options.fatalErrorHandler, diskSpace: this.#diskSpace, ...(options.fileSystem && {fileSystem: options.fileSystem}),
		});
		this.service = peerService({
			voterId: () => this.#voterId === '' ? undefined : this.#voterId,
			membership: () => this.#driver && currentMembership(this.#driver.state),
			receive: (envelope, fromAddress) => {
				this.#driver?.receive(envelope, fromAddress);
			},
			confirmIndex: async () => {
				const read = await this.#driver?.read();
				return read?.ok ? read.value : undefined;
			},
		});
	}

	/** Undefined until a quorum has confirmed the local state once, because the state on disk may be outdated. */
	get document(): StoredDocument | undefined {
		return this.#isConfirmed ? this.#stateMachine.document : undefined;
	}

	get register(): DomainRegister | undefined {
		return this.#isConfirmed ? this.#stateMachine.register : undefined;
	}

	/** Whether this member believes that it is the leader; another leader may have been elected meanwhile. */
	get isLeader(): boolean {
		return this.#driver?.state.role === 'leader';
	}

	get isVoter(): boolean {
		return this.#driver !== undefined && isVoter(currentMembership(this.#driver.state), this.#voterId);
	}

	/** Whether this process is a voter as far as the leader tells it; a voter that was replaced meanwhile no longer hears from the leader. */
	get isSettledVoter(): boolean {
		const driver = this.#driver;
		return this.isVoter && driver !== undefined && (driver.state.role === 'leader' || this.#leaderInContact(driver) !== undefined);
	}

	get servesDocument(): boolean {
		return this.isSettledVoter || this.#leaderAccess.isMember !== false;
	}

	/** Recovers the log from disk, or forms or joins the group, and starts the replica. */
	async start(): Promise<void> {
		const {logger} = this.#options;
		const recovered = await this.#readDisk();
		const start = recovered && await this.#recoverOrFormGroup(recovered);
		if (!start || this.#isStopped) {
			return;
		}

		logger.log('info', 'groupStarted', {voterId: this.#voterId, lastIndex: start.entries.at(-1)?.index ?? start.snapshot?.lastIndex ?? 0, isFirstStart: this.#options.isFirstStart});
		this.#driver = this.#createDriver(start);
		this.#driver.start();
		void this.#confirmFirstState(this.#driver);
		this.#timer = setInterval(() => {
			if (this.#driver) {
				void this.#membership.maintain(this.#driver);
			}
		}, maintenanceIntervalMs);
		void this.#keepMembership();
	}

	/** A document that was committed by an earlier attempt after all is already stored, or overtaken. */
	async replace(document: StoredDocument): Promise<ReplaceOutcome | undefined> {
		const driver = this.#driver;
		return driver && whileLeaderChanges(async () => this.#replaceOnce(document, driver));
	}

	async submit(document: StoredDocument): Promise<ReplaceOutcome | undefined> {
		const driver = this.#driver;
		return driver && this.isLeader ? this.#replaceOnce(document, driver) : undefined;
	}

	async read(): Promise<ConfirmedRead> {
		const driver = this.#driver;
		const read = driver && await whileLeaderChanges(async () => {
			const attempt = await this.#readOnce(driver);
			return attempt.isConfirmed ? attempt : undefined;
		});
		return read ?? {isConfirmed: false};
	}

	async readRegister(): Promise<DomainRegister | undefined> {
		const driver = this.#driver;
		return driver && whileLeaderChanges(async () => this.#readRegisterOnce(driver));
	}

	/** A repeated order finds its state, or is overtaken, since it names the revision that was read for it. */
	async orderDomain(order: DomainOrder): Promise<DomainOrderOutcome | undefined> {
		const driver = this.#driver;
		return driver && whileLeaderChanges(async () => this.#orderDomainOnce(order, driver));
	}

	/** The leader records the sender as a candidate and adds it if the group needs it; any other member returns the leader's address. */
	async join({voterId, address}: JoinRequest): Promise<JoinReply> {
		const driver = this.#driver;
		if (!driver) {
			return {isMember: false};
		}

		const isMember = voterId !== undefined && isVoter(currentMembership(driver.state), voterId);
		if (driver.state.role !== 'leader') {
			return {isMember, leaderAddress: this.#leaderInContact(driver)?.address ?? this.#leaderAccess.confirmedLeaderAddress};
		}

		if (voterId !== undefined && !isMember) {
			this.#membership.addCandidate(driver, {voterId, address});
		}

		return {isMember, leaderAddress: this.#options.linkAddress};
	}

	/** Transfers leadership to another voter and stops. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		clearInterval(this.#timer);
		const driver = this.#driver;
		await driver?.transferLeadershipAndWait(transferTimeoutMs);
		this.#diskSpace.stopWaiting();
		if (driver) {
			await driver.stop();
		}

		this.#transport.close();
		this.#peerCalls.close();
		this.#leaderAccess.close();
		await this.#storage.close();
	}

	transferLeadership(): void {
		this.#driver?.transferLeadership();
	}

	async #replaceOnce(document: StoredDocument, driver: ReplicaDriver<ReplaceOutcome>): Promise<ReplaceOutcome | undefined> {
		return driver.state.role === 'leader' ? commit(driver, documentCommand(document)) : this.#leaderAccess.submit(document, this.#leaderInContact(driver)?.address);
	}

	async #readOnce(driver: ReplicaDriver<ReplaceOutcome>): Promise<ConfirmedRead> {
		if (driver.state.role !== 'leader' && !this.#leaderInContact(driver)) {
			return this.#leaderAccess.read();
		}

		const isConfirmed = await this.#confirmState(driver);
		return {isConfirmed, document: isConfirmed ? this.#stateMachine.document : undefined};
	}

	async #readRegisterOnce(driver: ReplicaDriver<ReplaceOutcome>): Promise<DomainRegister | undefined> {
		if (driver.state.role !== 'leader' && !this.#leaderInContact(driver)) {
			return this.#leaderAccess.readRegister();
		}

		return await this.#confirmState(driver) ? this.#stateMachine.register : undefined;
	}

	async #orderDomainOnce(order: DomainOrder, driver: ReplicaDriver<ReplaceOutcome>): Promise<DomainOrderOutcome | undefined> {
		return driver.state.role === 'leader'
			? await commit(driver, domainCommand(order)) as DomainOrderOutcome | undefined
			: this.#leaderAccess.orderDomain(order, this.#leaderInContact(driver)?.address);
	}

	/** Reads the identity and the log of the disk; undefined if this process is stopped while it waits for room on it. */
	async #readDisk(): Promise<RecoveredLog | undefined> {
		const {dataFolder, fileSystem, nodeId} = this.#options;
		try {
			const diskId = await loadOrCreateDiskIdentity({
				folder: dataFolder, createId: () => randomUUID().slice(0, 8), diskSpace: this.#diskSpace, ...(fileSystem && {fileSystem}),
			});
			const recovered = await this.#storage.recover();
			this.#voterId = `${nodeId}.${diskId}`;
			return recovered;
		} catch (error) {
			if (this.#isStopped) {
				return undefined;
			}

			throw error;
		}
	}

	async #recoverOrFormGroup(recovered: RecoveredLog): Promise<RecoveredLog | undefined> {
		const {isFirstStart, seeds, linkAddress} = this.#options;
		const isEmpty = !recovered.snapshot && recovered.entries.length === 0;
		if (!isEmpty || !isFirstStart || !seeds().includes(linkAddress)) {
			return recovered;
		}

		const membership = await this.#form();
		if (!membership) {
			return this.#isStopped ? undefined : recovered;
		}

		const newLog = initialLog(membership);
		await this.#storage.saveSnapshot(newLog.snapshot!);
		return newLog;
	}

	async #form(): Promise<Membership | undefined> {
		const {linkAddress, logger, clock} = this.#options;
		const mayLeaveOutAtMs = clock.monotonicMs() + absentSeedMs;
		const mayLeaveOut = () => clock.monotonicMs() >= mayLeaveOutAtMs;
		try {
			return await formGroup({
				voterId: this.#voterId,
				ownAddress: linkAddress,
				addresses: await this.#seedsWithDisk(mayLeaveOut),
				calls: this.#peerCalls,
				isStopped: () => this.#isStopped,
				mayLeaveOut,
			});
		} catch (error) {
			if (!(error instanceof FailureError)) {
				throw error;
			}

			logger.log('warn', 'groupExists', {message: error.message});
			return undefined;
		}
	}

	/**
	The seeds that form the group: those with a disk. All of them come to the same result, since each waits until all others have answered. One that does not answer for long counts as one
	with a disk: it has a place in the group, which is only harder to reach a quorum of than without it.
	*/
	async #seedsWithDisk(mayLeaveOut: () => boolean): Promise<string[]> {
		const {seeds, linkAddress, logger} = this.#options;
		const withDisk = new Map([[linkAddress, true]]);
		while (!this.#isStopped) {
			const unknown = seeds().filter(address => !withDisk.has(address));
			if (unknown.length === 0) {
				break;
			}

			if (mayLeaveOut()) {
				logger.log('warn', 'seedsAbsent', {addresses: unknown.join(','), waitedMs: absentSeedMs});
				return [...[...withDisk].filter(([, hasDisk]) => hasDisk).map(([address]) => address), ...unknown];
			}

			await Promise.all(unknown.map(async address => {
				const isDiskless = await this.#leaderAccess.isDiskless(address);
				if (isDiskless !== undefined) {
					withDisk.set(address, !isDiskless);
				}
			}));
			await sleep(withDisk.size < seeds().length ? formationPauseMs : 0);
		}

		return [...withDisk].filter(([, hasDisk]) => hasDisk).map(([address]) => address);
	}

	#createDriver(recovered: RecoveredLog): ReplicaDriver<ReplaceOutcome> {
		const {clock, logger} = this.#options;
		return new ReplicaDriver({
			voterId: this.#voterId,
			storage: this.#storage,
			transport: this.#transport,
			stateMachine: this.#stateMachine,
			clock,
			random: () => randomInt(randomRange) / randomRange,
			replica: replicaOptions,
			tickIntervalMs,
			snapshotEveryEntries,
			snapshotEveryBytes,
			onApplied: () => {
				this.#publish();
			},
			onRoleChanged(role, term) {
				logger.log('info', 'replicaRoleChanged', {role, term});
			},
		}, recovered);
	}

	/** Confirms the recovered state with a quorum; the document is announced and served only then. */
	async #confirmFirstState(driver: ReplicaDriver<ReplaceOutcome>): Promise<void> {
		while (!this.#isStopped && !this.#isConfirmed) {
			this.#isConfirmed = await this.#confirmState(driver);
			if (!this.#isConfirmed) {
				await sleep(confirmPauseMs);
			}
		}

		this.#publish();
	}

	/** The register goes first: whoever has the document may begin to send to targets. */
	#publish(): void {
		const {document, register} = this;
		if (register && register.revision > this.#publishedRevision) {
			this.#publishedRevision = register.revision;
			this.#options.onRegister(register);
		}

		if (document && document.version > this.#publishedVersion) {
			this.#publishedVersion = document.version;
			this.#options.onDocument(document);
		}
	}

	/** Whether the local state now includes everything that was committed before the call. */
	async #confirmState(driver: ReplicaDriver<ReplaceOutcome>): Promise<boolean> {
		return driver.state.role === 'leader' ? confirmRead(driver) : this.#catchUpWithLeader(driver);
	}

	async #catchUpWithLeader(driver: ReplicaDriver<ReplaceOutcome>): Promise<boolean> {
		const leader = this.#leaderInContact(driver);
		const index = leader && await this.#peerCalls.confirmIndex(leader.address);
		return index !== undefined && driver.waitForIndex(index, catchUpTimeoutMs);
	}

	/** The leader that replicates to this member; undefined if this process is no member, leads itself, or has not heard from a leader recently. */
	#leaderInContact({state}: ReplicaDriver<ReplaceOutcome>): Voter | undefined {
		const isRecent = this.#options.clock.monotonicMs() - state.lastContactMs < 2 * replicaOptions.electionTimeoutMs;
		return isRecent && state.role === 'follower' ? findMember(currentMembership(state), state.leaderId) : undefined;
	}

	/** Asks to join whenever this process is not a voter. */
	async #keepMembership(): Promise<void> {
		let askedCount = 0;
		while (!this.#isStopped) {
			if (this.isSettledVoter) {
				askedCount = 0;
				this.#leaderAccess.noteMember();
			} else {
				askedCount++;
				await this.#leaderAccess.ask(this.#voterId);
			}

			await sleep(this.isSettledVoter || askedCount > quickJoinCount ? longJoinPauseMs : joinPauseMs);
		}
	}

	get #otherAddresses(): string[] {
		const {linkAddress, seeds, otherAddresses} = this.#options;
		return [...new Set([...seeds(), ...otherAddresses()])].filter(address => address !== linkAddress);
	}
}

/** Returns undefined if the outcome is unknown. */
async function commit(driver: ReplicaDriver<ReplaceOutcome>, command: Uint8Array): Promise<ReplaceOutcome | undefined> {
	const result = await withTimeout(driver.propose(command), submitTimeoutMs);
	return result?.ok ? result.value : undefined;
}

async function confirmRead(driver: ReplicaDriver<ReplaceOutcome>): Promise<boolean> {
	const read = await withTimeout(driver.read(), readTimeoutMs);
	return read?.ok ?? false;
}

/**
The consensus group of control processes that stores the configuration document. On the first start the group is formed
from the seeds. A process that starts with an empty disk later joins under a new identity, and becomes a voter only once
it has caught up.
*/

import {randomInt, randomUUID} from 'node:crypto';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {toJsonBytes} from '@rattanspring/control-client';
import type {ReplaceOutcome, StoredDocument} from '@rattanspring/desired-state';
import {
	type JoinReply, type JoinRequest, LinkCalls, linkService,
} from '@rattanspring/fleet-link';
import {type FatalErrorHandler, FileLogStorage, loadOrCreateDiskIdentity} from '@rattanspring/log-storage';
import type {Logger} from '@rattanspring/logger';
import {
	currentMembership, findMember, initialLog, isVoter, type Membership, type RecoveredLog,
} from '@rattanspring/replicated-log';
import {type Clock, FailureError} from '@rattanspring/types';
import {
	formGroup, GrpcPeerTransport, type GrpcService, PeerCalls, peerService, ReplicaDriver,
} from '@rattanspring/voter-group';
import {DocumentStateMachine} from './document-state-machine.js';
import {surplusVoter, voterToReplace} from './replacement.js';

/** Number of applied entries between snapshots. */
const snapshotEveryEntries = 64;

/** How long a read waits for the local state machine to apply the index that the leader confirmed. */
const catchUpTimeoutMs = 800;

/** Timeout of a command that is committed by the leader. */
const submitTimeoutMs = 1500;

const readTimeoutMs = 800;
const joinTimeoutMs = 500;
const joinPauseMs = 300;
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
	/** Link addresses of the initial members on the first start, otherwise of any members. */
	readonly seeds: () => readonly string[];
	/** Link addresses of the other control processes discovered so far. */
	readonly otherAddresses: () => readonly string[];
	/** Whether the whole system starts for the first time, so that no group exists yet. */
	readonly isFirstStart: boolean;
	readonly fatalErrorHandler: FatalErrorHandler;
	readonly logger: Logger;
	readonly clock: Clock;
	readonly onDocument: (document: StoredDocument) => void;
};

/** The local member of the group. */
export class DocumentGroup {
	/** The peer service, to be served at the link address. */
	readonly service: GrpcService;
	readonly #options: DocumentGroupOptions;
	readonly #stateMachine = new DocumentStateMachine();
	readonly #storage: FileLogStorage;
	readonly #transport = new GrpcPeerTransport({});
	readonly #peerCalls = new PeerCalls(undefined);
	readonly #linkCalls = new LinkCalls();
	#driver: ReplicaDriver<ReplaceOutcome> | undefined;
	#voterId = '';
	#timer: NodeJS.Timeout | undefined;
	#publishedVersion = -1;
	#isStopped = false;

	constructor(options: DocumentGroupOptions) {
		this.#options = options;
		this.#storage = new FileLogStorage({folder: path.join(options.dataFolder, 'log'), fatalErrorHandler: options.fatalErrorHandler});
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

	/** The newest document applied locally; may be older than the newest committed one. */
	get document(): StoredDocument | undefined {
		return this.#stateMachine.document;
	}

	/** Whether this member believes that it is the leader; another leader may have been elected meanwhile. */
	get isLeader(): boolean {
		return this.#driver?.state.role === 'leader';
	}

	/** Whether this member is a voter in its latest known membership. */
	get isVoter(): boolean {
		return this.#driver !== undefined && isVoter(currentMembership(this.#driver.state), this.#voterId);
	}

	/** Recovers the log from disk, or forms or joins the group, and starts the replica. */
	async start(): Promise<void> {
		const {dataFolder, nodeId, logger} = this.#options;
		const diskId = await loadOrCreateDiskIdentity({folder: dataFolder, createId: () => randomUUID().slice(0, 8)});
		const recovered = await this.#storage.recover();
		this.#voterId = `${nodeId}.${diskId}`;
		const start = await this.#recoverOrFormGroup(recovered);
		if (!start || this.#isStopped) {
			return;
		}

		logger.log('info', 'groupStarted', {voterId: this.#voterId, lastIndex: start.entries.at(-1)?.index ?? start.snapshot?.lastIndex ?? 0, isFirstStart: this.#options.isFirstStart});
		this.#driver = this.#createDriver(start);
		this.#driver.start();
		this.#publishDocument();
		this.#timer = setInterval(() => {
			void this.#maintainMembership();
		}, maintenanceIntervalMs);
		void this.#joinUntilVoter();
	}

	/** Commits a document, forwarding it to the leader if necessary. Returns undefined if the outcome is unknown. */
	async replace(document: StoredDocument): Promise<ReplaceOutcome | undefined> {
		const driver = this.#driver;
		if (!driver) {
			return undefined;
		}

		if (driver.state.role === 'leader') {
			const result = await withTimeout(driver.propose(toJsonBytes(document)), submitTimeoutMs);
			return result?.ok ? result.value : undefined;
		}

		const leader = findMember(currentMembership(driver.state), driver.state.leaderId);
		if (!leader || leader.voterId === this.#voterId) {
			return undefined;
		}

		const reply = await this.#linkCalls.call(leader.address, linkService.submit, document, submitTimeoutMs);
		return reply?.outcome as ReplaceOutcome | undefined;
	}

	/** Commits a document that another member forwarded. Returns undefined if this member is not the leader. */
	async submit(document: StoredDocument): Promise<ReplaceOutcome | undefined> {
		return this.isLeader ? this.replace(document) : undefined;
	}

	/** Linearizable read of the document; `isConfirmed` is false if no quorum confirmed it. */
	async read(): Promise<{readonly isConfirmed: boolean; readonly document?: StoredDocument}> {
		const driver = this.#driver;
		if (!driver) {
			return {isConfirmed: false};
		}

		const isConfirmed = driver.state.role === 'leader'
			? await confirmRead(driver)
			: await this.#catchUpWithLeader(driver);
		return {isConfirmed, document: isConfirmed ? this.#stateMachine.document : undefined};
	}

	/** Handles a join request: the leader adds the sender as a learner, any other member returns the leader's address. */
	async join({voterId, address}: JoinRequest): Promise<JoinReply> {
		const driver = this.#driver;
		if (!driver) {
			return {isMember: false};
		}

		const membership = currentMembership(driver.state);
		if (isVoter(membership, voterId)) {
			return {isMember: true};
		}

		if (driver.state.role !== 'leader') {
			return {isMember: false, leaderAddress: findMember(membership, driver.state.leaderId)?.address};
		}

		if (!findMember(membership, voterId)) {
			await this.#addLearner(driver, membership, {voterId, address});
		}

		return {isMember: false};
	}

	/** Transfers leadership to another voter and stops. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		clearInterval(this.#timer);
		const driver = this.#driver;
		if (driver) {
			await driver.transferLeadershipAndWait(transferTimeoutMs);
			await driver.stop();
		}

		this.#transport.close();
		this.#peerCalls.close();
		this.#linkCalls.close();
		await this.#storage.close();
	}

	/** Starts a leadership transfer if this member is the leader. */
	transferLeadership(): void {
		this.#driver?.transferLeadership();
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
		const {seeds, linkAddress, logger} = this.#options;
		try {
			return await formGroup({
				voterId: this.#voterId,
				ownAddress: linkAddress,
				addresses: seeds(),
				calls: this.#peerCalls,
				isStopped: () => this.#isStopped,
			});
		} catch (error) {
			if (!(error instanceof FailureError)) {
				throw error;
			}

			logger.log('warn', 'groupExists', {message: error.message});
			return undefined;
		}
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
			onApplied: () => {
				this.#publishDocument();
			},
			onRoleChanged(role, term) {
				logger.log('info', 'replicaRoleChanged', {role, term});
			},
		}, recovered);
	}

	#publishDocument(): void {
		const {document} = this.#stateMachine;
		if (document && document.version > this.#publishedVersion) {
			this.#publishedVersion = document.version;
			this.#options.onDocument(document);
		}
	}

	async #catchUpWithLeader(driver: ReplicaDriver<ReplaceOutcome>): Promise<boolean> {
		const leader = findMember(currentMembership(driver.state), driver.state.leaderId);
		const index = leader && await this.#peerCalls.confirmIndex(leader.address);
		return index !== undefined && driver.waitForIndex(index, catchUpTimeoutMs);
	}

	/** Sends join requests to the other members until this member is a voter. */
	async #joinUntilVoter(): Promise<void> {
		while (!this.#isStopped && !this.isVoter) {
			const {linkAddress, seeds, otherAddresses} = this.#options;
			const addresses = new Set([...seeds(), ...otherAddresses()].filter(address => address !== linkAddress));
			const request = {voterId: this.#voterId, address: linkAddress};
			await Promise.all([...addresses].map(async address => this.#linkCalls.call(address, linkService.join, request, joinTimeoutMs)));
			await sleep(joinPauseMs);
		}
	}

	/** Desired number of voters. */
	get #size(): number {
		return Math.max(1, this.#options.seeds().length);
	}

	async #addLearner(driver: ReplicaDriver<ReplaceOutcome>, membership: Membership, newMember: {voterId: string; address: string}): Promise<void> {
		const replaces = voterToReplace({membership, newMember, silentMsOf: voterId => this.#silentMsOf(driver, voterId)});
		if (replaces === undefined && membership.voters.length >= this.#size) {
			return;
		}

		const result = await driver.changeMembership({kind: 'add', learner: {...newMember, ...(replaces !== undefined && {replaces})}});
		this.#options.logger.log('info', 'memberJoins', {
			voterId: newMember.voterId, address: newMember.address, replaces, outcome: result.ok ? 'accepted' : result.failure.type,
		});
	}

	/** As the leader, removes unreachable voters in excess of the group size, and learners that rejoined under a new identity. */
	async #maintainMembership(): Promise<void> {
		const driver = this.#driver;
		if (driver?.state.role !== 'leader') {
			return;
		}

		const membership = currentMembership(driver.state);
		const surplus = surplusVoter(membership, this.#size, voterId => this.#silentMsOf(driver, voterId)) ?? staleLearner(membership);
		if (surplus !== undefined) {
			const result = await driver.changeMembership({kind: 'remove', voterId: surplus});
			this.#options.logger.log('info', 'memberRemoved', {voterId: surplus, outcome: result.ok ? 'accepted' : result.failure.type});
		}
	}

	#silentMsOf(driver: ReplicaDriver<ReplaceOutcome>, voterId: string): number {
		if (voterId === this.#voterId) {
			return 0;
		}

		const {leader} = driver.state;
		const nowMs = this.#options.clock.monotonicMs();
		const heardAtMs = leader?.progress.get(voterId)?.acknowledgedSentAtMs ?? Number.NEGATIVE_INFINITY;
		return nowMs - Math.max(heardAtMs, leader?.termStart.nowMs ?? nowMs);
	}
}

async function confirmRead(driver: ReplicaDriver<ReplaceOutcome>): Promise<boolean> {
	const read = await withTimeout(driver.read(), readTimeoutMs);
	return read?.ok ?? false;
}

/** Finds a learner whose address has joined again under a newer identity, which means that its disk was lost. */
function staleLearner(membership: Membership): string | undefined {
	return membership.learners.find((learner, index) => membership.learners.some((other, otherIndex) => otherIndex > index && other.address === learner.address))?.voterId;
}

async function withTimeout<Value>(work: Promise<Value>, timeoutMs: number): Promise<Value | undefined> {
	let timer: NodeJS.Timeout | undefined;
	const timeout = new Promise<undefined>(resolve => {
		timer = setTimeout(resolve, timeoutMs, undefined);
	});
	const value = await Promise.race([work, timeout]);
	clearTimeout(timer);
	return value;
}

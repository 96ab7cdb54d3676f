/**
The group of control processes that keeps the document. It forms itself from the seeds at the first start; a process
whose disk is empty later joins under a new identity, and counts only once it has caught up.
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
import {DocumentMachine} from './document-machine.js';
import {replacedBy, surplusVoter} from './replacement.js';

/** Applied entries after which a snapshot is taken. */
const snapshotEveryEntries = 64;

/** Time for the state here to reach a position that the leader confirmed. */
const catchUpTimeoutMs = 800;

/** Time for a command at the leader. */
const submitTimeoutMs = 1500;

const readTimeoutMs = 800;
const joinTimeoutMs = 500;
const joinPauseMs = 300;
const upkeepIntervalMs = 1000;
const tickIntervalMs = 50;
const transferTimeoutMs = 1000;
const randomSteps = 2 ** 32;

/**
The leader serves no reads on a lease: its steady clock stands still while its VM is suspended, so that a lease could
seem to run on after others have elected another leader. A bound of 1 on the drift leaves no lease.
*/
const replicaOptions = {clockDriftBound: 1, electionTimeoutMs: 600, heartbeatIntervalMs: 120};

/** Options of the group. */
export type DocumentGroupOptions = {
	readonly nodeId: string;
	readonly linkAddress: string;
	readonly dataFolder: string;
	/** Link addresses of the first members, on a first start; else of some members. */
	readonly seeds: () => readonly string[];
	/** Link addresses of control processes known by now. */
	readonly others: () => readonly string[];
	/** Whether the whole system starts for the first time. */
	readonly isFirstStart: boolean;
	readonly fatalErrorHandler: FatalErrorHandler;
	readonly logger: Logger;
	readonly clock: Clock;
	readonly onDocument: (document: StoredDocument) => void;
};

/** One member. */
export class DocumentGroup {
	/** The peer protocol, to be served at the link address. */
	readonly service: GrpcService;
	readonly #options: DocumentGroupOptions;
	readonly #machine = new DocumentMachine();
	readonly #storage: FileLogStorage;
	readonly #transport = new GrpcPeerTransport({});
	readonly #peerCalls = new PeerCalls(undefined);
	readonly #calls = new LinkCalls();
	#driver: ReplicaDriver<ReplaceOutcome> | undefined;
	#voterId = '';
	#timer: NodeJS.Timeout | undefined;
	#toldVersion = -1;
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

	/** The newest document applied here, which need not be the newest accepted. */
	get document(): StoredDocument | undefined {
		return this.#machine.document;
	}

	/** Whether this member leads, as far as it knows. */
	get isLeader(): boolean {
		return this.#driver?.state.role === 'leader';
	}

	/** Whether this member counts. */
	get isVoter(): boolean {
		return this.#driver !== undefined && isVoter(currentMembership(this.#driver.state), this.#voterId);
	}

	/** Recovers, forms or joins the group, and starts. */
	async start(): Promise<void> {
		const {dataFolder, nodeId, logger} = this.#options;
		const diskId = await loadOrCreateDiskIdentity({folder: dataFolder, createId: () => randomUUID().slice(0, 8)});
		const recovered = await this.#storage.recover();
		this.#voterId = `${nodeId}.${diskId}`;
		const start = await this.#startingPoint(recovered);
		if (!start || this.#isStopped) {
			return;
		}

		logger.log('info', 'groupStarted', {voterId: this.#voterId, lastIndex: start.entries.at(-1)?.index ?? start.snapshot?.lastIndex ?? 0, isFirstStart: this.#options.isFirstStart});
		this.#driver = this.#makeDriver(start);
		this.#driver.start();
		this.#tell();
		this.#timer = setInterval(() => {
			void this.#upkeep();
		}, upkeepIntervalMs);
		void this.#joinIfOutside();
	}

	/** Commits a document, at the leader if need be; undefined if it may or may not have been accepted. */
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

		const reply = await this.#calls.call(leader.address, linkService.submit, document, submitTimeoutMs);
		return reply?.outcome as ReplaceOutcome | undefined;
	}

	/** Commits a document that another member passed on; only the leader does. */
	async submit(document: StoredDocument): Promise<ReplaceOutcome | undefined> {
		return this.isLeader ? this.replace(document) : undefined;
	}

	/** The newest accepted document, confirmed by a quorum; `isConfirmed` is false if none could be asked. */
	async read(): Promise<{readonly isConfirmed: boolean; readonly document?: StoredDocument}> {
		const driver = this.#driver;
		if (!driver) {
			return {isConfirmed: false};
		}

		const isConfirmed = driver.state.role === 'leader'
			? await confirmsRead(driver)
			: await this.#catchUpWithLeader(driver);
		return {isConfirmed, document: isConfirmed ? this.#machine.document : undefined};
	}

	/** Takes a member in, if this one leads. */
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

	/** Passes leadership on and stops. */
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
		this.#calls.close();
		await this.#storage.close();
	}

	/** Passes leadership on, if this member has it. */
	passLeadershipOn(): void {
		this.#driver?.transferLeadership();
	}

	async #startingPoint(recovered: RecoveredLog): Promise<RecoveredLog | undefined> {
		const {isFirstStart, seeds, linkAddress} = this.#options;
		const isEmpty = !recovered.snapshot && recovered.entries.length === 0;
		if (!isEmpty || !isFirstStart || !seeds().includes(linkAddress)) {
			return recovered;
		}

		const membership = await this.#form();
		if (!membership) {
			return this.#isStopped ? undefined : recovered;
		}

		const formed = initialLog(membership);
		await this.#storage.saveSnapshot(formed.snapshot!);
		return formed;
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

	#makeDriver(recovered: RecoveredLog): ReplicaDriver<ReplaceOutcome> {
		const {clock, logger} = this.#options;
		return new ReplicaDriver({
			voterId: this.#voterId,
			storage: this.#storage,
			transport: this.#transport,
			stateMachine: this.#machine,
			clock,
			random: () => randomInt(randomSteps) / randomSteps,
			replica: replicaOptions,
			tickIntervalMs,
			snapshotEveryEntries,
			onApplied: () => {
				this.#tell();
			},
			onRoleChanged(role, term) {
				logger.log('info', 'replicaRoleChanged', {role, term});
			},
		}, recovered);
	}

	#tell(): void {
		const {document} = this.#machine;
		if (document && document.version > this.#toldVersion) {
			this.#toldVersion = document.version;
			this.#options.onDocument(document);
		}
	}

	async #catchUpWithLeader(driver: ReplicaDriver<ReplaceOutcome>): Promise<boolean> {
		const leader = findMember(currentMembership(driver.state), driver.state.leaderId);
		const index = leader && await this.#peerCalls.confirmIndex(leader.address);
		return index !== undefined && driver.waitForIndex(index, catchUpTimeoutMs);
	}

	/** A member that is no voter asks the others to take it in, until it is one. */
	async #joinIfOutside(): Promise<void> {
		while (!this.#isStopped && !this.isVoter) {
			const {linkAddress, seeds, others} = this.#options;
			const addresses = new Set([...seeds(), ...others()].filter(address => address !== linkAddress));
			const request = {voterId: this.#voterId, address: linkAddress};
			await Promise.all([...addresses].map(async address => this.#calls.call(address, linkService.join, request, joinTimeoutMs)));
			await sleep(joinPauseMs);
		}
	}

	/** Voters that the group should have. */
	get #size(): number {
		return Math.max(1, this.#options.seeds().length);
	}

	async #addLearner(driver: ReplicaDriver<ReplaceOutcome>, membership: Membership, newcomer: {voterId: string; address: string}): Promise<void> {
		const replaces = replacedBy({membership, newcomer, silentMsOf: voterId => this.#silentMsOf(driver, voterId)});
		if (replaces === undefined && membership.voters.length >= this.#size) {
			return;
		}

		const result = await driver.changeMembership({kind: 'add', learner: {...newcomer, ...(replaces !== undefined && {replaces})}});
		this.#options.logger.log('info', 'memberJoins', {
			voterId: newcomer.voterId, address: newcomer.address, replaces, outcome: result.ok ? 'accepted' : result.failure.type,
		});
	}

	/** The leader removes a voter beyond the group's size that stays away, and learners whose VM came back as another. */
	async #upkeep(): Promise<void> {
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
		return nowMs - Math.max(heardAtMs, leader?.since.nowMs ?? nowMs);
	}
}

async function confirmsRead(driver: ReplicaDriver<ReplaceOutcome>): Promise<boolean> {
	const read = await withTimeout(driver.read(), readTimeoutMs);
	return read?.ok ?? false;
}

/** An earlier identity of a learner's address: its disk is lost. */
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

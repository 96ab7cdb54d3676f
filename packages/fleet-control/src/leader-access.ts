/**
Finds the leader of the group and passes calls on to it, for processes that are not in contact with it as members: those that
have no disk, and those that the group does not need as voters.
*/

import type {ReplaceOutcome, StoredDocument} from '@rattanspring/desired-state';
import type {DomainOrder, DomainOrderOutcome, DomainRegister} from '@rattanspring/domain-drain';
import {
	DocumentReceiver, type JoinReply, type JoinRequest, LinkCalls, linkService,
} from '@rattanspring/fleet-link';
import {PeerCalls} from '@rattanspring/voter-group';

/** Timeout of a command that is committed by the leader. */
export const submitTimeoutMs = 1500;

const joinTimeoutMs = 500;
const partTimeoutMs = 800;

/** Timeout of a call about failure domains; their caller waits for less than a second. */
const domainCallTimeoutMs = 800;

/** Number of parts of a document after which a read is given up. */
const maxParts = 2048;

/** A linearizable read; `isConfirmed` is false if no quorum confirmed it. */
export type ConfirmedRead = {readonly isConfirmed: boolean; readonly document?: StoredDocument};

export type LeaderAccessOptions = {
	/** Address of the local process. */
	readonly linkAddress: string;
	/** Addresses of the other control processes known so far. */
	readonly addresses: () => readonly string[];
};

export class LeaderAccess {
	readonly #options: LeaderAccessOptions;
	readonly #linkCalls = new LinkCalls();
	readonly #peerCalls = new PeerCalls(undefined);
	#leaderAddress: string | undefined;
	#isLeaderConfirmed = false;
	#isMember: boolean | undefined;
	/** The newest document that was fetched from a leader. */
	#fetched: StoredDocument | undefined;

	constructor(options: LeaderAccessOptions) {
		this.#options = options;
	}

	/** Address of the leader as far as known from the latest replies. */
	get leaderAddress(): string | undefined {
		return this.#leaderAddress;
	}

	/** Address of the leader if it answered itself; only this may be told to others, so that an outdated address does not circulate. */
	get confirmedLeaderAddress(): string | undefined {
		return this.#isLeaderConfirmed ? this.#leaderAddress : undefined;
	}

	/** Whether the local process is a voter, as the leader said last; undefined if no leader has said. */
	get isMember(): boolean | undefined {
		return this.#isMember;
	}

	/** Records that the local process hears from the leader as a voter. */
	noteMember(): void {
		this.#isMember = true;
	}

	/** Asks the leader, or all known control processes while there is none, to be added to the group; without a voter ID, asks for the leader only. */
	async ask(voterId?: string): Promise<void> {
		const request: JoinRequest = {address: this.#options.linkAddress, ...(voterId !== undefined && {voterId})};
		const known = this.#leaderAddress;
		const reply = known === undefined ? undefined : await this.#join(known, request);
		if (known !== undefined && reply?.leaderAddress === known) {
			this.#isLeaderConfirmed = true;
			this.#isMember = reply.isMember;
			return;
		}

		const addresses = this.#options.addresses().filter(address => address !== known);
		const others = await Promise.all(addresses.map(async address => ({address, reply: await this.#join(address, request)})));
		const answers = known === undefined ? others : [{address: known, reply}, ...others];
		this.#leaderAddress = namedLeader(answers, new Set([this.#options.linkAddress, known]));
		this.#isLeaderConfirmed = answers.some(answer => answer.address === this.#leaderAddress && answer.reply?.leaderAddress === answer.address);
	}

	/** Whether the process at an address has no disk; undefined if it does not answer. */
	async isDiskless(address: string): Promise<boolean | undefined> {
		const reply = await this.#join(address, {address: this.#options.linkAddress});
		return reply && (reply.isDiskless ?? false);
	}

	/** Commits a document through the leader at an address, by default the one found. Returns undefined if the outcome is unknown. */
	async submit(document: StoredDocument, memberAddress?: string): Promise<ReplaceOutcome | undefined> {
		const address = memberAddress ?? await this.#findLeader();
		const reply = address === undefined ? undefined : await this.#linkCalls.call(address, linkService.submit, document, submitTimeoutMs);
		return reply?.outcome as ReplaceOutcome | undefined;
	}

	/** Linearizable read of the leader's document. */
	async read(): Promise<ConfirmedRead> {
		const address = await this.#findLeader();
		const index = address === undefined ? undefined : await this.#peerCalls.confirmIndex(address);
		return index === undefined ? {isConfirmed: false} : this.#fetch(address!);
	}

	/** Linearizable read of the leader's register; undefined if it was not confirmed. */
	async readRegister(): Promise<DomainRegister | undefined> {
		const address = await this.#findLeader();
		const reply = address === undefined ? undefined : await this.#linkCalls.call(address, linkService.readDomains, {}, domainCallTimeoutMs);
		return reply?.register;
	}

	/** Commits an order about a failure domain through the leader at an address, by default the one found. Returns undefined if the outcome is unknown. */
	async orderDomain(order: DomainOrder, memberAddress?: string): Promise<DomainOrderOutcome | undefined> {
		const address = memberAddress ?? await this.#findLeader();
		const reply = address === undefined ? undefined : await this.#linkCalls.call(address, linkService.orderDomain, order, domainCallTimeoutMs);
		return reply?.outcome as DomainOrderOutcome | undefined;
	}

	close(): void {
		this.#linkCalls.close();
		this.#peerCalls.close();
	}

	async #join(address: string, request: JoinRequest): Promise<JoinReply | undefined> {
		return this.#linkCalls.call(address, linkService.join, request, joinTimeoutMs);
	}

	async #findLeader(): Promise<string | undefined> {
		if (this.#leaderAddress === undefined) {
			await this.ask();
		}

		return this.#leaderAddress;
	}

	/** Fetches the document that a leader holds after a quorum confirmed that the leader is up to date. */
	async #fetch(address: string): Promise<ConfirmedRead> {
		const receiver = new DocumentReceiver();
		const heldVersion = this.#fetched?.version ?? -1;
		for (let count = 0; count < maxParts; count++) {
			const request = receiver.request(heldVersion);
			const reply = await this.#linkCalls.call(address, linkService.document, request, partTimeoutMs);
			if (!reply || reply.version < Math.max(0, heldVersion)) {
				return {isConfirmed: false};
			}

			if (!reply.part) {
				return {isConfirmed: true, ...(this.#fetched && {document: this.#fetched})};
			}

			const received = receiver.receive(reply);
			if (received.kind === 'damaged') {
				return {isConfirmed: false};
			}

			if (received.kind === 'whole') {
				this.#fetched = {version: reply.part.transferVersion, text: received.text};
				return {isConfirmed: true, document: this.#fetched};
			}
		}

		return {isConfirmed: false};
	}
}

export type JoinAnswer = {readonly address: string; readonly reply: JoinReply | undefined};

/** The leader that the answers name: a process that calls itself the leader, else one that another process names and that is not among the excluded ones. */
export function namedLeader(answers: readonly JoinAnswer[], excluded: ReadonlySet<string | undefined>): string | undefined {
	const self = answers.find(({address, reply}) => reply?.leaderAddress === address);
	return self?.address ?? answers.map(({reply}) => reply?.leaderAddress).find(address => address !== undefined && !excluded.has(address));
}

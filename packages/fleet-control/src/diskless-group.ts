/**
The group as seen by a control process without a disk. It never joins, since a voter that forgets what it acknowledged could
lose documents; it passes documents and reads on to the leader.
*/

import {setTimeout as sleep} from 'node:timers/promises';
import type {ReplaceOutcome, StoredDocument} from '@rattanspring/desired-state';
import type {DomainOrder, DomainOrderOutcome, DomainRegister} from '@rattanspring/domain-drain';
import type {JoinReply} from '@rattanspring/fleet-link';
import type {Logger} from '@rattanspring/logger';
import {type GrpcService, peerService} from '@rattanspring/voter-group';
import {ControlGroup} from './control-group.js';
import {type ConfirmedRead, LeaderAccess, type LeaderAccessOptions} from './leader-access.js';

/** Interval at which the leader's address is confirmed. */
const askIntervalMs = 1000;

/** Interval while no leader is known. */
const searchIntervalMs = 300;

/** Why a process never becomes a voter. */
export type VotingRefusedFailure = {readonly type: 'noDataFolder'; readonly message: string};

const votingRefused: VotingRefusedFailure = {
	type: 'noDataFolder',
	message: 'The settings name no data folder. This control process does not vote; it passes documents and reads on to the leader.',
};

export type DisklessGroupOptions = LeaderAccessOptions & {readonly logger: Logger};

export class DisklessGroup extends ControlGroup {
	readonly service: GrpcService;
	readonly #options: DisklessGroupOptions;
	readonly #leaderAccess: LeaderAccess;
	#isStopped = false;

	constructor(options: DisklessGroupOptions) {
		super();
		this.#options = options;
		this.#leaderAccess = new LeaderAccess(options);
		this.service = peerService({
			voterId: () => undefined,
			membership: () => undefined,
			receive: () => undefined,
			confirmIndex: async () => undefined,
		});
	}

	get document(): undefined {
		return undefined;
	}

	get register(): undefined {
		return undefined;
	}

	get isLeader(): boolean {
		return false;
	}

	get isVoter(): boolean {
		return false;
	}

	get isSettledVoter(): boolean {
		return false;
	}

	get servesDocument(): boolean {
		return false;
	}

	async start(): Promise<void> {
		this.#options.logger.log('warn', 'votingRefused', votingRefused);
		void this.#followLeader();
	}

	async replace(document: StoredDocument): Promise<ReplaceOutcome | undefined> {
		return this.#leaderAccess.submit(document);
	}

	async submit(): Promise<undefined> {
		return undefined;
	}

	async read(): Promise<ConfirmedRead> {
		return this.#leaderAccess.read();
	}

	async readRegister(): Promise<DomainRegister | undefined> {
		return this.#leaderAccess.readRegister();
	}

	async orderDomain(order: DomainOrder): Promise<DomainOrderOutcome | undefined> {
		return this.#leaderAccess.orderDomain(order);
	}

	async join(): Promise<JoinReply> {
		return {isMember: false, isDiskless: true, leaderAddress: this.#leaderAccess.confirmedLeaderAddress};
	}

	transferLeadership(): void {
		// It never leads.
	}

	async stop(): Promise<void> {
		this.#isStopped = true;
		this.#leaderAccess.close();
	}

	async #followLeader(): Promise<void> {
		while (!this.#isStopped) {
			await this.#leaderAccess.ask();
			await sleep(this.#leaderAccess.leaderAddress === undefined ? searchIntervalMs : askIntervalMs);
		}
	}
}

/** A group of real replicas with simulated network, disks and clocks. All randomness comes from one function. */

import type {MembershipChange} from '../events.js';
import type {Membership, Voter, VoterId} from '../log-entry.js';
import {type IndexedMembership, membershipsIn} from '../membership.js';
import type {Envelope} from '../messages.js';
import {currentMembership, initialLog} from '../replica-state.js';
import type {ReplicaOptions} from '../options.js';
import {encodeCommand} from './command-id.js';
import {LimitedLink} from './limited-link.js';
import {messageBytes} from './message-bytes.js';
import {Oracle, reportViolation} from './oracle.js';
import {SimulatedMember} from './simulated-member.js';

/** Resolution of the simulated time. */
const stepMs = 10;

/** Simulated time within which a group must commit again after all faults have ended. */
const progressTimeoutMs = 30_000;

export type SimulatedGroupOptions = {
	readonly voters?: number;
	/** Random numbers in [0, 1). */
	readonly random: () => number;
	readonly replica?: Partial<ReplicaOptions>;
	/** Whether each member begins with the identities of a random quorum of the voters only: the places of the others have identities that no member has. */
	readonly hasAbsentVoters?: boolean;
	/** Bandwidth from each member to each other one; unlimited and without an order of messages if undefined. */
	readonly bytesPerMs?: number;
};

type InFlight = {readonly envelope: Envelope; readonly dueMs: number};

/** A simulated group with fault injection. */
export class SimulatedGroup {
	readonly members: SimulatedMember[] = [];
	readonly oracle = new Oracle();
	lossRate = 0;
	duplicateRate = 0;
	maxDelayMs = 5;
	/** Probability that a member's pending writes are synced within one step. */
	syncRate = 0.7;
	readonly #options: SimulatedGroupOptions;
	/** The membership with which each of the first members begins. */
	readonly #initialMemberships: readonly IndexedMembership[];
	readonly #blockedLinks = new Set<string>();
	readonly #limitedLinks = new Map<string, LimitedLink>();
	#inFlight: InFlight[] = [];
	#nowMs = 0;
	#sentBytes = 0;
	#largestMessageBytes = 0;
	#nextId = 1;
	#nextRequestId = 1;

	constructor(options: SimulatedGroupOptions) {
		this.#options = options;
		const ids = Array.from({length: options.voters ?? 3}, () => this.#newId());
		const voters = ids.map(id => ({voterId: id, address: id}));
		this.#initialMemberships = ids.map(id => ({index: 0, voters: options.hasAbsentVoters ? this.#knownTo(id, voters) : voters, learners: []}));
		for (const [position, id] of ids.entries()) {
			this.#addMember(id, initialLog({voters: this.#initialMemberships[position].voters, learners: []}));
		}
	}

	/** Simulated time since the group was created. */
	get nowMs(): number {
		return this.#nowMs;
	}

	/** Bytes of the largest message that was sent. */
	get largestMessageBytes(): number {
		return this.#largestMessageBytes;
	}

	/** Bytes that were sent and have not arrived yet. */
	get inFlightBytes(): number {
		return this.#inFlight.map(({envelope}) => messageBytes(envelope.message)).reduce((sum, bytes) => sum + bytes, 0);
	}

	/** Bytes of all messages that were sent. */
	get sentBytes(): number {
		return this.#sentBytes;
	}

	get running(): SimulatedMember[] {
		return this.members.filter(member => member.state);
	}

	/** The running leader with the highest term. */
	get leader(): SimulatedMember | undefined {
		const leaders = this.running.filter(member => member.state!.role === 'leader');
		return leaders.toSorted((left, right) => right.state!.voteState.term - left.state!.voteState.term).at(0);
	}

	/** Advances the simulated time. */
	advance(durationMs: number): void {
		for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
			this.#nowMs += stepMs;
			this.#deliver();
			for (const member of this.running) {
				member.advance(stepMs);
				if (this.#options.random() < this.syncRate) {
					member.sync();
				}
			}
		}
	}

	/** Advances the simulated time until a condition holds; returns false on timeout. */
	advanceUntil(condition: () => boolean, timeoutMs = progressTimeoutMs): boolean {
		for (let elapsedMs = 0; elapsedMs < timeoutMs && !condition(); elapsedMs += stepMs) {
			this.advance(stepMs);
		}

		return condition();
	}

	/** Proposes a command, padded to `commandBytes`, to a member; returns the command's id. */
	propose(member: SimulatedMember, commandBytes = 0): number {
		const requestId = this.#nextRequestId++;
		member.handle({type: 'propose', proposals: [{requestId, command: encodeCommand(requestId, commandBytes)}]});
		return requestId;
	}

	/** Starts a read at a member. */
	read(member: SimulatedMember): void {
		const requestId = this.#nextRequestId++;
		this.oracle.readStarted(requestId);
		member.handle({type: 'read', requestId});
	}

	/** Requests a membership change from a member. */
	changeMembership(member: SimulatedMember, change: MembershipChange): void {
		member.handle({type: 'changeMembership', requestId: this.#nextRequestId++, change});
	}

	/** Starts a new member with an empty disk and requests its addition from the member `at`. */
	addMember(at: SimulatedMember, replaces?: VoterId): SimulatedMember {
		const voterId = this.#newId();
		const member = this.#addMember(voterId, {voteState: {term: 0}, entries: []});
		this.changeMembership(at, {kind: 'add', learner: {voterId, address: voterId, ...(replaces !== undefined && {replaces})}});
		return member;
	}

	/**
	Whether one more member may lose its disk: a quorum of disks remains in the latest committed membership and in every
	later one that is known to any member or in flight and could still be committed.
	*/
	canLoseDisk(member: SimulatedMember): boolean {
		const inFlight = this.#inFlight.flatMap(({envelope: {message}}) => message.type === 'append' ? membershipsIn(message.entries) : []);
		const known = [...this.members.filter(other => other.hasDisk).flatMap(other => other.knownMemberships), ...inFlight];
		const committed = this.oracle.committedMembership;
		const relevant = [...committed ? [committed] : this.#initialMemberships, ...known.filter(membership => membership.index > (committed?.index ?? 0))];
		return relevant.every(membership => this.#retainsQuorum(idsOf(membership.voters), member.id) && this.#retainsQuorum(idsAfterPromotion(membership), member.id));
	}

	/** Whether a quorum of disks remains among the leader's voters after this one is removed. */
	canRemove(leader: SimulatedMember, voterId: VoterId): boolean {
		const {voters} = currentMembership(leader.state!);
		return voters.length > 2 && this.#retainsQuorum(idsOf(voters).filter(id => id !== voterId));
	}

	/** Stops a member permanently; its identity never returns. */
	loseDisk(member: SimulatedMember): void {
		member.crash(0);
		member.hasDisk = false;
	}

	/** Blocks all messages from one member to another. */
	blockLink(from: SimulatedMember, to: SimulatedMember): void {
		this.#blockedLinks.add(`${from.id}>${to.id}`);
	}

	/** Blocks all messages from and to a member. */
	isolate(member: SimulatedMember): void {
		for (const other of this.members) {
			this.blockLink(member, other);
			this.blockLink(other, member);
		}
	}

	/** Ends all partitions, message losses, duplicates and delays. */
	healNetwork(): void {
		this.#blockedLinks.clear();
		this.lossRate = 0;
		this.duplicateRate = 0;
		this.maxDelayMs = 5;
	}

	/** Ends all faults, and requires that the group commits again and that its voters converge. */
	requireProgress(): void {
		this.healNetwork();
		for (const member of this.members) {
			member.clockRate = 1;
			if (!member.state && member.hasDisk) {
				member.start();
			}
		}

		const {acknowledgedIndex} = this.oracle;
		let nextProposalMs = this.#nowMs;
		const commits = this.advanceUntil(() => {
			if (this.leader && this.#nowMs >= nextProposalMs) {
				this.propose(this.leader);
				nextProposalMs = this.#nowMs + 1000;
			}

			return this.oracle.acknowledgedIndex > acknowledgedIndex;
		});
		if (!commits || !this.advanceUntil(() => this.#haveVotersConverged())) {
			reportViolation('noProgress', 'after all faults ended, the group does not commit or its voters do not converge');
		}
	}

	#haveVotersConverged(): boolean {
		const {leader} = this;
		if (!leader) {
			return false;
		}

		const voterIds = new Set(currentMembership(leader.state!).voters.map(voter => voter.voterId));
		const voters = this.running.filter(member => voterIds.has(member.id));
		return voters.every(voter => voter.applied.length === leader.applied.length && voter.applied.at(-1) === leader.applied.at(-1));
	}

	#retainsQuorum(voterIds: readonly VoterId[], alsoLost?: VoterId): boolean {
		const withDisk = new Set(this.members.filter(({id, hasDisk}) => hasDisk && id !== alsoLost).map(({id}) => id));
		return voterIds.filter(id => !withDisk.has(id)).length <= Math.floor((voterIds.length - 1) / 2);
	}

	/** The voters as one of them knows them: itself and some others, with it a quorum at least. */
	#knownTo(id: VoterId, voters: readonly Voter[]): Voter[] {
		const {random} = this.#options;
		const absentCount = Math.floor(random() * (Math.floor((voters.length - 1) / 2) + 1));
		const absent = new Set(voters.map(({voterId}) => voterId).filter(voterId => voterId !== id).toSorted(() => random() - 0.5).slice(0, absentCount));
		return voters.map(voter => absent.has(voter.voterId) ? {...voter, voterId: `absent ${voter.voterId}`} : voter);
	}

	#newId(): VoterId {
		return `m${this.#nextId++}`;
	}

	#addMember(id: VoterId, initial: ReturnType<typeof initialLog>): SimulatedMember {
		const {random, replica = {}} = this.#options;
		const member = new SimulatedMember({
			id, initial, replica, random, oracle: this.oracle, send: envelope => {
				this.#send(envelope);
			},
		});
		this.members.push(member);
		member.start();
		return member;
	}

	#send(envelope: Envelope): void {
		const {random} = this.#options;
		if (random() < this.lossRate || this.#blockedLinks.has(`${envelope.from}>${envelope.to}`)) {
			return;
		}

		const copies = random() < this.duplicateRate ? 2 : 1;
		for (let copy = 0; copy < copies; copy++) {
			this.#inFlight.push({envelope, dueMs: this.#arrivalMs(envelope, random() * this.maxDelayMs)});
		}
	}

	#arrivalMs({from, to, message}: Envelope, delayMs: number): number {
		const bytes = messageBytes(message);
		this.#sentBytes += bytes;
		this.#largestMessageBytes = Math.max(this.#largestMessageBytes, bytes);
		const {bytesPerMs} = this.#options;
		if (bytesPerMs === undefined) {
			return this.#nowMs + delayMs;
		}

		const name = `${from}>${to}`;
		const link = this.#limitedLinks.get(name) ?? new LimitedLink(bytesPerMs);
		this.#limitedLinks.set(name, link);
		return link.send(message, this.#nowMs, delayMs);
	}

	/** Delivers due messages in the order of their delivery times, so that they may be reordered. */
	#deliver(): void {
		const due = this.#inFlight.filter(message => message.dueMs <= this.#nowMs).toSorted((left, right) => left.dueMs - right.dueMs);
		this.#inFlight = this.#inFlight.filter(message => message.dueMs > this.#nowMs);
		for (const {envelope} of due) {
			this.members.find(member => member.id === envelope.to)?.handle({type: 'received', envelope});
		}
	}
}

function idsOf(voters: readonly Voter[]): VoterId[] {
	return voters.map(voter => voter.voterId);
}

/** Ids of the voters after all learners have been promoted. */
function idsAfterPromotion({voters, learners}: Membership): VoterId[] {
	const replaced = new Set(learners.map(learner => learner.replaces));
	return [...idsOf(voters).filter(id => !replaced.has(id)), ...idsOf(learners)];
}

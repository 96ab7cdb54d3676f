/** Commands of the stateful fuzzer: actions of operators and callers, and injected faults. */

import fc from 'fast-check';
import {currentMembership} from '../replica-state.js';
import type {SimulatedGroup} from './simulated-group.js';
import type {SimulatedMember} from './simulated-member.js';

/** The model only counts commands; the oracle inside the group checks every effect. */
type Model = {commands: number};

/** Maximum number of members with a disk in one group, including learners. */
const maxMembers = 6;

/** Time within which a leader in contact with a quorum usually commits. */
const usualCommitMs = 60;

abstract class FuzzCommand implements fc.Command<Model, SimulatedGroup> {
	check(): boolean {
		return true;
	}

	run(model: Model, group: SimulatedGroup): void {
		model.commands++;
		this.act(group);
	}

	toString(): string {
		return JSON.stringify({name: this.constructor.name, ...this});
	}

	protected abstract act(group: SimulatedGroup): void;
}

class Advance extends FuzzCommand {
	constructor(readonly durationMs: number) {
		super();
	}

	protected act(group: SimulatedGroup): void {
		group.advance(this.durationMs);
	}
}

class Propose extends FuzzCommand {
	constructor(readonly member: number, readonly count: number) {
		super();
	}

	protected act(group: SimulatedGroup): void {
		for (let index = 0; index < this.count; index++) {
			group.propose(leaderOrMember(group, this.member));
		}
	}
}

class Read extends FuzzCommand {
	constructor(readonly member: number) {
		super();
	}

	protected act(group: SimulatedGroup): void {
		for (const member of leadersOf(group)) {
			group.read(member);
		}

		const chosen = pick(group.running, this.member);
		if (chosen) {
			group.read(chosen);
		}
	}
}

class Network extends FuzzCommand {
	constructor(readonly lossRate: number, readonly duplicateRate: number, readonly maxDelayMs: number) {
		super();
	}

	protected act(group: SimulatedGroup): void {
		group.lossRate = this.lossRate;
		group.duplicateRate = this.duplicateRate;
		group.maxDelayMs = this.maxDelayMs;
	}
}

class BlockLink extends FuzzCommand {
	constructor(readonly from: number, readonly to: number) {
		super();
	}

	protected act(group: SimulatedGroup): void {
		group.blockLink(pick(group.members, this.from)!, pick(group.members, this.to)!);
	}
}

class IsolateLeader extends FuzzCommand {
	protected act(group: SimulatedGroup): void {
		if (group.leader) {
			group.isolate(group.leader);
		}
	}
}

/** Isolates the leader, lets a new leader commit, and reads at every replica that considers itself the leader. */
class ReadAfterLeaderChange extends FuzzCommand {
	constructor(readonly durationMs: number) {
		super();
	}

	protected act(group: SimulatedGroup): void {
		const {leader} = group;
		if (!leader) {
			return;
		}

		group.isolate(leader);
		group.advance(this.durationMs);
		for (const member of leadersOf(group)) {
			group.propose(member);
		}

		group.advance(usualCommitMs);
		for (const member of leadersOf(group)) {
			group.read(member);
		}
	}
}

class Heal extends FuzzCommand {
	protected act(group: SimulatedGroup): void {
		group.healNetwork();
	}
}

class Crash extends FuzzCommand {
	constructor(readonly member: number, readonly writesKept: number) {
		super();
	}

	protected act(group: SimulatedGroup): void {
		pick(group.running, this.member)?.crash(this.writesKept);
	}
}

class Restart extends FuzzCommand {
	constructor(readonly member: number) {
		super();
	}

	protected act(group: SimulatedGroup): void {
		pick(group.members.filter(member => member.hasDisk && !member.state), this.member)?.start();
	}
}

class LoseDisk extends FuzzCommand {
	constructor(readonly member: number) {
		super();
	}

	protected act(group: SimulatedGroup): void {
		const member = pick(group.members.filter(candidate => candidate.hasDisk), this.member);
		if (member && group.canLoseDisk(member)) {
			group.loseDisk(member);
		}
	}
}

/** Adds a member, as the replacement of a voter that lost its disk if there is one. */
class AddMember extends FuzzCommand {
	protected act(group: SimulatedGroup): void {
		const {leader} = group;
		if (!leader || group.members.filter(member => member.hasDisk).length >= maxMembers) {
			return;
		}

		const voters = new Set(currentMembership(leader.state!).voters.map(voter => voter.voterId));
		const lost = group.members.find(member => !member.hasDisk && voters.has(member.id));
		group.addMember(leader, lost?.id);
	}
}

class RemoveMember extends FuzzCommand {
	constructor(readonly member: number) {
		super();
	}

	protected act(group: SimulatedGroup): void {
		const {leader} = group;
		const voters = leader ? currentMembership(leader.state!).voters : [];
		const chosen = pick(voters, this.member);
		if (leader && chosen && group.canRemove(leader, chosen.voterId)) {
			group.changeMembership(leader, {kind: 'remove', voterId: chosen.voterId});
		}
	}
}

class Transfer extends FuzzCommand {
	protected act(group: SimulatedGroup): void {
		group.leader?.handle({type: 'transferLeadership'});
	}
}

class Compact extends FuzzCommand {
	constructor(readonly member: number) {
		super();
	}

	protected act(group: SimulatedGroup): void {
		pick(group.running, this.member)?.compact();
	}
}

class SetClock extends FuzzCommand {
	constructor(readonly member: number, readonly drift: number) {
		super();
	}

	protected act(group: SimulatedGroup): void {
		pick(group.members, this.member)!.clockRate = 1 + this.drift;
	}
}

class SetSync extends FuzzCommand {
	constructor(readonly syncRate: number) {
		super();
	}

	protected act(group: SimulatedGroup): void {
		group.syncRate = this.syncRate;
	}
}

const member = fc.nat({max: 11});

/** Arbitrary command sequences; clock rates deviate by at most `clockDrift`. */
export function groupCommands(maxCommands: number, clockDrift: number): fc.Arbitrary<Iterable<fc.Command<Model, SimulatedGroup>>> {
	const advance = fc.integer({min: 10, max: 1500}).map(durationMs => new Advance(durationMs));
	const propose = fc.tuple(member, fc.integer({min: 1, max: 4})).map(([at, count]) => new Propose(at, count));
	const read = member.map(at => new Read(at));
	return fc.commands([
		advance,
		advance,
		advance,
		propose,
		propose,
		propose,
		read,
		read,
		read,
		fc.constant(new Heal()),
		fc.tuple(share(0, 0.3), share(0, 0.3), fc.integer({min: 1, max: 400})).map(values => new Network(...values)),
		fc.tuple(member, member).map(([from, to]) => new BlockLink(from, to)),
		fc.constant(new IsolateLeader()),
		fc.integer({min: 500, max: 3000}).map(durationMs => new ReadAfterLeaderChange(durationMs)),
		fc.constant(new Heal()),
		fc.tuple(member, fc.nat({max: 3})).map(([at, writesKept]) => new Crash(at, writesKept)),
		member.map(at => new Restart(at)),
		member.map(at => new Restart(at)),
		member.map(at => new LoseDisk(at)),
		fc.constant(new AddMember()),
		member.map(at => new RemoveMember(at)),
		fc.constant(new Transfer()),
		member.map(at => new Compact(at)),
		fc.tuple(member, share(-clockDrift, clockDrift)).map(([at, drift]) => new SetClock(at, drift)),
		share(0.05, 1).map(syncRate => new SetSync(syncRate)),
	], {maxCommands, size: 'max'});
}

/** Uniformly distributed fractions; fast-check's own floating-point values cluster around zero. */
function share(min: number, max: number): fc.Arbitrary<number> {
	return fc.integer({min: Math.round(min * 1000), max: Math.round(max * 1000)}).map(thousandths => thousandths / 1000);
}

function pick<Item>(items: readonly Item[], choice: number): Item | undefined {
	return items[choice % Math.max(1, items.length)];
}

function leadersOf(group: SimulatedGroup): SimulatedMember[] {
	return group.running.filter(candidate => candidate.state!.role === 'leader');
}

function leaderOrMember(group: SimulatedGroup, choice: number): SimulatedMember {
	return pick(leadersOf(group), choice) ?? pick(group.members, choice)!;
}

import {describe, it} from 'node:test';
import {expect} from 'earl';
import {entryBytes} from './entry-bytes.js';
import {createReplica, initialLog, type ReplicaState} from './replica-state.js';
import {step} from './step.js';

const commandBytes = 300_000;
const maxRetainedBytes = 8_388_608;

/** A leader without other voters that has committed a number of commands. */
function leaderWith(commandCount: number): ReplicaState {
	const voter = {voterId: 'a', address: '127.0.0.1:1'};
	const state = createReplica({
		id: 'a', recovered: initialLog({voters: [voter], learners: []}), nowMs: 0, random: 0,
	});
	step(state, {type: 'tick', nowMs: 1, random: 0});
	for (let requestId = 1; requestId <= commandCount; requestId++) {
		step(state, {
			type: 'propose', proposals: [{requestId, command: new Uint8Array(commandBytes)}], nowMs: 2, random: 0,
		});
		step(state, {
			type: 'synced', index: state.entries.lastIndex, term: state.voteState.term, nowMs: 2, random: 0,
		});
	}

	return state;
}

function retainedBytes({entries}: ReplicaState): number {
	return entries.slice(entries.baseIndex + 1).map(entry => entryBytes(entry)).reduce((sum, bytes) => sum + bytes, 0);
}

describe('a log with large entries', () => {
	it('retains no more of them behind a snapshot than fit into some megabytes', () => {
		const state = leaderWith(200);
		const {commitIndex, entries} = state;
		step(state, {
			type: 'compact', index: commitIndex, state: new Uint8Array(1), nowMs: 3, random: 0,
		});
		expect(retainedBytes(state)).toBeLessThanOrEqual(maxRetainedBytes);
		expect(retainedBytes(state)).toBeGreaterThan(maxRetainedBytes - (2 * commandBytes));
		expect(entries.lastIndex).toEqual(commitIndex);
	});
});

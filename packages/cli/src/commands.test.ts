import {describe, it} from 'node:test';
import {ControlAccess, type ControlFailure, type ReadSubject} from '@rattanspring/control-client';
import {
	applyFleetCommand, emptyFleetState, type FleetAnswer, type FleetCommand,
} from '@rattanspring/fleet-state';
import {
	err, ok, type InForceAnswer, type Result,
} from '@rattanspring/types';
import {expect} from 'earl';
import {diffConfiguration} from './commands/config/apply.js';
import {inForce} from './commands/config/history.js';
import {show} from './commands/config/show.js';
import {add as addCallerKey} from './commands/caller-keys/index.js';
import {buildSetDefaultEdits} from './commands/defaults/index.js';
import {add as addException, type AddArguments} from './commands/exceptions/index.js';
import type {CommandContext} from './command-context.js';
import {exitCodes} from './connection.js';
import {submitChange, type ChangeArguments} from './submit-change.js';

/** In-process control voters: the real state machine, and simulated daemons that apply a change after a number of polls. */
class FakeControl extends ControlAccess {
	readonly state = emptyFleetState();
	failure: ControlFailure | undefined;
	pollsUntilInForce = 0;
	inForceFailure: ControlFailure | undefined;

	async submit(command: FleetCommand): Promise<Result<FleetAnswer, ControlFailure>> {
		return this.failure ? err(this.failure) : ok(applyFleetCommand(this.state, command));
	}

	async read<Answer>(subject: ReadSubject): Promise<Result<Answer, ControlFailure>> {
		if (subject === 'inForce' && this.inForceFailure) {
			return err(this.inForceFailure);
		}

		const answer = subject === 'inForce' ? this.#inForce() : this.state.configuration;
		return ok(answer as Answer);
	}

	close(): void {
		// No connection is open.
	}

	#inForce(): InForceAnswer {
		const isBehind = this.pollsUntilInForce > 0;
		this.pollsUntilInForce--;
		const {revision} = this.state.configuration;
		return {
			revision,
			daemons: 2,
			inForce: isBehind ? 1 : 2,
			relays: 1,
			notInForce: isBehind
				? [{
					daemonId: 'd1', failureDomain: 'a', revision: revision - 1, reason: 'notYetApplied', relay: 'r', forMs: 1,
				}]
				: [],
		};
	}
}

const options: ChangeArguments = {
	control: [], json: false, reason: 'wedding season', operator: 'op', wait: true,
};

function setUp(json = false): {control: FakeControl; printed: string[]; statusLines: string[]; context: CommandContext} {
	const control = new FakeControl();
	const printed: string[] = [];
	const statusLines: string[] = [];
	const context: CommandContext = {
		control,
		json,
		print(line) {
			printed.push(line);
		},
		printStatus(line) {
			statusLines.push(line);
		},
		async sleep() {
			// Returns at once so that polling takes no time.
		},
		wallMs: () => 0,
	};
	return {
		control, printed, statusLines, context,
	};
}

const setSampleSize = (): ReturnType<typeof buildSetDefaultEdits> => buildSetDefaultEdits('routing.sampleSize', '3');

describe('commands that change the configuration', () => {
	it('print progress until the change is in force', async () => {
		const {
			control, printed, statusLines, context,
		} = setUp();
		control.pollsUntilInForce = 2;
		expect(await submitChange(context, options, setSampleSize)).toEqual(0);
		expect(printed).toEqual(['accepted as revision 1']);
		expect(statusLines.slice(1)).toEqual(['revision 1 in force on 1 of 2 daemons', 'revision 1 in force on 1 of 2 daemons', 'revision 1 in force on 2 of 2 daemons']);
	});

	it('return the notInForce exit code when a daemon does not apply the change', async () => {
		const {control, statusLines, context} = setUp();
		control.pollsUntilInForce = 1000;
		expect(await submitChange(context, options, setSampleSize)).toEqual(exitCodes.notInForce);
		expect(statusLines.at(-1)!.includes('d1 (notYetApplied)')).toEqual(true);
	});

	it('do not report an accepted change as failed when only the in-force status cannot be read', async () => {
		const {control, printed, context} = setUp();
		control.inForceFailure = {type: 'forbidden', message: 'No valid key.'};
		expect(await submitChange(context, options, setSampleSize)).toEqual(exitCodes.notInForce);
		expect(printed).toEqual(['accepted as revision 1']);
	});

	it('print the conflicting changes on a conflict', async () => {
		const {statusLines, context} = setUp();
		await submitChange(context, options, setSampleSize);
		expect(await submitChange(context, {...options, baseRevision: 0}, setSampleSize)).toEqual(exitCodes.conflict);
		expect(statusLines.at(-2)).toEqual('  op: wedding season: set routing.sampleSize = 3');
	});

	it('get the original reply when a change is resubmitted after a lost reply', async () => {
		const {
			control, statusLines, printed, context,
		} = setUp(true);
		const retryOptions = {...options, changeId: 'c1', baseRevision: 0};
		control.failure = {type: 'noQuorum', message: 'No leader.'};
		expect(await submitChange(context, retryOptions, setSampleSize)).toEqual(exitCodes.unreachable);
		expect(statusLines[1].includes('--change-id c1 --base-revision 0')).toEqual(true);
		control.failure = undefined;
		await submitChange(context, retryOptions, setSampleSize);
		await submitChange(context, retryOptions, setSampleSize);
		expect(printed).toEqual(['{"kind":"accepted","revision":1}', '{"kind":"accepted","revision":1}']);
	});

	it('explain why a value is invalid and that nothing was changed', async () => {
		const {control, statusLines, context} = setUp();
		expect(await submitChange(context, options, () => buildSetDefaultEdits('routing.sampleSize', 'many'))).toEqual(exitCodes.rejected);
		expect(statusLines.at(-1)).toEqual('rattanspring: invalidValue: routing.sampleSize: expected a whole number from 1 to 64. Nothing was changed.');
		control.failure = {type: 'forbidden', message: 'No valid key.'};
		expect(await submitChange(context, options, setSampleSize)).toEqual(exitCodes.forbidden);
	});
});

describe('exceptions add and config show', () => {
	const addOptions: AddArguments = {
		...options, scope: 'clientAccount:a', key: 'account.fairShare', value: '2', id: 'e1', ends: '2030-01-31T18:00:00Z',
	};

	it('add an exception and show the origin of an effective value', async () => {
		const {control, printed, context} = setUp();
		expect(await addException(context, addOptions)).toEqual(0);
		expect(control.state.configuration.exceptions[0].endsAtMs).toEqual(Date.parse('2030-01-31T18:00:00Z'));
		expect(await show(context, {...options, effective: 'clientAccount:a'})).toEqual(0);
		expect(printed.at(-1)!.includes('exception e1 for clientAccount a: wedding season')).toEqual(true);
	});

	it('reject a scope or time that cannot be parsed', async () => {
		const {context} = setUp();
		expect(await addException(context, {...addOptions, scope: 'a'})).toEqual(exitCodes.usage);
		expect(await addException(context, {...addOptions, ends: 'soon'})).toEqual(exitCodes.usage);
		expect(await show(context, {...options, effective: 'place:a'})).toEqual(exitCodes.usage);
	});
});

describe('caller-keys add', () => {
	it('prints the secret once and stores its digest', async () => {
		const {control, printed, context} = setUp();
		expect(await addCallerKey(context, {...options, id: 'k1', account: 'a'})).toEqual(0);
		const secret = printed[0].split(': ')[1];
		expect(JSON.stringify(control.state.configuration).includes(secret)).toEqual(false);
		expect(control.state.configuration.callerKeys[0].clientAccount).toEqual('a');
	});
});

describe('config in-force', () => {
	it('lists the daemons that lag behind and returns the notInForce exit code', async () => {
		const {control, printed, context} = setUp();
		control.pollsUntilInForce = 1;
		expect(await inForce(context)).toEqual(exitCodes.notInForce);
		expect(printed[0].includes('notYetApplied')).toEqual(true);
		expect(await inForce(context)).toEqual(0);
	});
});

describe('config apply', () => {
	it('computes only the necessary edits, and none once they are applied', () => {
		const {control} = setUp();
		const sampleSize = 'routing.sampleSize';
		const desired = {
			defaults: {[sampleSize]: 3}, exceptions: [{
				exceptionId: 'e', scope: {kind: 'service' as const, name: 's'}, key: sampleSize, value: 2, reason: 'r',
			}],
		};
		const edits = diffConfiguration(control.state.configuration, desired, 'op');
		expect(edits.map(edit => edit.kind)).toEqual(['setDefault', 'addException']);
		applyFleetCommand(control.state, {
			kind: 'change', change: {
				changeId: 'c', baseRevision: 0, operator: 'op', reason: 'r', edits,
			},
		});
		expect(diffConfiguration(control.state.configuration, desired, 'another')).toEqual([]);
		expect(diffConfiguration(control.state.configuration, {defaults: {}, exceptions: []}, 'op').map(edit => edit.kind)).toEqual(['unsetDefault', 'removeException']);
	});
});

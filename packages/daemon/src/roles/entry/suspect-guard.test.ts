import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import {ControlAccess} from '@rattanspring/control-client';
import {
	applyFleetCommand, emptyFleetState, serializeSuspects, type FleetAnswer, type FleetCommand,
} from '@rattanspring/fleet-state';
import {suspectListTtlMs, SuspectListCache} from '@rattanspring/routing';
import {Clock, ok, type Result} from '@rattanspring/types';
import {expect} from 'earl';
import {SuspectGuard, type RunPermit} from './suspect-guard.js';

class FixedClock extends Clock {
	monotonicMs(): number {
		return 0;
	}

	wallMs(): number {
		return 0;
	}
}

/** Control whose state is shared by all entries. */
class SharedControl extends ControlAccess {
	readonly state = emptyFleetState();
	readonly commands: string[] = [];

	async submit(command: FleetCommand): Promise<Result<FleetAnswer, never>> {
		this.commands.push(command.kind === 'suspects' ? command.command.kind : command.kind);
		return ok(applyFleetCommand(this.state, command));
	}

	async read<Answer>(): Promise<Result<Answer, never>> {
		return ok(serializeSuspects(this.state.suspects) as Answer);
	}

	close(): void {
		// Nothing is open.
	}
}

const request = {
	clientAccount: 'account', service: 'draft-model', method: 'POST', path: '/', body: Buffer.from('body'), deadlineMs: 100,
};

/** Guard of an entry whose cached list of suspects is empty and was confirmed at the given time. */
function createGuard(control: ControlAccess, confirmedAtMs: number): SuspectGuard {
	const suspectList = new SuspectListCache();
	suspectList.apply({version: 0, suspects: [], confirmedAtMs});
	return new SuspectGuard({suspectList, control, clock: new FixedClock()});
}

async function acquirePermit(guard: SuspectGuard, requestId: string): Promise<RunPermit> {
	const acquired = await guard.acquirePermit(request, requestId);
	if (!acquired.ok) {
		throw new Error(acquired.failure.type);
	}

	return acquired.value;
}

describe('suspect guard', () => {
	it('sends no command to control while its cached list is valid', async () => {
		const control = new SharedControl();
		await acquirePermit(createGuard(control, 0), 'a');
		expect(control.commands).toEqual([]);
	});

	it('lets the request run again alone after a crash, and clears it after a complete response', async () => {
		const control = new SharedControl();
		const permit = await acquirePermit(createGuard(control, 0), 'a');
		expect(permit.isAlone).toEqual(false);
		expect(await permit.crashed({targetId: 't1', attempt: 1}, true)).toEqual(undefined);
		expect(permit.isAlone).toEqual(true);
		await permit.end(true);
		expect(control.state.suspects.records.size).toEqual(0);
	});

	it('refuses the request after it crashed a target on which it ran alone, also at an entry whose list has expired', async () => {
		const control = new SharedControl();
		const permit = await acquirePermit(createGuard(control, 0), 'a');
		await permit.crashed({targetId: 't1', attempt: 1}, true);
		const failure = await permit.crashed({targetId: 't2', attempt: 2}, true);
		expect([failure?.type, failure?.execution]).toEqual(['suspectRefused', 'unknown']);
		const atOtherEntry = await createGuard(control, -suspectListTtlMs - 1).acquirePermit(request, 'b');
		expect(!atOtherEntry.ok && [atOtherEntry.failure.type, atOtherEntry.failure.execution]).toEqual(['suspectRefused', 'didNotRun']);
	});

	it('does not restrict other requests of the account', async () => {
		const control = new SharedControl();
		const permit = await acquirePermit(createGuard(control, 0), 'a');
		await permit.crashed({targetId: 't1', attempt: 1}, true);
		await permit.crashed({targetId: 't2', attempt: 2}, true);
		const other = await createGuard(control, -suspectListTtlMs - 1).acquirePermit({...request, body: Buffer.from('other')}, 'b');
		expect(other.ok && !other.value.isAlone).toEqual(true);
	});
});

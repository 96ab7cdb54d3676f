import {describe, it} from 'node:test';
import {type ControlAccess, GrpcControlAccess} from '@rattanspring/control-client';
import {err, ok} from '@rattanspring/types';
import {expect} from 'earl';
import type {CommandContext} from '../../command-context.js';
import {exitCodes} from '../../connection.js';
import {showVoters} from './show-voters.js';

const unusedControl: ControlAccess = new GrpcControlAccess({addresses: []});

function recordingContext(): {context: CommandContext; printed: string[]; statusLines: string[]} {
	const printed: string[] = [];
	const statusLines: string[] = [];
	const context: CommandContext = {
		control: unusedControl,
		json: true,
		print(line) {
			printed.push(line);
		},
		printStatus(line) {
			statusLines.push(line);
		},
		async sleep() {
			// The command under test does not wait.
		},
		wallMs: () => 0,
	};
	return {context, printed, statusLines};
}

describe('showVoters', () => {
	it('prints the voters', () => {
		const {context, printed} = recordingContext();
		const voters = [{voterId: 'a.1', address: '127.0.0.1:1', standing: 'leader'}];
		expect(showVoters(context, ok(voters))).toEqual(0);
		expect(printed).toEqual([JSON.stringify(voters)]);
	});

	it('returns the rejected exit code when a membership change is refused', () => {
		const {context, printed, statusLines} = recordingContext();
		expect(showVoters(context, err({type: 'membershipRefused', message: 'no'}))).toEqual(exitCodes.rejected);
		expect([printed.length, statusLines.length]).toEqual([0, 1]);
	});
});

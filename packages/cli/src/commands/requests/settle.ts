/** `rattanspring requests settle`: records whether a request with an unknown outcome was executed, with a reason. */

import {userInfo} from 'node:os';
import type {LedgerAnswer, SettledExecution} from '@rattanspring/request-ledger';
import type {Argv, CommandModule} from 'yargs';
import {reportFailure, runCommand, type CommandContext} from '../../command-context.js';
import {exitCodes, type ConnectionArguments} from '../../connection.js';

type SettleArguments = ConnectionArguments & {
	readonly clientAccount: string; readonly service: string; readonly key: string; readonly execution: SettledExecution; readonly reason: string; readonly operator: string;
};

export const settleCommand: CommandModule<ConnectionArguments, SettleArguments> = {
	command: 'settle',
	describe: 'record whether a request with an unknown outcome ran',
	builder: builder => builder.options({
		'client-account': {type: 'string', demandOption: true, describe: 'client account of the request'},
		service: {type: 'string', demandOption: true, describe: 'service of the request'},
		key: {type: 'string', demandOption: true, describe: 'Idempotency-Key of the request'},
		execution: {
			type: 'string', choices: ['ran', 'didNotRun'] as const, demandOption: true, describe: 'what the service itself reports; after didNotRun the key may be used again',
		},
		reason: {type: 'string', demandOption: true, describe: 'evidence for the stated execution'},
		operator: {type: 'string', default: userInfo().username, describe: 'who settles the request; the operator of an operator key takes precedence'},
	}) as unknown as Argv<SettleArguments>,
	handler: settle,
};

async function settle(options: SettleArguments): Promise<void> {
	const {clientAccount, service, key: idempotencyKey, execution, reason, operator} = options;
	await runCommand(options, async context => {
		const result = await context.control.submit({
			kind: 'ledger',
			command: {
				kind: 'settle', key: {clientAccount, service, idempotencyKey}, settlement: {execution, reason, operator}, nowMs: context.wallMs(),
			},
		});
		if (!result.ok) {
			return reportFailure(context, result.failure);
		}

		return result.value.kind === 'ledger' ? reportAnswer(context, result.value.answer) : exitCodes.failed;
	});
}

function reportAnswer(context: CommandContext, answer: LedgerAnswer): number {
	context.print(context.json ? JSON.stringify(answer) : describeAnswer(answer));
	return answer.kind === 'done' ? 0 : exitCodes.rejected;
}

function describeAnswer(answer: LedgerAnswer): string {
	switch (answer.kind) {
		case 'done': {
			return 'settled';
		}

		case 'reasonMissing': {
			return 'not settled: a reason is required';
		}

		case 'notSettleable': {
			return `not settled: the request is ${answer.state}; only an unknown outcome can be settled, and a claimed request only as having run`;
		}

		case 'granted':
		case 'free':
		case 'alreadyRecorded':
		case 'bodyMismatch':
		case 'claimedElsewhere':
		case 'unknown':
		case 'settledAsRan':
		case 'expired':
		case 'full':
		case 'stale': {
			return `not settled: ${answer.kind}`;
		}
	}
}

/** `rattanspring suspects release`: allows a refused request to run again. */

import type {CommandModule} from 'yargs';
import {reportFailure, runCommand} from '../../command-context.js';
import {type ConnectionArguments, exitCodes} from '../../connection.js';

type ReleaseArguments = ConnectionArguments & {
	readonly clientAccount: string;
	readonly bodyDigest: string;
	readonly operator: string;
	readonly reason: string;
};

export const releaseCommand: CommandModule<ConnectionArguments, ReleaseArguments> = {
	command: 'release <clientAccount> <bodyDigest>',
	describe: 'allow a refused request to run again',
	builder: builder => builder
		.positional('clientAccount', {type: 'string', demandOption: true, describe: 'client account of the request'})
		.positional('bodyDigest', {type: 'string', demandOption: true, describe: 'body digest as shown by "suspects list"'})
		.option('operator', {type: 'string', demandOption: true, describe: 'who releases it'})
		.option('reason', {type: 'string', demandOption: true, describe: 'why it is safe to run it again'}),
	handler: release,
};

async function release(options: ReleaseArguments): Promise<void> {
	const {clientAccount, bodyDigest, operator, reason} = options;
	await runCommand(options, async context => {
		const result = await context.control.submit({
			kind: 'suspects', command: {
				kind: 'release', key: {clientAccount, bodyDigest}, operator, reason, nowMs: context.wallMs(),
			},
		});
		if (!result.ok) {
			return reportFailure(context, result.failure);
		}

		const isReleased = result.value.kind === 'suspects' && result.value.answer.kind === 'free';
		context.print(context.json ? JSON.stringify(result.value) : (isReleased ? 'released' : 'not released: a reason is required'));
		return isReleased ? 0 : exitCodes.rejected;
	});
}

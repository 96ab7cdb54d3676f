/** `rattanspring voters remove VOTER`: removes a member from the control group. */

import type {CommandModule} from 'yargs';
import type {ConnectionArguments} from '../../connection.js';
import {runVoterCommand} from './show-voters.js';

type RemoveArguments = ConnectionArguments & {readonly voter: string};

export const removeCommand: CommandModule<ConnectionArguments, RemoveArguments> = {
	command: 'remove <voter>',
	describe: 'remove a voter or learner',
	builder: builder => builder.positional('voter', {type: 'string', demandOption: true, describe: 'voter id as shown by "voters list"'}),
	async handler(options) {
		await runVoterCommand(options, async access => access.change({$case: 'remove', value: options.voter}));
	},
};

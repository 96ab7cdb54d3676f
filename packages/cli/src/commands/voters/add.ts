/** `rattanspring voters add ADDRESS`: adds a member to the control group; it counts towards the quorum once its log has caught up. */

import type {CommandModule} from 'yargs';
import type {ConnectionArguments} from '../../connection.js';
import {runVoterCommand} from './show-voters.js';

type AddArguments = ConnectionArguments & {readonly address: string; readonly replaces: string};

export const addCommand: CommandModule<ConnectionArguments, AddArguments> = {
	command: 'add <address>',
	describe: 'add the voter that listens at an address, started with roles.control.start = "joinGroup"',
	builder: builder => builder
		.positional('address', {type: 'string', demandOption: true, describe: 'host:port of the new voter'})
		.option('replaces', {type: 'string', default: '', describe: 'id of the voter that it replaces'}),
	async handler(options) {
		const {address, replaces} = options;
		await runVoterCommand(options, async access => access.change({$case: 'add', value: {address, replaces}}));
	},
};

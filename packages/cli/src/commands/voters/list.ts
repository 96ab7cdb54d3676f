/** `rattanspring voters list`: lists the members of the control group, as confirmed by a quorum. */

import type {Command} from '../../command.js';
import {runVoterCommand} from './show-voters.js';

export const listCommand: Command = {
	command: 'list',
	describe: 'list the leader, voters and learners',
	async handler(options) {
		await runVoterCommand(options, async access => access.list());
	},
};

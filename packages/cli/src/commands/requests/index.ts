/** `rattanspring requests`: shows requests with at-most-once execution and settles unknown outcomes. */

import type {Command} from '../../command.js';
import {settleCommand} from './settle.js';
import {showCommand} from './show.js';

export const requestsCommand: Command = {
	command: 'requests',
	describe: 'show requests with at-most-once execution and settle unknown outcomes',
	builder: builder => builder.command(showCommand).command(settleCommand).demandCommand(1, 'Specify a subcommand; see --help.'),
	handler() {
		// Handled by the subcommands.
	},
};

/** `rattanspring report`: reports on how the fleet serves its callers. */

import type {Command} from '../../command.js';
import {lossesCommand} from './losses.js';
import {serviceLevelCommand} from './service-level.js';
import {sharesCommand} from './shares.js';

export const reportCommand: Command = {
	command: 'report',
	describe: 'report on how callers are served',
	builder: builder => builder.command([serviceLevelCommand as unknown as Command, sharesCommand as unknown as Command, lossesCommand as unknown as Command]).demandCommand(1, 'Specify a report; see --help.'),
	handler() {
		// Handled by the subcommands.
	},
};

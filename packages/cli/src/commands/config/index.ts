/** `rattanspring config`: shows and changes the fleet configuration. */

import type {Command} from '../../command.js';
import {applyCommand, diffCommand} from './apply.js';
import {historyCommand, inForceCommand} from './history.js';
import {showCommand} from './show.js';

export const configCommand: Command = {
	command: 'config',
	describe: 'show and change the fleet configuration',
	builder: builder => builder.command([showCommand, diffCommand, applyCommand, historyCommand, inForceCommand]).demandCommand(1, 'Specify a subcommand; see --help.'),
	handler() {
		// Handled by the subcommands.
	},
};

/** `rattanspring groups`: shows rank groups. */

import type {Command} from '../../command.js';
import {showCommand} from './show.js';

export const groupsCommand: Command = {
	command: 'groups',
	describe: 'show rank groups and their expert maps',
	builder: builder => builder.command([showCommand]).demandCommand(1, 'Specify a subcommand; see --help.'),
	handler() {
		// Handled by the subcommands.
	},
};

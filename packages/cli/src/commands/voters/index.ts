/** `rattanspring voters`: lists, adds and removes voters of the control group. */

import type {Command} from '../../command.js';
import {addCommand} from './add.js';
import {listCommand} from './list.js';
import {removeCommand} from './remove.js';

export const votersCommand: Command = {
	command: 'voters',
	describe: 'list, add and remove voters of the control group',
	builder: builder => builder.command(listCommand).command(addCommand).command(removeCommand).demandCommand(1, 'Specify a subcommand; see --help.'),
	handler() {
		// Handled by the subcommands.
	},
};

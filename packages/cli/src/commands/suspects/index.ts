/** `rattanspring suspects`: lists requests that were running when their targets crashed, and releases refused ones. */

import type {Command} from '../../command.js';
import {listCommand} from './list.js';
import {releaseCommand} from './release.js';

export const suspectsCommand: Command = {
	command: 'suspects',
	describe: 'list requests whose targets crashed, and release refused ones',
	builder: builder => builder.command([listCommand]).command([releaseCommand]).demandCommand(1, 'Specify a subcommand; see --help.'),
	handler() {
		// Handled by the subcommands.
	},
};

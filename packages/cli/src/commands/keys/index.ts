/** `rattanspring keys`: creates the fleet certificate authority and the certificates for the initial set-up. */

import type {Command} from '../../command.js';
import {authorityCommand} from './authority.js';
import {certificateCommand} from './certificate.js';

export const keysCommand: Command = {
	command: 'keys',
	describe: 'create the fleet certificate authority and the certificates it signs',
	builder: builder => builder.command([authorityCommand, certificateCommand]).demandCommand(1, 'Specify a subcommand; see --help.'),
	handler() {
		// Handled by the subcommands.
	},
};

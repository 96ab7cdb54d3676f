#!/usr/bin/env node
/** Entry point of the `rattanspring` command. */

import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {commands} from './commands/index.js';
import {connectionOptions} from './connection.js';

await yargs(hideBin(process.argv))
	.scriptName('rattanspring')
	// --control takes a single address per use; otherwise it would consume the command name that follows.
	.parserConfiguration({'greedy-arrays': false})
	.options(connectionOptions)
	.command([...commands])
	.completion('completion', 'print a completion script for the shell')
	.demandCommand(1, 'Specify a command; see --help.')
	.strict()
	.parse();

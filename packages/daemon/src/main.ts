#!/usr/bin/env node
/** Command-line entry point of rattanspringd. */

import process from 'node:process';
import {readSettings} from '@rattanspring/settings';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {startOrExit, stopAtSignal} from './run-daemon.js';

/** Exit code for unreadable or invalid settings. */
const invalidSettingsExitCode = 2;

const options = await yargs(hideBin(process.argv))
	.scriptName('rattanspringd')
	.usage('$0 --settings FILE [--check]')
	.option('settings', {type: 'string', demandOption: true, describe: 'settings file (JSON)'})
	.option('check', {type: 'boolean', default: false, describe: 'only check the settings file'})
	.strict()
	.parse();

const settings = await readSettings(options.settings);
if (!settings.ok) {
	for (const failure of settings.failure) {
		process.stderr.write(`rattanspringd: ${failure.message}\n`);
	}

	process.exit(invalidSettingsExitCode);
}

if (options.check) {
	process.stdout.write(`${options.settings}: ok\n`);
} else {
	const daemon = await startOrExit(settings.value);
	stopAtSignal(async () => daemon.stop());
}

/** `rattanspring keys authority`: creates the certificate and private key of the fleet certificate authority. */

import process from 'node:process';
import {createAuthority} from '@rattanspring/key-authority';
import type {Argv} from 'yargs';
import type {Command} from '../../command.js';
import {type ConnectionArguments, exitCodes} from '../../connection.js';
import {writeKeyFiles} from './key-files.js';

type AuthorityArguments = ConnectionArguments & {readonly folder: string; readonly fleet: string};

export const authorityCommand: Command = {
	command: 'authority',
	describe: 'create the fleet certificate authority; do not store its private key on fleet machines',
	builder: (builder: Argv<ConnectionArguments>) => builder.options({
		folder: {type: 'string', demandOption: true, describe: 'folder to write authority.pem and authority-key.pem to'},
		fleet: {type: 'string', default: 'rattanspring', describe: 'name of the fleet'},
	}),
	handler: async options => run(options as unknown as AuthorityArguments),
};

async function run(options: AuthorityArguments): Promise<void> {
	const {folder, fleet, json} = options;
	const pair = await createAuthority({fleet, validFrom: new Date()});
	const written = await writeKeyFiles(folder, [
		{name: 'authority.pem', content: pair.certificatePem, isSecret: false},
		{name: 'authority-key.pem', content: pair.privateKeyPem, isSecret: true},
	]);
	if (!written.ok) {
		process.stderr.write(`rattanspring: ${written.failure.type}: ${written.failure.message}\n`);
		process.exitCode = exitCodes.failed;
		return;
	}

	process.stdout.write(json ? `${JSON.stringify({folder})}\n` : `Wrote authority.pem and authority-key.pem to ${folder}.\n`);
}

/** `rattanspring keys certificate NAME`: creates the key files of one VM or operator. */

import {readFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {
	type CertificatePair, type CertificateRole, createCertificate,
} from '@rattanspring/key-authority';
import {err, ok, type Result} from '@rattanspring/types';
import type {Argv} from 'yargs';
import type {Command} from '../../command.js';
import {type ConnectionArguments, exitCodes} from '../../connection.js';
import {type KeyFileFailure, writeKeyFiles} from './key-files.js';

const roleNames = ['control', 'relay', 'entry', 'agent', 'operator'] as const;

type CertificateArguments = ConnectionArguments & {
	readonly name: string;
	readonly authority: string;
	readonly folder: string;
	readonly role: readonly CertificateRole[];
	readonly ip: readonly string[];
	readonly days?: number;
};

export const certificateCommand: Command = {
	command: 'certificate <name>',
	describe: 'create the key files of a VM or an operator, signed by the fleet authority',
	builder: (builder: Argv<ConnectionArguments>) => builder
		.positional('name', {type: 'string', demandOption: true, describe: 'name of the VM or operator'})
		.options({
			authority: {type: 'string', demandOption: true, describe: 'folder with authority.pem and authority-key.pem'},
			folder: {type: 'string', demandOption: true, describe: 'folder to write authority.pem, certificate.pem and private-key.pem to'},
			role: {
				type: 'string', array: true, choices: roleNames, demandOption: true, describe: 'roles that the certificate is valid for',
			},
			ip: {
				type: 'string', array: true, default: [], describe: 'IP addresses at which the VM accepts connections',
			},
			days: {type: 'number', describe: 'days until the certificate expires'},
		}),
	handler: async options => run(options as unknown as CertificateArguments),
};

async function run(options: CertificateArguments): Promise<void> {
	const result = await createKeyFiles(options);
	if (!result.ok) {
		process.stderr.write(`rattanspring: ${result.failure.type}: ${result.failure.message}\n`);
		process.exitCode = exitCodes.failed;
		return;
	}

	const {folder, json} = options;
	process.stdout.write(json ? `${JSON.stringify({folder})}\n` : `Wrote authority.pem, certificate.pem and private-key.pem to ${folder}.\n`);
}

async function createKeyFiles(options: CertificateArguments): Promise<Result<void, KeyFileFailure>> {
	const authority = await readAuthority(options.authority);
	if (!authority.ok) {
		return authority;
	}

	const pair = await createCertificate({
		authority: authority.value, name: options.name, roles: options.role, ipAddresses: options.ip, validFrom: new Date(), validDays: options.days,
	});
	return writeKeyFiles(options.folder, [
		{name: 'authority.pem', content: authority.value.certificatePem, isSecret: false},
		{name: 'certificate.pem', content: pair.certificatePem, isSecret: false},
		{name: 'private-key.pem', content: pair.privateKeyPem, isSecret: true},
	]);
}

async function readAuthority(folder: string): Promise<Result<CertificatePair, KeyFileFailure>> {
	try {
		const [certificatePem, privateKeyPem] = await Promise.all(['authority.pem', 'authority-key.pem'].map(async name => readFile(path.join(folder, name), 'utf8')));
		return ok({certificatePem, privateKeyPem});
	} catch (error) {
		return err({type: 'keyFileUnreadable', message: `Cannot read the authority files: ${String(error)}`, file: folder});
	}
}

/** Connects the command line to the control voters. */

import process from 'node:process';
import {
	type ControlAccess, GrpcControlAccess, type GrpcControlAccessOptions, VoterAccess,
} from '@rattanspring/control-client';
import type {KeyMaterial} from '@rattanspring/protocol';

/** Options common to all commands. */
export const connectionOptions = {
	control: {
		type: 'string', array: true, default: (process.env.RATTANSPRING_CONTROL ?? '127.0.0.1:7101').split(','), describe: 'addresses of control voters (or RATTANSPRING_CONTROL, comma-separated)',
	},
	'key-folder': {type: 'string', default: process.env.RATTANSPRING_KEYS, describe: 'folder with authority.pem, certificate.pem and private-key.pem (or RATTANSPRING_KEYS); connects in plaintext if not set'},
	json: {type: 'boolean', default: false, describe: 'print machine-readable JSON'},
} as const;

/** Parsed values of the common options. */
export type ConnectionArguments = {readonly control: readonly string[]; readonly keyFolder?: string; readonly json: boolean};

export const exitCodes = {
	failed: 1, usage: 2, conflict: 3, rejected: 4, unreachable: 5, forbidden: 6, notInForce: 7,
} as const;

/** Connects to the control voters. The operator's secret is read from RATTANSPRING_OPERATOR_KEY, so that it does not appear in process listings. */
export function connect(options: ConnectionArguments): ControlAccess {
	return new GrpcControlAccess(accessOptions(options));
}

/** Connects to the voters to list or change the members of the control group. */
export function connectVoters(options: ConnectionArguments): VoterAccess {
	return new VoterAccess(accessOptions(options));
}

function accessOptions(options: ConnectionArguments): GrpcControlAccessOptions {
	return {
		addresses: options.control,
		keys: keyMaterialFrom(options),
		operatorSecret: process.env.RATTANSPRING_OPERATOR_KEY,
	};
}

/** The certificate files to connect with; undefined for plaintext connections. */
export function keyMaterialFrom({keyFolder: folder}: ConnectionArguments): KeyMaterial | undefined {
	return folder === undefined
		? undefined
		: {
			authorityFile: `${folder}/authority.pem`,
			certificateFile: `${folder}/certificate.pem`,
			privateKeyFile: `${folder}/private-key.pem`,
		};
}

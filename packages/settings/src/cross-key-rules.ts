/**
Validation rules that span several keys and that the schema cannot express.
*/

import type {SettingsFailure} from '@rattanspring/types';
import {invalidSetting} from './invalid.js';
import type {DaemonSettings, ListenSettings} from './schema.js';

/** Returns a failure for each violated rule. */
export function checkCrossKeyRules(file: string, settings: DaemonSettings): SettingsFailure[] {
	return [
		...checkRoles(file, settings),
		...checkPorts(file, settings),
		...checkPlaintext(file, settings),
		...checkControl(file, settings),
	];
}

type KeyedListen = {readonly key: string; readonly listen: ListenSettings};

function listenAddresses(settings: DaemonSettings): KeyedListen[] {
	const found: KeyedListen[] = [{key: 'admin.listen', listen: settings.admin.listen}];
	for (const [role, roleSettings] of Object.entries(settings.roles)) {
		if (roleSettings) {
			found.push({key: `roles.${role}.listen`, listen: roleSettings.listen});
		}
	}

	return found;
}

function checkRoles(file: string, settings: DaemonSettings): SettingsFailure[] {
	const hasRole = Object.values(settings.roles).some(role => role !== undefined);
	return hasRole ? [] : [invalidSetting(file, 'roles', 'at least one of control, relay, entry, agent')];
}

function checkPorts(file: string, settings: DaemonSettings): SettingsFailure[] {
	const failures: SettingsFailure[] = [];
	const usedBy = new Map<number, string>();
	for (const {key, listen} of listenAddresses(settings)) {
		const other = usedBy.get(listen.port);
		if (other) {
			failures.push(invalidSetting(file, `${key}.port`, `a port of its own; ${listen.port} is used by ${other}`));
		}

		usedBy.set(listen.port, key);
	}

	return failures;
}

function checkPlaintext(file: string, settings: DaemonSettings): SettingsFailure[] {
	const failures: SettingsFailure[] = [];
	if (settings.transport.mode === 'plaintext') {
		for (const {key, listen} of listenAddresses(settings)) {
			const isProcessPort = key !== 'admin.listen' && key !== 'roles.entry.listen';
			if (isProcessPort && !isLoopback(listen.host)) {
				failures.push(invalidSetting(file, `${key}.host`, 'a loopback address while transport.mode is "plaintext"'));
			}
		}
	}

	const {entry} = settings.roles;
	if (entry?.transport.mode === 'plaintext' && !isLoopback(entry.listen.host)) {
		failures.push(invalidSetting(file, 'roles.entry.listen.host', 'a loopback address while roles.entry.transport.mode is "plaintext"'));
	}

	return failures;
}

function checkControl(file: string, settings: DaemonSettings): SettingsFailure[] {
	const {control} = settings.roles;
	if (!control) {
		return [];
	}

	const failures: SettingsFailure[] = [];
	if (!settings.dataFolder) {
		failures.push(invalidSetting(file, 'dataFolder', 'a folder, since the control role keeps state'));
	}

	if (control.start === 'newGroup' && !control.initialVoters.some(voter => voter.voterId === control.voterId)) {
		failures.push(invalidSetting(file, 'roles.control.initialVoters', `a list with this voter, "${control.voterId}", in it`));
	}

	return failures;
}

function isLoopback(host: string): boolean {
	return host === '::1' || host.startsWith('127.');
}

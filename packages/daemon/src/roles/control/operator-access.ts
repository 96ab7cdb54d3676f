/**
Authorizes commands and reads. While the configuration holds no operator key, anyone who can reach the port has full
access, so that the first key can be added. Daemons have no operator key; they are authenticated by the transport.
*/

import type {FleetCommand} from '@rattanspring/fleet-state';
import {
	err, ok, type ConfigurationChange, type ConfigurationEdit, type FleetConfiguration, type OperatorKey, type Result,
} from '@rattanspring/types';
import {findValidKey} from '../../secret-keys.js';

export type AccessFailure = {readonly type: 'forbidden'; readonly message: string};

/** Ledger commands submitted by operators; all others are submitted by daemons. */
const operatorLedgerCommands = new Set<string>(['settle']);

/** Subjects that daemons may read without an operator key. */
const daemonReadableSubjects = new Set<string>(['leases', 'requests', 'groups', 'targets', 'suspects']);

/** Authorizes a command and sets its operator to the key's operator, so that no one can act under another operator's name. */
export function authorizeCommand(configuration: FleetConfiguration, command: FleetCommand, secret: string, nowMs: number): Result<FleetCommand, AccessFailure> {
	if (configuration.operatorKeys.length === 0 || !isOperatorCommand(command)) {
		return ok(command);
	}

	const key = findValidKey(configuration.operatorKeys, secret, nowMs);
	if (key?.access !== 'readWrite') {
		return err(refusal(key));
	}

	return ok(commandWithOperator(command, key.operator));
}

function commandWithOperator(command: FleetCommand, operator: string): FleetCommand {
	if (command.kind === 'change') {
		return {...command, change: changeWithOperator(command.change, operator)};
	}

	if (command.kind === 'ledger' && command.command.kind === 'settle') {
		const {settlement} = command.command;
		return {...command, command: {...command.command, settlement: {...settlement, operator}}};
	}

	return command;
}

/** Whether the client's certificate allows a command: daemon commands require a daemon role. Plain-text connections have no roles and are not restricted. */
export function isCommandAllowedByCertificate(command: FleetCommand, roles: readonly string[] | undefined): boolean {
	return roles === undefined || isOperatorCommand(command) || roles.some(role => role !== 'operator');
}

/** Authorizes a read. */
export function authorizeRead(configuration: FleetConfiguration, subject: string, secret: string, nowMs: number): Result<true, AccessFailure> {
	const isOpen = configuration.operatorKeys.length === 0 || (secret === '' && daemonReadableSubjects.has(subject));
	return isOpen || findValidKey(configuration.operatorKeys, secret, nowMs) ? ok(true) : err(refusal(undefined));
}

/** Authorizes a change of the voters. */
export function authorizeVoterChange(configuration: FleetConfiguration, secret: string, nowMs: number): Result<true, AccessFailure> {
	const key = findValidKey(configuration.operatorKeys, secret, nowMs);
	return configuration.operatorKeys.length === 0 || key?.access === 'readWrite' ? ok(true) : err(refusal(key));
}

function isOperatorCommand(command: FleetCommand): boolean {
	const isSuspectRelease = command.kind === 'suspects' && command.command.kind === 'release';
	return command.kind === 'change' || isSuspectRelease || (command.kind === 'ledger' && operatorLedgerCommands.has(command.command.kind));
}

function refusal(key: OperatorKey | undefined): AccessFailure {
	const message = key
		? `The operator key "${key.keyId}" is read-only.`
		: 'No valid operator key was provided; set RATTANSPRING_OPERATOR_KEY to the secret of a valid key.';
	return {type: 'forbidden', message};
}

function changeWithOperator(change: ConfigurationChange, operator: string): ConfigurationChange {
	return {...change, operator, edits: change.edits.map(edit => editWithOperator(edit, operator))};
}

function editWithOperator(edit: ConfigurationEdit, operator: string): ConfigurationEdit {
	return edit.kind === 'addException' ? {...edit, exception: {...edit.exception, operator}} : edit;
}

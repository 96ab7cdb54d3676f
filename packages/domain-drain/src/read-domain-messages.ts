/** Reads registers and orders from messages of other daemons. What they return is complete, bounded and consistent. */

import {FailureError} from '@rattanspring/types';
import type {DomainOrder, DomainRegister, DomainState} from './domain-register.js';

/** Failure domains of one register. A fleet has a few. */
export const maxDomains = 1024;

/** Characters in the name of a failure domain. */
export const maxDomainNameLength = 256;

/** A message that is no register or no order; its sender is another version of the program, or faulty. */
export type DomainMessageFailure = {
	readonly type: 'domainRegisterMalformed' | 'domainOrderMalformed';
	readonly message: string;
};

/** Throws a `FailureError` if the value is not a register. */
export function readDomainRegister(value: unknown): DomainRegister {
	const {revision, domains} = (value ?? {}) as Partial<Record<keyof DomainRegister, unknown>>;
	if (!isRevision(revision) || !Array.isArray(domains) || domains.length > maxDomains) {
		throw malformed('domainRegisterMalformed', 'The message has no register of failure domains.');
	}

	const states = domains.map(state => readState(state, revision));
	if (new Set(states.map(({domain}) => domain)).size < states.length) {
		throw malformed('domainRegisterMalformed', 'The register names a failure domain twice.');
	}

	return {revision, domains: states};
}

/** Throws a `FailureError` if the value is not an order. */
export function readDomainOrder(value: unknown): DomainOrder {
	const {domain, isDrained, baseRevision} = (value ?? {}) as Partial<Record<keyof DomainOrder, unknown>>;
	if (!isName(domain) || typeof isDrained !== 'boolean' || !isRevision(baseRevision)) {
		throw malformed('domainOrderMalformed', 'The message has no order about a failure domain.');
	}

	return {domain, isDrained, baseRevision};
}

function readState(value: unknown, registerRevision: number): DomainState {
	const {domain, isDrained, revision} = (value ?? {}) as Partial<Record<keyof DomainState, unknown>>;
	if (!isName(domain) || typeof isDrained !== 'boolean' || !isRevision(revision) || revision > registerRevision) {
		throw malformed('domainRegisterMalformed', 'The register has a malformed failure domain.');
	}

	return {domain, isDrained, revision};
}

function isName(value: unknown): value is string {
	return typeof value === 'string' && value.length > 0 && value.length <= maxDomainNameLength;
}

function isRevision(value: unknown): value is number {
	return Number.isSafeInteger(value) && (value as number) >= 0;
}

function malformed(type: DomainMessageFailure['type'], message: string): FailureError<DomainMessageFailure> {
	return new FailureError<DomainMessageFailure>({type, message});
}

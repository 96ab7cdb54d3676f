/**
Excludes the targets in drained failure domains at one entry. The load that it answers: a large part of the targets is taken away at a peak. The entry
applies the register with the highest revision that it has received, so that messages may arrive late, repeatedly and in any order.
*/

import {type ExclusionReason, TargetExclusion} from '@rattanspring/placement';
import type {TargetReport} from '@rattanspring/target-table';
import {
	type DomainRegister, type DomainState, emptyRegister, isNewerRegister, switchedDomains,
} from './domain-register.js';

export class DrainedDomains extends TargetExclusion {
	#register = emptyRegister;
	#drained: ReadonlySet<string> = new Set();

	/** Revision of the register in force. */
	get revision(): number {
		return this.#register.revision;
	}

	/** Number of drained domains. */
	get drainedCount(): number {
		return this.#drained.size;
	}

	/** Domains in use that were restored since the given revision, also if it was not known here that they were drained. */
	restoredSince(revision: number): DomainState[] {
		return this.#register.domains.filter(state => !state.isDrained && state.revision > revision);
	}

	/** Puts a register in force if it is newer; returns the domains whose state it switches. */
	apply(register: DomainRegister): DomainState[] {
		if (!isNewerRegister(register, this.#register)) {
			return [];
		}

		const switched = switchedDomains(this.#register, register);
		this.#register = register;
		this.#drained = new Set(register.domains.filter(({isDrained}) => isDrained).map(({domain}) => domain));
		return switched;
	}

	reasonAgainst({failureDomain}: TargetReport): ExclusionReason | undefined {
		return this.#drained.has(failureDomain) ? 'domainDrained' : undefined;
	}
}

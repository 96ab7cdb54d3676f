/**
Spreads the register of drained failure domains from one control process. Each follower gets each revision at most once: entries as soon as this process knows it, control processes
once the local member of the group has applied it. What another control process has sent goes to entries only, never to a third control process.
*/

import {type DomainRegister, isNewerRegister} from '@rattanspring/domain-drain';
import type {DownMessage, NodeRole, Receivers} from '@rattanspring/fleet-link';
import type {Logger} from '@rattanspring/logger';

/** Options of the announcements. */
export type DomainAnnouncementsOptions = {
	readonly broadcast: (message: DownMessage, receivers: Receivers) => void;
	readonly logger: Logger;
};

export class DomainAnnouncements {
	readonly #options: DomainAnnouncementsOptions;
	#newest: DomainRegister | undefined;
	#isConfirmed = false;
	#revisionAtControls = -1;

	constructor(options: DomainAnnouncementsOptions) {
		this.#options = options;
	}

	/** Announces the register of the local member, which a quorum has confirmed. The first one goes to all, since it tells them that this process is up to date. */
	applied(register: DomainRegister): void {
		const isNewer = isNewerRegister(register, this.#newest);
		const newest = isNewer ? this.#setNewest(register, 'applied') : this.#newest!;
		const isForEntries = isNewer || !this.#isConfirmed;
		const isForControls = newest.revision > this.#revisionAtControls;
		this.#isConfirmed = true;
		this.#revisionAtControls = newest.revision;
		this.#broadcast(newest, [...(isForEntries ? ['entry'] as const : []), ...(isForControls ? ['control'] as const : [])]);
	}

	/** Passes on a register that another control process has sent. */
	received(register: DomainRegister): void {
		if (isNewerRegister(register, this.#newest)) {
			this.#broadcast(this.#setNewest(register, 'received'), ['entry']);
		}
	}

	/** For an entry or a control process that has just connected; none until a quorum has confirmed the local register. */
	get messages(): DownMessage[] {
		return this.#isConfirmed && this.#newest ? [{type: 'domains', register: this.#newest}] : [];
	}

	#setNewest(register: DomainRegister, source: string): DomainRegister {
		this.#newest = register;
		const drained = register.domains.filter(({isDrained}) => isDrained).map(({domain}) => domain);
		this.#options.logger.log('info', 'domainRegister', {revision: register.revision, drained: drained.join(','), source});
		return register;
	}

	#broadcast(register: DomainRegister, roles: readonly NodeRole[]): void {
		if (roles.length > 0) {
			this.#options.broadcast({type: 'domains', register}, {roles});
		}
	}
}

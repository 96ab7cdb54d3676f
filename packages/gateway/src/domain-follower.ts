/**
What one entry knows about drained failure domains: it puts the newest register that it receives in force, and tells when it knows enough to serve.

An entry serves only once a control process that holds the document has sent its register, so that an entry that has restarted knows what is drained before it sends anything. Control
processes send the register before the version of the document. One of an older build sends a version without a register; the entry then waits for a register for a
limited time, and goes on with what it has, so that it is not kept from serving while the fleet changes its build.
*/

import {type DomainRegister, DrainedDomains} from '@rattanspring/domain-drain';
import type {Logger} from '@rattanspring/logger';
import type {DaemonMetrics} from '@rattanspring/metrics';

/** Time within which a control process of the current build is expected to answer beside one of an older build. */
const defaultRegisterWaitMs = 1000;

/** Options of the follower. */
export type DomainFollowerOptions = {
	readonly logger: Logger;
	readonly metrics: Pick<DaemonMetrics, 'domainsDrained' | 'domainRegisterRevision'>;
	/** Called when domains were drained or restored, with those that were restored, also if this entry has missed that they were drained. */
	readonly onSwitched: (restored: ReadonlySet<string>) => void;
	/** Called once, when the register is known. */
	readonly onKnown: () => void;
	readonly registerWaitMs?: number;
};

export class DomainFollower {
	readonly drained = new DrainedDomains();
	readonly #options: DomainFollowerOptions;
	/** Control processes that have sent a register on their present streams. */
	readonly #sources = new Set<string>();
	#waitTimer: NodeJS.Timeout | undefined;
	#isKnown = false;
	#hasRegister = false;

	constructor(options: DomainFollowerOptions) {
		this.#options = options;
	}

	/** Whether this entry may serve as far as drained domains are concerned; it stays so when it loses its control processes. */
	get isKnown(): boolean {
		return this.#isKnown;
	}

	/** Puts a register in force if it is newer. */
	receive(register: DomainRegister, address: string): void {
		const {logger, metrics, onSwitched} = this.#options;
		const {revision: knownRevision} = this.drained;
		const isFirst = !this.#hasRegister;
		this.#hasRegister = true;
		this.#sources.add(address);
		const switched = this.drained.apply(register);
		metrics.domainsDrained.set(this.drained.drainedCount);
		metrics.domainRegisterRevision.set(this.drained.revision);
		for (const {domain, isDrained, revision} of switched) {
			logger.log('info', isDrained ? 'domainDrained' : 'domainRestored', {failureDomain: domain, revision, source: address});
		}

		const restored = isFirst ? [] : this.drained.restoredSince(knownRevision);
		if (switched.length + restored.length > 0) {
			onSwitched(new Set(restored.map(({domain}) => domain)));
		}
	}

	/** Records that a control process holds the document. */
	recordDocument(address: string): void {
		if (this.#isKnown) {
			return;
		}

		if (this.#sources.has(address)) {
			this.#setKnown();
			return;
		}

		this.#waitTimer ??= setTimeout(() => {
			this.#options.logger.log('warn', 'domainRegisterMissing', {source: address, revision: this.drained.revision});
			this.#setKnown();
		}, this.#options.registerWaitMs ?? defaultRegisterWaitMs);
	}

	/** Forgets that a control process has sent a register: it may return with an older build. */
	dropConnection(address: string): void {
		this.#sources.delete(address);
	}

	close(): void {
		clearTimeout(this.#waitTimer);
	}

	#setKnown(): void {
		clearTimeout(this.#waitTimer);
		this.#isKnown = true;
		this.#options.onKnown();
	}
}

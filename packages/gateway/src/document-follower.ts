/** Keeps the newest desired-state document. Fetches it when a control process announces its version, and never returns to an older one. */

import {
	type DesiredState, type DocumentCodec, RouteTable,
} from '@rattanspring/desired-state';
import {LinkCalls, linkService} from '@rattanspring/fleet-link';
import type {Logger} from '@rattanspring/logger';

const fetchTimeoutMs = 600;
const fetchRetryDelayMs = 50;

/** Options of the follower. */
export type DocumentFollowerOptions = {
	readonly codec: DocumentCodec;
	readonly logger: Logger;
	/** Addresses of control processes, nearest first. */
	readonly sources: () => readonly string[];
	readonly onState: (state: DesiredState) => void;
	/** Called when a control process announces a version that is higher than all announced before. */
	readonly onNewestVersion?: (version: number) => void;
};

export class DocumentFollower {
	readonly #options: DocumentFollowerOptions;
	readonly #calls = new LinkCalls();
	readonly #announcedVersions = new Map<string, number>();
	#table: RouteTable | undefined;
	#newestVersion = -1;
	#isFetching = false;
	#isClosed = false;

	constructor(options: DocumentFollowerOptions) {
		this.#options = options;
	}

	/** Routes of the document in force; undefined before the first one. */
	get table(): RouteTable | undefined {
		return this.#table;
	}

	/** Version of the document in force; -1 before the first one. */
	get version(): number {
		return this.#table?.state.version ?? -1;
	}

	/** The highest version announced so far; -1 before the first one. */
	get newestVersion(): number {
		return this.#newestVersion;
	}

	/** Records the version that a control process has, and fetches it if it is newer. */
	recordVersion(address: string, version: number): void {
		this.#announcedVersions.set(address, version);
		if (version > this.#newestVersion) {
			this.#newestVersion = version;
			this.#options.onNewestVersion?.(version);
		}

		if (version > this.version && !this.#isFetching) {
			this.#isFetching = true;
			void this.#fetch();
		}
	}

	close(): void {
		this.#isClosed = true;
		this.#calls.close();
	}

	async #fetch(): Promise<void> {
		while (!this.#isClosed) {
			const newest = Math.max(-1, ...this.#announcedVersions.values());
			if (newest <= this.version) {
				break;
			}

			const holders = this.#options.sources().filter(address => (this.#announcedVersions.get(address) ?? -1) > this.version);
			const [source] = holders.length > 0 ? holders : [...this.#announcedVersions].filter(([, version]) => version > this.version).map(([address]) => address);
			const startedAtMs = performance.now();
			const reply = await this.#calls.call(source, linkService.document, {heldVersion: this.version}, fetchTimeoutMs);
			const tookMs = Math.round(performance.now() - startedAtMs);
			if (reply?.text === undefined || !this.#apply(reply.text, source, tookMs)) {
				this.#options.logger.log('warn', 'documentFetchFailed', {
					source, heldVersion: this.version, newestVersion: this.#newestVersion, reason: reply ? 'notServed' : 'noReply', tookMs,
				});
				this.#announcedVersions.delete(source);
				await new Promise(resolve => {
					setTimeout(resolve, fetchRetryDelayMs);
				});
			}
		}

		this.#isFetching = false;
	}

	#apply(text: string, source: string, tookMs: number): boolean {
		const decoded = this.#options.codec.decode(text);
		if (!decoded.ok) {
			this.#options.logger.log('error', 'documentUnreadable', {source, message: decoded.failure.message});
			return false;
		}

		if (decoded.value.version > this.version) {
			this.#table = new RouteTable(decoded.value);
			this.#options.logger.log('info', 'documentInForce', {
				version: this.version, source, routes: decoded.value.routes.length, characters: text.length, tookMs,
			});
			this.#options.onState(decoded.value);
		}

		return true;
	}
}

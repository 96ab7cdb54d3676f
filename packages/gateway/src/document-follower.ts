/**
Keeps the newest desired-state document. Fetches it when a control process announces a newer version, and goes on until it has
one, however often a control process does not answer. Never returns to an older version.
*/

import {
	type DesiredState, type DocumentCodec, RouteTable,
} from '@rattanspring/desired-state';
import {
	DocumentReceiver, type DocumentReply, LinkCalls, linkService,
} from '@rattanspring/fleet-link';
import type {Logger} from '@rattanspring/logger';

/** Time limit of a part of the document, doubled after each failure in a row: many daemons may share the source's link. */
const partTimeoutMs = 800;
const maxPartTimeoutMs = 3200;

/** Pause after a failure, doubled after each further one. A random part of the same length is added, since all daemons fail at the same time. */
const retryPauseMs = 50;
const maxRetryPauseMs = 800;

/** Options of the follower. */
export type DocumentFollowerOptions = {
	readonly codec: DocumentCodec;
	readonly logger: Logger;
	/** Addresses of control processes, nearest first. */
	readonly sources: () => readonly string[];
	readonly onState: (state: DesiredState) => void;
	/** Called when a control process announces a version that is higher than all announced before. */
	readonly onNewestVersion?: (version: number) => void;
	/** Random numbers in [0, 1). */
	readonly random?: () => number;
};

/** Follows the document of the control group. */
export class DocumentFollower {
	readonly #options: DocumentFollowerOptions;
	readonly #calls = new LinkCalls();
	readonly #receiver = new DocumentReceiver();
	/** Newest version known of each control process. */
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

	/** Fetches part after part until no control process is known to hold a newer document. */
	async #fetch(): Promise<void> {
		let failures = 0;
		let startedAtMs = performance.now();
		while (!this.#isClosed) {
			const sources = this.#newerSources();
			if (sources.length === 0) {
				break;
			}

			const source = sources[failures % sources.length];
			const request = this.#receiver.request(this.version);
			const announced = this.#announcedVersions.get(source);
			const reply = await this.#calls.call(source, linkService.document, request, Math.min(maxPartTimeoutMs, partTimeoutMs * (2 ** failures)));
			if (reply && this.#announcedVersions.get(source) === announced) {
				this.#announcedVersions.set(source, reply.version);
			}

			const result = reply && this.#onReply(source, reply, startedAtMs);
			if (result === 'progress') {
				failures = 0;
			} else if (result === 'inForce') {
				failures = 0;
				startedAtMs = performance.now();
			} else {
				this.#logFailure(source, result ?? 'noReply', startedAtMs);
				await this.#pause(failures);
				failures++;
			}
		}

		this.#isFetching = false;
	}

	/** Addresses of the control processes that hold a newer document: connected ones first, the nearest of them first. */
	#newerSources(): string[] {
		const newer = [...this.#announcedVersions].filter(([, version]) => version > this.version).map(([address]) => address);
		const connected = this.#options.sources().filter(address => newer.includes(address));
		return [...new Set([...connected, ...newer])];
	}

	#onReply(source: string, reply: DocumentReply, startedAtMs: number): 'progress' | 'inForce' | 'notServed' | 'damaged' | 'unreadable' {
		if (!reply.part) {
			return 'notServed';
		}

		const received = this.#receiver.receive(reply);
		if (received.kind !== 'whole') {
			return received.kind === 'partial' ? 'progress' : 'damaged';
		}

		return this.#apply(received.text, source, startedAtMs) ? 'inForce' : 'unreadable';
	}

	#apply(text: string, source: string, startedAtMs: number): boolean {
		const {codec, logger, onState} = this.#options;
		const decoded = codec.decode(text);
		if (!decoded.ok) {
			logger.log('error', 'documentUnreadable', {source, message: decoded.failure.message});
			return false;
		}

		if (decoded.value.version > this.version) {
			this.#table = new RouteTable(decoded.value);
			logger.log('info', 'documentInForce', {
				version: this.version, source, routes: decoded.value.routes.length, characters: text.length, tookMs: elapsedMs(startedAtMs),
			});
			onState(decoded.value);
		}

		return true;
	}

	#logFailure(source: string, reason: string, startedAtMs: number): void {
		this.#options.logger.log('warn', 'documentFetchFailed', {
			source, heldVersion: this.version, newestVersion: this.#newestVersion, reason, tookMs: elapsedMs(startedAtMs),
		});
	}

	async #pause(failures: number): Promise<void> {
		const random = this.#options.random ?? Math.random;
		const pauseMs = Math.min(maxRetryPauseMs, retryPauseMs * (2 ** failures));
		await new Promise(resolve => {
			setTimeout(resolve, pauseMs * (1 + random()));
		});
	}
}

function elapsedMs(startedAtMs: number): number {
	return Math.round(performance.now() - startedAtMs);
}

/**
Keeps the newest desired-state document. Fetches it when a control process announces a newer version, and goes on until it has
one, however often a control process does not answer. A source that has failed is waited for only until another one announces a newer
version, or the stream to the source is lost. Never returns to an older version.
*/

import {
	type DesiredState, type DocumentCodec, RouteTable,
} from '@rattanspring/desired-state';
import {
	DocumentReceiver, type DocumentReply, LinkCalls, linkService,
} from '@rattanspring/fleet-link';
import {describeError, type Logger} from '@rattanspring/logger';
import {interrupted, InterruptibleWait} from './interruptible-wait.js';

/** Time limit of a part of the document, doubled after each failure in a row at a source: many daemons may share its link. */
const partTimeoutMs = 800;
const maxPartTimeoutMs = 1600;

/** Pause before a source that has failed is asked again, doubled with each further failure. A random part of the same length is added, since all daemons fail at the same time. */
const retryPauseMs = 50;
const maxRetryPauseMs = 400;

/** What came of a request for a part. */
type PartResult = 'progress' | 'inForce' | 'noReply' | 'notServed' | 'damaged' | 'unreadable' | 'notNewer' | 'notProcessed' | 'interrupted';

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
	/** Failures in a row of each source that has failed since it last served a part or was heard of. */
	readonly #failures = new Map<string, number>();
	/** Sources whose stream was lost since they were last heard of. */
	readonly #lostSources = new Set<string>();
	#table: RouteTable | undefined;
	#newestVersion = -1;
	#isFetching = false;
	readonly #wait = new InterruptibleWait();
	/** The source that is asked now. */
	#fetchingFrom: string | undefined;
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
		const isBetterSource = this.#hasFailed(this.#fetchingFrom) && (address !== this.#fetchingFrom || this.#lostSources.has(address));
		this.#announcedVersions.set(address, version);
		this.#failures.delete(address);
		this.#lostSources.delete(address);
		if (version > this.#newestVersion) {
			this.#newestVersion = version;
			this.#options.logger.log('info', 'versionAnnounced', {
				version, source: address, heldVersion: this.version, fetchingFrom: this.#fetchingFrom,
			});
			this.#options.onNewestVersion?.(version);
		}

		if (version <= this.version) {
			return;
		}

		if (!this.#isFetching) {
			this.#isFetching = true;
			void this.#fetch();
		} else if (isBetterSource) {
			this.#wait.interrupt();
		}
	}

	/** Drops the connection to a control process whose stream was lost, since it may be dead without a sign. */
	dropConnection(address: string): void {
		this.#calls.discard(address);
		this.#lostSources.add(address);
		if (address === this.#fetchingFrom) {
			this.#noteFailure(address);
			this.#wait.interrupt();
		}
	}

	close(): void {
		this.#isClosed = true;
		this.#wait.interrupt();
		this.#calls.close();
	}

	/** Fetches part after part until no control process is known to hold a newer document. */
	async #fetch(): Promise<void> {
		let startedAtMs = performance.now();
		while (!this.#isClosed) {
			const source = this.#chooseSource();
			if (source === undefined) {
				break;
			}

			this.#fetchingFrom = source;
			const result = await this.#ask(source, startedAtMs);
			if (result === 'progress' || result === 'inForce') {
				this.#failures.delete(source);
				startedAtMs = result === 'inForce' ? performance.now() : startedAtMs;
			} else {
				this.#logFailure(source, result, startedAtMs);
			}
		}

		this.#isFetching = false;
		this.#fetchingFrom = undefined;
	}

	/** Requests a part from a source; after failures there, only after a pause. */
	async #ask(source: string, startedAtMs: number): Promise<PartResult> {
		if (this.#hasFailed(source) && await this.#wait.for(this.#pause(source)) === interrupted) {
			return 'interrupted';
		}

		const announced = this.#announcedVersions.get(source);
		const timeoutMs = Math.min(maxPartTimeoutMs, partTimeoutMs * (2 ** this.#failuresOf(source)));
		const reply = await this.#wait.for(this.#calls.call(source, linkService.document, this.#receiver.request(this.version), timeoutMs));
		if (reply === interrupted) {
			// The abandoned call would end its connection later, and with it the calls of that time.
			this.#calls.discard(source);
			return 'interrupted';
		}

		if (reply && this.#announcedVersions.get(source) === announced) {
			this.#announcedVersions.set(source, reply.version);
		}

		const result = reply ? this.#process(source, reply, startedAtMs) : 'noReply';
		if (result !== 'progress' && result !== 'inForce') {
			this.#noteFailure(source);
		}

		return result;
	}

	#noteFailure(source: string): void {
		this.#failures.set(source, this.#failuresOf(source) + 1);
	}

	#hasFailed(source: string | undefined): boolean {
		return source !== undefined && this.#failures.has(source);
	}

	#failuresOf(source: string): number {
		return this.#failures.get(source) ?? 0;
	}

	/** The source that has failed least; among equal ones a connected one, and the nearest of these. */
	#chooseSource(): string | undefined {
		const [source] = this.#newerSources().toSorted((left, right) => this.#failuresOf(left) - this.#failuresOf(right));
		return source;
	}

	/** Addresses of the control processes that hold a newer document: connected ones first, the nearest of them first. */
	#newerSources(): string[] {
		const newer = [...this.#announcedVersions].filter(([, version]) => version > this.version).map(([address]) => address);
		const connected = this.#options.sources().filter(address => newer.includes(address));
		return [...new Set([...connected, ...newer])];
	}

	/** An error in what follows from a document must not end the following of later ones. */
	#process(source: string, reply: DocumentReply, startedAtMs: number): PartResult {
		try {
			return this.#onReply(source, reply, startedAtMs);
		} catch (error) {
			this.#options.logger.log('error', 'documentNotProcessed', {source, version: this.version, ...describeError(error)});
			return 'notProcessed';
		}
	}

	#onReply(source: string, reply: DocumentReply, startedAtMs: number): PartResult {
		if (!reply.part) {
			return 'notServed';
		}

		const received = this.#receiver.receive(reply);
		if (received.kind !== 'whole') {
			return received.kind === 'partial' ? 'progress' : 'damaged';
		}

		return this.#apply(received.text, source, startedAtMs);
	}

	#apply(text: string, source: string, startedAtMs: number): PartResult {
		const {codec, logger, onState} = this.#options;
		const decoded = codec.decode(text);
		if (!decoded.ok) {
			logger.log('error', 'documentUnreadable', {source, message: decoded.failure.message});
			return 'unreadable';
		}

		if (decoded.value.version <= this.version) {
			return 'notNewer';
		}

		this.#table = new RouteTable(decoded.value);
		logger.log('info', 'documentInForce', {
			version: this.version, source, routes: decoded.value.routes.length, characters: text.length, tookMs: elapsedMs(startedAtMs),
		});
		onState(decoded.value);
		return 'inForce';
	}

	#logFailure(source: string, reason: string, startedAtMs: number): void {
		this.#options.logger.log('warn', 'documentFetchFailed', {
			source, heldVersion: this.version, newestVersion: this.#newestVersion, reason, tookMs: elapsedMs(startedAtMs),
		});
	}

	async #pause(source: string): Promise<void> {
		const random = this.#options.random ?? Math.random;
		const pauseMs = Math.min(maxRetryPauseMs, retryPauseMs * (2 ** (this.#failuresOf(source) - 1)));
		await new Promise(resolve => {
			setTimeout(resolve, pauseMs * (1 + random()));
		});
	}
}

function elapsedMs(startedAtMs: number): number {
	return Math.round(performance.now() - startedAtMs);
}

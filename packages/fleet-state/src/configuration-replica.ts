/**
A replica of the configuration that is updated from accepted changes and serves them to its own followers.

Its revision only increases. It buffers the most recent changes, so that a follower that is a few revisions behind
can be sent those instead of the full configuration.
*/

import type {AcceptedChange, FleetConfiguration, Revision} from '@rattanspring/types';
import {applyChange, emptyConfiguration} from './apply-change.js';

/** Changes buffered for followers: over two hours of changes at 11,000 a day. */
export const maxRecentChanges = 1000;

/**
The result of an update.
- `applied`: the revision has increased.
- `old`: the update contained nothing new.
- `gap`: changes are missing or one could not be applied; the full configuration is needed.
*/
export type ReplicaResult = 'applied' | 'old' | 'gap';

export class ConfigurationReplica {
	#configuration = emptyConfiguration;
	#recentChanges: AcceptedChange[] = [];

	/** The most recent configuration. */
	get configuration(): FleetConfiguration {
		return this.#configuration;
	}

	get revision(): Revision {
		return this.#configuration.revision;
	}

	/** Replaces the configuration if the given one is newer, and clears the buffered changes. */
	replace(configuration: FleetConfiguration): ReplicaResult {
		if (configuration.revision <= this.revision) {
			return 'old';
		}

		this.#configuration = configuration;
		this.#recentChanges = [];
		return 'applied';
	}

	/** Moves to a newer configuration; the change that led to it from the preceding revision, if known, is buffered. */
	advance(configuration: FleetConfiguration, accepted?: AcceptedChange): ReplicaResult {
		const isNext = accepted?.revision === configuration.revision && configuration.revision === this.revision + 1;
		if (!isNext) {
			return this.replace(configuration);
		}

		this.#configuration = configuration;
		this.#appendRecent(accepted);
		return 'applied';
	}

	/** Applies accepted changes in order; those already applied are skipped. */
	applyChanges(changes: readonly AcceptedChange[]): ReplicaResult {
		const before = this.revision;
		for (const accepted of changes) {
			if (accepted.revision > this.revision && !this.#applyNext(accepted)) {
				return 'gap';
			}
		}

		return this.revision > before ? 'applied' : 'old';
	}

	/** Returns the changes after a revision, or undefined if some of them are no longer buffered. */
	changesAfter(revision: Revision): readonly AcceptedChange[] | undefined {
		const missing = this.revision - revision;
		if (missing <= 0) {
			return [];
		}

		return missing <= this.#recentChanges.length ? this.#recentChanges.slice(-missing) : undefined;
	}

	#applyNext(accepted: AcceptedChange): boolean {
		if (accepted.revision !== this.revision + 1) {
			return false;
		}

		const applied = applyChange(this.#configuration, accepted.change);
		if (!applied.ok) {
			return false;
		}

		this.#configuration = applied.value;
		this.#appendRecent(accepted);
		return true;
	}

	#appendRecent(accepted: AcceptedChange): void {
		this.#recentChanges.push(accepted);
		if (this.#recentChanges.length > maxRecentChanges) {
			this.#recentChanges.shift();
		}
	}
}

/**
Catalogue of the configuration keys: type, initial value, valid range, permitted exception scopes and description of each.
*/

import type {ConfigurationValue, ExceptionScopeKind} from '@rattanspring/types';

/** Fields common to all keys. */
type CatalogueEntryBase = {
	/** Scopes at which an exception may override this key. */
	readonly scopes: readonly ExceptionScopeKind[];
	readonly meaning: string;
};

/** Definition of one key of the fleet configuration. */
export type CatalogueEntry = CatalogueEntryBase & (
	| {readonly kind: 'number'; readonly initial: number; readonly minimum: number; readonly maximum: number; readonly isInteger?: boolean}
	| {readonly kind: 'text'; readonly initial: string; readonly choices?: readonly string[]}
	| {readonly kind: 'flag'; readonly initial: boolean}
	| {readonly kind: 'list'; readonly initial: readonly string[]; readonly itemPattern: RegExp; readonly itemForm: string}
);

const groupScopes: readonly ExceptionScopeKind[] = ['group', 'service', 'failureDomain'];
const requestScopes: readonly ExceptionScopeKind[] = ['service', 'clientAccount', 'failureDomain'];
const targetScopes: readonly ExceptionScopeKind[] = ['target', 'group', 'service', 'failureDomain'];
const accountScopes: readonly ExceptionScopeKind[] = ['clientAccount'];
const serviceScopes: readonly ExceptionScopeKind[] = ['service'];

/** One hour in milliseconds: the upper bound of most time-valued keys. */
const hourMs = 3_600_000;

const expertLoadKeys: Readonly<Record<string, CatalogueEntry>> = {
	'expertLoad.rebalancing': {
		kind: 'flag', initial: true, scopes: groupScopes, meaning: 'Whether experts are moved and replicated; false keeps the current expert map.',
	},
	'expertLoad.skewWeight': {
		kind: 'number', initial: 1, minimum: 0, maximum: 1000, scopes: groupScopes, meaning: 'Weight of the step time saved by a new expert map, relative to expertLoad.costWeight.',
	},
	'expertLoad.costWeight': {
		kind: 'number', initial: 1, minimum: 0, maximum: 1000, scopes: groupScopes, meaning: 'Weight of the bytes loaded and steps disturbed by a new expert map.',
	},
	'expertLoad.spareSlots': {
		kind: 'number', initial: 32, minimum: 0, maximum: 4096, isInteger: true, scopes: groupScopes, meaning: 'Slots per layer for replicas of hot experts.',
	},
	'expertLoad.intervalMs': {
		kind: 'number', initial: 10_000, minimum: 1000, maximum: hourMs, scopes: groupScopes, meaning: 'Interval between evaluations of a group\'s expert load.',
	},
	'expertLoad.horizonMs': {
		kind: 'number', initial: 300_000, minimum: 1000, maximum: 24 * hourMs, scopes: groupScopes, meaning: 'Time within which the gain of a new expert map must exceed its cost.',
	},
	'expertLoad.minimumGainRatio': {
		kind: 'number', initial: 0.02, minimum: 0, maximum: 1, scopes: groupScopes, meaning: 'Minimum share of step time that a new expert map must save; smaller gains are treated as noise.',
	},
	'expertLoad.movesPerPlan': {
		kind: 'number', initial: 64, minimum: 0, maximum: 100_000, isInteger: true, scopes: groupScopes, meaning: 'Maximum number of experts loaded for one new expert map.',
	},
	'expertLoad.loadBytesPerSecond': {
		kind: 'number', initial: 1_000_000_000, minimum: 0, maximum: 1e12, scopes: groupScopes, meaning: 'Maximum bytes per second that a group loads from the weight store.',
	},
};

const routingKeys: Readonly<Record<string, CatalogueEntry>> = {
	'routing.sampleSize': {
		kind: 'number', initial: 4, minimum: 1, maximum: 64, isInteger: true, scopes: requestScopes, meaning: 'Number of targets compared for each request.',
	},
	'routing.subsetSize': {
		kind: 'number', initial: 24, minimum: 1, maximum: 1024, isInteger: true, scopes: requestScopes, meaning: 'Number of targets of a service that one entry sends requests to.',
	},
	'routing.cacheWeight': {
		kind: 'number', initial: 1, minimum: 0, maximum: 100, scopes: requestScopes, meaning: 'Weight of the prompt tokens saved by a cached prefix, relative to expected wait.',
	},
	'routing.skewWeight': {
		kind: 'number', initial: 1, minimum: 0, maximum: 100, scopes: requestScopes, meaning: 'Weight of the step-time skew of a target\'s group, relative to expected wait.',
	},
	'routing.reportMaxAgeMs': {
		kind: 'number', initial: 5000, minimum: 100, maximum: 60_000, scopes: requestScopes, meaning: 'Age beyond which a load report is ignored.',
	},
	'target.admitsWork': {
		kind: 'flag', initial: true, scopes: targetScopes, meaning: 'Whether new work is sent to the target; false drains it.',
	},
	'target.concurrentRequests': {
		kind: 'number', initial: 0, minimum: 0, maximum: 100_000, isInteger: true, scopes: targetScopes, meaning: 'Maximum number of requests in progress at one target; 0 uses the limit in the settings of its agent.',
	},
};

const requestKeys: Readonly<Record<string, CatalogueEntry>> = {
	'retry.budgetRatio': {
		kind: 'number', initial: 0.1, minimum: 0, maximum: 1, scopes: requestScopes, meaning: 'Retries allowed for each first attempt, per client account and service.',
	},
	'retry.budgetMinimumPerSecond': {
		kind: 'number', initial: 1, minimum: 0, maximum: 10_000, scopes: requestScopes, meaning: 'Minimum number of retries per second allowed, regardless of the number of first attempts.',
	},
	'retry.maximumAttempts': {
		kind: 'number', initial: 3, minimum: 1, maximum: 10, isInteger: true, scopes: requestScopes, meaning: 'Maximum number of attempts of one request, including the first.',
	},
	'account.concurrentRequests': {
		kind: 'number', initial: 256, minimum: 0, maximum: 100_000, isInteger: true, scopes: requestScopes, meaning: 'Maximum number of requests of a client account in progress at one entry.',
	},
	'account.queuedRequests': {
		kind: 'number', initial: 256, minimum: 0, maximum: 100_000, isInteger: true, scopes: requestScopes, meaning: 'Maximum number of requests of a client account queued at one agent.',
	},
	'account.tokensPerSecond': {
		kind: 'number', initial: 0, minimum: 0, maximum: 1e9, scopes: accountScopes, meaning: 'Maximum tokens per second of a client account at one entry; 0 means no limit.',
	},
	'account.fairShare': {
		kind: 'number', initial: 1, minimum: 0.01, maximum: 1000, scopes: requestScopes, meaning: 'Weight of a client account in fair queueing.',
	},
	'deadline.class': {
		kind: 'text', initial: 'default', choices: ['default', 'interactive', 'batch'], scopes: requestScopes, meaning: 'Deadline class of a request whose caller sets no deadline.',
	},
	'deadline.defaultMs': {
		kind: 'number', initial: 60_000, minimum: 100, maximum: hourMs, scopes: requestScopes, meaning: 'Time limit for the complete response in class "default".',
	},
	'deadline.interactiveMs': {
		kind: 'number', initial: 20_000, minimum: 100, maximum: hourMs, scopes: requestScopes, meaning: 'Time limit for the complete response in class "interactive".',
	},
	'deadline.batchMs': {
		kind: 'number', initial: 900_000, minimum: 100, maximum: hourMs, scopes: requestScopes, meaning: 'Time limit for the complete response in class "batch".',
	},
	'routes.idempotent': {
		kind: 'list', initial: [], itemPattern: /^[A-Z]+ \/\S*$/, itemForm: 'a method and a path, such as "GET /lookup/*"', scopes: serviceScopes, meaning: 'Routes of a service whose requests may be retried. All others are non-idempotent.',
	},
};

const freshnessKeys: Readonly<Record<string, CatalogueEntry>> = {
	'freshness.limitMs': {
		kind: 'number', initial: 10_000, minimum: 5000, maximum: hourMs, scopes: ['failureDomain'], meaning: 'Age of the last confirmation by a quorum beyond which a daemon treats its configuration as not in force.',
	},
	'freshness.withoutQuorum': {
		kind: 'text', initial: 'serve', choices: ['serve', 'refuse'], scopes: ['failureDomain'], meaning: 'What a daemon beyond freshness.limitMs does with new work while the reachable voters report that the quorum is lost.',
	},
};

/** All keys. Keys that hold a duration or a size have the unit as a suffix. */
export const catalogue: Readonly<Record<string, CatalogueEntry>> = {
	...expertLoadKeys, ...routingKeys, ...requestKeys, ...freshnessKeys,
};

/** Returns a description of why a value is invalid for a key, or undefined if it is valid. */
export function validateValue(entry: CatalogueEntry, value: ConfigurationValue): string | undefined {
	switch (entry.kind) {
		case 'number': {
			const isInRange = typeof value === 'number' && value >= entry.minimum && value <= entry.maximum;
			const fits = isInRange && (!entry.isInteger || Number.isInteger(value));
			return fits ? undefined : `expected ${entry.isInteger ? 'a whole number' : 'a number'} from ${entry.minimum} to ${entry.maximum}`;
		}

		case 'text': {
			const fits = typeof value === 'string' && (entry.choices?.includes(value) ?? true);
			return fits ? undefined : `expected ${entry.choices ? `one of ${entry.choices.join(', ')}` : 'a text'}`;
		}

		case 'flag': {
			return typeof value === 'boolean' ? undefined : 'expected true or false';
		}

		case 'list': {
			const fits = Array.isArray(value) && value.every(item => typeof item === 'string' && entry.itemPattern.test(item));
			return fits ? undefined : `expected a list, each item ${entry.itemForm}`;
		}
	}
}

/** What a client account asked of a service and was admitted, in units of work. */

/** One account at one service. Work is in milliseconds of a target's time; one for a request of a service without an engine. */
export type AccountUse = {
	readonly service: string;
	readonly account: string;
	/** Work of the requests that came. */
	readonly asked: number;
	/** Work of the requests that were sent to targets. */
	readonly admitted: number;
};

/** Name under which accounts beyond the largest are counted together. */
export const otherAccounts = '';

/** Accounts of a service that are counted by name. */
export const maxNamedAccounts = 20;

/** Rows of a message; more are refused. */
const maxRows = 10_000;

/** The accounts of each service that asked for the most, and the others as one. */
export function largestUses(uses: readonly AccountUse[]): AccountUse[] {
	const byService = groupByService(uses);
	return [...byService].flatMap(([service, ofService]) => {
		const sorted = ofService.toSorted((left, right) => right.asked - left.asked);
		const named = sorted.filter(({account}) => account !== otherAccounts).slice(0, maxNamedAccounts);
		const others = sorted.filter(use => !named.includes(use));
		return others.length === 0 ? named : [...named, sumOf(service, others)];
	});
}

/** Throws if the value, which another daemon has sent, is not a list of uses. */
export function readAccountUses(value: unknown): AccountUse[] {
	if (!Array.isArray(value) || value.length > maxRows) {
		throw new TypeError('The message has no uses of client accounts.');
	}

	return value.map(row => readUse(row as Partial<AccountUse> | undefined));
}

function readUse(row: Partial<AccountUse> | undefined): AccountUse {
	const {service, account, asked, admitted} = row ?? {};
	if (typeof service !== 'string' || typeof account !== 'string' || !isAmount(asked) || !isAmount(admitted)) {
		throw new TypeError('The message has no use of a client account.');
	}

	return {
		service, account, asked, admitted,
	};
}

function isAmount(value: number | undefined): value is number {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

function sumOf(service: string, uses: readonly AccountUse[]): AccountUse {
	return {
		service,
		account: otherAccounts,
		asked: uses.reduce((sum, {asked}) => sum + asked, 0),
		admitted: uses.reduce((sum, {admitted}) => sum + admitted, 0),
	};
}

function groupByService(uses: readonly AccountUse[]): Map<string, AccountUse[]> {
	const groups = new Map<string, AccountUse[]>();
	for (const use of uses) {
		groups.set(use.service, [...groups.get(use.service) ?? [], use]);
	}

	return groups;
}

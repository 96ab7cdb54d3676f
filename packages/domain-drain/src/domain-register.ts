/**
The register of drained failure domains and the rule by which an order changes it. The rule is deterministic: the voters of the control group apply the
same orders to the same register. The load that it answers: operators who send an order again and again, to several processes, while some of these are slow.
*/

/** Whether a failure domain is drained, and the revision of the register at which that was ordered. */
export type DomainState = {readonly domain: string; readonly isDrained: boolean; readonly revision: number};

/** All failure domains that were ever ordered about; any other one is in use. The revision increases by one with each change. */
export type DomainRegister = {readonly revision: number; readonly domains: readonly DomainState[]};

/** A wish to drain a failure domain, or to restore it. */
export type DomainRequest = {readonly domain: string; readonly isDrained: boolean};

/** A request with the revision of its domain that a confirmed read has shown after the request had arrived. */
export type DomainOrder = DomainRequest & {readonly baseRevision: number};

/** `overtaken`: the domain has changed since the read, and the order has no effect. */
export type DomainOrderOutcome = 'stored' | 'alreadyStored' | 'overtaken';

/** The register before the first order. */
export const emptyRegister: DomainRegister = {revision: 0, domains: []};

/** The state of a domain; one that was never ordered about is in use at revision 0. */
export function domainStateOf({domains}: DomainRegister, domain: string): DomainState {
	return domains.find(state => state.domain === domain) ?? {domain, isDrained: false, revision: 0};
}

/** Whether the request already holds in a register. */
export function isFulfilled(register: DomainRegister, {domain, isDrained}: DomainRequest): boolean {
	return domainStateOf(register, domain).isDrained === isDrained;
}

/** The order that asks for a request on the ground of a register that was read. */
export function orderOn(register: DomainRegister, request: DomainRequest): DomainOrder {
	return {...request, baseRevision: domainStateOf(register, request.domain).revision};
}

/** What an order does to a register. A repeated order finds its state; one on the ground of an outdated read changes nothing. */
export function orderOutcome(register: DomainRegister, order: DomainOrder): {readonly outcome: DomainOrderOutcome; readonly register: DomainRegister} {
	const {domain, isDrained, baseRevision} = order;
	if (isFulfilled(register, order)) {
		return {outcome: 'alreadyStored', register};
	}

	if (domainStateOf(register, domain).revision !== baseRevision) {
		return {outcome: 'overtaken', register};
	}

	const revision = register.revision + 1;
	const others = register.domains.filter(state => state.domain !== domain);
	return {outcome: 'stored', register: {revision, domains: [...others, {domain, isDrained, revision}]}};
}

/** Whether a register has to replace the known one. */
export function isNewerRegister(register: DomainRegister, known: DomainRegister | undefined): boolean {
	return known === undefined || register.revision > known.revision;
}

/** The domains that are drained in one register and not in the other, or the other way round. */
export function switchedDomains(before: DomainRegister, after: DomainRegister): DomainState[] {
	const names = new Set([...before.domains, ...after.domains].map(({domain}) => domain));
	return [...names].map(name => domainStateOf(after, name)).filter(state => !isFulfilled(before, state));
}

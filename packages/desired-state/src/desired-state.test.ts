import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	type DesiredState, evaluateReplacement, type Route, RouteTable, selectWeightedService, validateDesiredState,
} from './index.js';

const route: Route = {
	name: 'drafts', host: 'a.example', pathPrefix: '/drafts/', kind: 'streaming', timeoutMs: 8000, objectiveMs: 400, priority: 1, split: [{service: 'engine', weight: 1}], maxAttempts: 2, isPublic: false, isResumable: true,
};

const state: DesiredState = {
	version: 3,
	routes: [route, {...route, name: 'inner', pathPrefix: '/drafts/inner/'}],
	services: [{name: 'engine', healthPath: '/healthz', maxConnections: 10}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
	clientAccounts: [{name: 'a', keys: ['k1', 'k2']}, {name: 'b', keys: ['k3']}],
};

function withRoute(change: Partial<Route>): DesiredState {
	return {...state, routes: [{...route, ...change}]};
}

describe('validateDesiredState', () => {
	it('finds no problem in a valid document', () => {
		expect(validateDesiredState(state)).toEqual([]);
	});

	const cases: Array<[string, DesiredState]> = [
		['an unknown service', withRoute({split: [{service: 'other', weight: 1}]})],
		['two routes with the same host and prefix', {...state, routes: [route, {...route, name: 'again'}]}],
		['weights that add up to 0', withRoute({split: [{service: 'engine', weight: 0}]})],
		['a negative weight', withRoute({split: [{service: 'engine', weight: 2}, {service: 'engine', weight: -1}]})],
		['a timeout of 0', withRoute({timeoutMs: 0})],
		['a prefix without a trailing slash', withRoute({pathPrefix: '/drafts'})],
		['a key shared by two accounts', {...state, clientAccounts: [{name: 'a', keys: ['k']}, {name: 'b', keys: ['k']}]}],
	];
	for (const [what, document] of cases) {
		it(`reports ${what}`, () => {
			expect(validateDesiredState(document).length).toEqual(1);
		});
	}
});

describe('evaluateReplacement', () => {
	const held = {version: 5, text: 'five'};

	it('stores the first document and higher versions', () => {
		expect(evaluateReplacement(undefined, held)).toEqual('stored');
		expect(evaluateReplacement(held, {version: 9, text: 'nine'})).toEqual('stored');
	});

	it('acknowledges a resend and a lower version, and ignores them', () => {
		expect(evaluateReplacement(held, {version: 5, text: 'five'})).toEqual('alreadyStored');
		expect(evaluateReplacement(held, {version: 4, text: 'four'})).toEqual('overtaken');
	});

	it('reports a conflict for different content under the stored version', () => {
		expect(evaluateReplacement(held, {version: 5, text: 'other'})).toEqual('conflict');
	});
});

describe('RouteTable', () => {
	const table = new RouteTable(state);

	it('finds the route with the longest prefix', () => {
		expect(table.findRoute('a.example', '/drafts/inner/x')?.name).toEqual('inner');
		expect(table.findRoute('a.example', '/drafts/x')?.name).toEqual('drafts');
	});

	it('finds no route for another host, or for a path that only shares part of a segment', () => {
		expect(table.findRoute('b.example', '/drafts/x')).toEqual(undefined);
		expect(table.findRoute('a.example', '/draftsman')).toEqual(undefined);
	});

	it('finds the account of each key, and none for an unknown key', () => {
		expect(table.findAccount('k2')?.name).toEqual('a');
		expect(table.findAccount('k3')?.name).toEqual('b');
		expect(table.findAccount('k')).toEqual(undefined);
	});
});

describe('selectWeightedService', () => {
	it('selects in proportion to the weights, and never a service of weight 0', () => {
		const split = [{service: 'a', weight: 0}, {service: 'b', weight: 3}, {service: 'c', weight: 1}];
		const drawn = Array.from({length: 100}, (_, index) => selectWeightedService(split, index / 100));
		expect(drawn.filter(service => service === 'b').length).toEqual(75);
		expect(drawn.filter(service => service === 'c').length).toEqual(25);
	});
});

/** Messages as the build of 33619ac wrote them: daemons of that build and of this one follow each other while VMs are replaced in turn. */

import {Buffer} from 'node:buffer';
import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {gunzipSync} from 'node:zlib';
import type {AccountUse} from '@rattanspring/account-shares';
import type {ComponentEvidence} from '@rattanspring/crash-evidence';
import type {DomainOrder, DomainRegister} from '@rattanspring/domain-drain';
import type {Accusation, BadOutcome} from '@rattanspring/outlier-ejection';
import type {
	ColdWord, PermitDecision, PermitRequest, TargetLimit,
} from '@rattanspring/target-limits';
import type {TargetLoad, TargetReport, TargetState} from '@rattanspring/target-table';
import type {MethodDefinition} from '@grpc/grpc-js';
import {expect} from 'earl';
import {DocumentReceiver, DocumentSender} from './document-transfer.js';
import {
	type DocumentReply, type DocumentRequest, type JoinReply, type JoinRequest, linkService, type RankReply, type RankRequest, type SubmitReply, type SubmitRequest,
} from './link-service.js';
import type {
	DownMessage, NodeCard, NodeRole, UpMessage,
} from './messages.js';

type Recorded = Readonly<Record<string, string>>;

const recorded = JSON.parse(readFileSync(new URL('../fixtures/messages-33619ac.json', import.meta.url), 'utf8')) as {
	/** Each of the samples below, in base64. */
	readonly samples: Recorded;
	/** Frames that running daemons sent, in base64, by method and direction. */
	readonly frames: Readonly<Record<string, readonly string[]>>;
};

/** What the build of 33619ac reads strictly: another value of these, or another length of a load row, ends the stream or fails the call. It ignores additional fields elsewhere. */
const roles: Record<NodeRole, true> = {control: true, entry: true, agent: true};
const targetStates: Record<TargetState, true> = {ready: true, draining: true, gone: true};
const badOutcomes: Record<BadOutcome, true> = {failed: true, hung: true, slow: true};
const rankKinds: Record<RankRequest['kind'], true> = {
	state: true, counts: true, experts: true, order: true, relay: true,
};

const place = {
	group: 'g', epoch: 3, rank: 1, size: 4, isOpen: true,
};
const lifetime = {targetId: 't1', bornMs: 1_764_890_000_000};
const card: NodeCard = {
	nodeId: 'n1', role: 'agent', failureDomain: 'a', linkAddress: '10.0.0.1:7340', callerAddress: '10.0.0.1:8227', targetAddress: '10.0.0.1:8120', rankPlace: place, pace: 1.5, isCoordinating: true, isLeaving: false, isReady: true, servesDocument: true, revision: {bornMs: 1_764_890_000_000, sequence: 7},
};
const load: Required<TargetLoad> = {
	address: '10.0.0.1:8120', bornMs: 1_764_890_000_000, sequence: 9, active: 3, queued: 1, memoryShare: 0.25, pace: 1.5, rankPlace: place, skew: 1.2, passMs: 31,
};
const plainLoad: TargetLoad = {
	address: '10.0.0.2:8120', bornMs: 1_764_890_000_001, active: 0, queued: 0, memoryShare: 0, pace: 1,
};
const report: TargetReport = {
	...lifetime, sequence: 4, service: 's', address: '10.0.0.1:8120', failureDomain: 'a', slots: 12, state: 'ready', coldLeftMs: 250, rankPlace: place,
};
const evidence: ComponentEvidence = {
	component: 'prompt x', crashes: ['t1 1', 't2 2'], trialCrashes: ['t2 2'], refuted: ['t1 1'],
};
const limit: TargetLimit = {...lifetime, perSecond: 40};
const cold: ColdWord = {...lifetime, coldLeftMs: 900};
const accusation: Accusation = {
	...lifetime, entry: 'e1', kind: 'hung', timeLeftMs: 8000,
};
const use: AccountUse = {
	service: 's', account: 'a1', asked: 12.5, admitted: 10,
};
const register: DomainRegister = {revision: 2, domains: [{domain: 'a', isDrained: true, revision: 2}, {domain: 'b', isDrained: false, revision: 1}]};
const attachment = Buffer.from([0, 1, 127, 128, 255]);

type Sample = {readonly method: keyof typeof linkService; readonly direction: 'request' | 'reply'; readonly value: unknown};

const up = (value: UpMessage): Sample => ({method: 'follow', direction: 'request', value});
const down = (value: DownMessage): Sample => ({method: 'follow', direction: 'reply', value});
const rank = (value: RankRequest): Sample => ({method: 'rank', direction: 'request', value});
const request = <Value>(method: Sample['method'], value: Value): Sample => ({method, direction: 'request', value});
const reply = <Value>(method: Sample['method'], value: Value): Sample => ({method, direction: 'reply', value});

/** With all fields that the build of 33619ac knew: one that is renamed or becomes required fails to compile. */
const samples: Readonly<Record<string, Sample>> = {
	...Object.fromEntries(Object.keys(roles).map(role => [`hello ${role}`, up({type: 'hello', card: {...card, role: role as NodeRole}, isPrimary: true})])),
	beatUp: up({type: 'beat'}),
	load: up({type: 'load', load}),
	plainLoad: up({type: 'load', load: plainLoad}),
	leavingUp: up({type: 'leaving', target: lifetime}),
	evidenceUp: up({type: 'evidence', records: [evidence]}),
	limitsUp: up({type: 'limits', limits: [limit, lifetime], cold: [cold]}),
	useUp: up({type: 'use', nodeId: 'e1', uses: [use]}),
	...Object.fromEntries(Object.keys(badOutcomes).map(kind => [`accusation ${kind}`, up({type: 'accusations', accusations: [{...accusation, kind: kind as BadOutcome}]})])),
	beatDown: down({type: 'beat'}),
	nodes: down({type: 'nodes', cards: [card]}),
	nodesChanged: down({type: 'nodesChanged', cards: [card], goneIds: ['n2']}),
	...Object.fromEntries(Object.keys(targetStates).map(state => [`target ${state}`, down({type: 'targets', reports: [{...report, state: state as TargetState}]})])),
	heartbeats: down({type: 'heartbeats', targets: [{...lifetime, sequence: 5}]}),
	loads: down({type: 'loads', loads: [load, plainLoad]}),
	leavingDown: down({type: 'leaving', targets: [lifetime]}),
	evidenceDown: down({type: 'evidence', records: [evidence]}),
	limitsDown: down({type: 'limits', limits: [limit], cold: [cold]}),
	accusationsDown: down({type: 'accusations', accusations: [accusation]}),
	useDown: down({type: 'use', nodeId: 'c1', uses: [use]}),
	useTotals: down({type: 'useTotals', uses: [use]}),
	domains: down({type: 'domains', register}),
	version: down({type: 'version', version: 12}),
	documentRequest: request<DocumentRequest>('document', {heldVersion: 3, heldId: 'digest', transfer: {id: 'transfer', offset: 16_384}}),
	documentReply: reply<DocumentReply>('document', {
		version: 4, part: {
			transferId: 'transfer', transferVersion: 4, baseId: 'digest', totalBytes: 5, offset: 0,
		}, attachment,
	}),
	documentNotServed: reply<DocumentReply>('document', {version: -1}),
	submitRequest: request<SubmitRequest>('submit', {version: 4, text: '{"version":4}'}),
	submitReply: reply<SubmitReply>('submit', {outcome: 'stored'}),
	readDomainsRequest: request('readDomains', {}),
	readDomainsReply: reply('readDomains', {register}),
	readDomainsUnconfirmed: reply('readDomains', {}),
	orderDomainRequest: request<DomainOrder>('orderDomain', {domain: 'a', isDrained: true, baseRevision: 2}),
	orderDomainReply: reply<SubmitReply>('orderDomain', {}),
	joinRequest: request<JoinRequest>('join', {voterId: 'v1', address: '10.0.0.1:7340'}),
	joinReply: reply<JoinReply>('join', {isMember: true, leaderAddress: '10.0.0.2:7340', isDiskless: false}),
	trialRequest: request('trial', {component: 'prompt x'}),
	trialReply: reply('trial', {isGranted: true}),
	permitRequest: request<PermitRequest>('permit', {
		...lifetime, perSecond: 40, coldPerSecond: 5, count: 2,
	}),
	permitReply: reply<PermitDecision>('permit', {granted: 2, retryInMs: 25}),
	rankState: rank({targetAddress: '10.0.0.1:8120', kind: 'state'}),
	rankExperts: rank({targetAddress: '10.0.0.1:8120', kind: 'experts'}),
	rankCounts: rank({targetAddress: '10.0.0.1:8120', kind: 'counts', base: 17}),
	rankOrder: rank({
		targetAddress: '10.0.0.1:8120', kind: 'order', order: {kind: 'go', step: 5}, attachment,
	}),
	rankRelay: rank({
		targetAddress: '10.0.0.1:8120', kind: 'relay', request: {kind: 'order', order: {kind: 'go', step: 5}}, children: [{linkAddress: '10.0.0.2:7341', targetAddress: '10.0.0.2:8120'}], attachment,
	}),
	rankRelayState: rank({
		targetAddress: '10.0.0.1:8120', kind: 'relay', request: {kind: 'state'}, children: [],
	}),
	rankReply: reply<RankReply>('rank', {answer: {step: 5, sample: 18, base: 17}, attachment}),
	rankNoAnswer: reply<RankReply>('rank', {}),
};

function codecOf(method: string, direction: string): {serialize: (value: unknown) => Buffer; deserialize: (bytes: Buffer) => unknown} {
	const {requestSerialize, requestDeserialize, responseSerialize, responseDeserialize} = linkService[method as Sample['method']] as MethodDefinition<unknown, unknown>;
	return direction === 'request' ? {serialize: requestSerialize, deserialize: requestDeserialize} : {serialize: responseSerialize, deserialize: responseDeserialize};
}

describe('messages between this build and that of 33619ac', () => {
	it('have a recorded sample of each kind', () => {
		expect(Object.keys(samples).toSorted()).toEqual(Object.keys(recorded.samples).toSorted());
		const kinds = Object.values(samples).flatMap(({method, direction, value}) => method === 'rank' && direction === 'request' ? [(value as RankRequest).kind] : []);
		expect([...new Set(kinds)].toSorted()).toEqual(Object.keys(rankKinds).toSorted() as Array<RankRequest['kind']>);
	});

	for (const [name, {method, direction, value}] of Object.entries(samples)) {
		const bytes = Buffer.from(recorded.samples[name] ?? '', 'base64');

		it(`cannot be misread by this build: ${name}`, () => {
			expect(codecOf(method, direction).deserialize(bytes)).toEqual(value);
		});

		it(`cannot be written in a way that the earlier build does not read: ${name}`, () => {
			expect(codecOf(method, direction).serialize(value).toString('latin1')).toEqual(bytes.toString('latin1'));
		});
	}

	it('cannot be refused by this build if they come from a running daemon', () => {
		for (const [key, frames] of Object.entries(recorded.frames)) {
			const [method, direction] = key.split(' ');
			for (const frame of frames) {
				const {serialize, deserialize} = codecOf(method, direction);
				const bytes = Buffer.from(frame, 'base64');
				expect(serialize(deserialize(bytes)).toString('latin1')).toEqual(bytes.toString('latin1'));
			}
		}
	});

	it('cannot bring a document, or changes of one, that the other build does not assemble', () => {
		const receiver = new DocumentReceiver();
		const replies = recorded.frames['document reply'].map(frame => linkService.document.responseDeserialize(Buffer.from(frame, 'base64')));
		const texts = replies.map(reply => {
			const received = receiver.receive(reply);
			return received.kind === 'whole' ? received.text : received.kind;
		});
		expect(texts.map(text => (JSON.parse(text) as {version: number}).version)).toEqual(replies.map(({version}) => version));
		const sender = new DocumentSender();
		const contentOf = ({attachment: bytes}: DocumentReply): string => gunzipSync(bytes!).toString();
		for (const [index, {version, part}] of replies.entries()) {
			sender.publish({version, text: texts[index]});
			expect(contentOf(sender.reply({heldVersion: version - 1, heldId: part!.baseId}))).toEqual(contentOf(replies[index]));
		}
	});
});

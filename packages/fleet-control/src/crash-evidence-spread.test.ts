import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {ComponentEvidence} from '@rattanspring/crash-evidence';
import {LinkCalls, linkService, type UpMessage} from '@rattanspring/fleet-link';
import {MemoryFileSystem} from '@rattanspring/log-storage';
import {SilentLogger} from '@rattanspring/logger';
import {waitUntil} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {EvidenceStore} from './evidence-store.js';
import {TestDisk} from './test-disk.js';
import {TestEntries, type TestEntry} from './test-entry.js';
import {TestGroup} from './test-group.js';

/** Loses the names of files, on demand, as a process does that is killed before it syncs them. */
class UnsyncedFolders extends MemoryFileSystem {
	areFoldersSynced = true;

	override async syncFolder(folder: string): Promise<void> {
		if (this.areFoldersSynced) {
			await super.syncFolder(folder);
		}
	}
}

const conviction: ComponentEvidence = {
	component: 'part:bad', crashes: ['t1 1', 't2 1', 't3 1'], trialCrashes: ['t3 1'], refuted: [],
};

const evidenceOf = ({messages}: TestEntry) => messages.flatMap(message => message.type === 'evidence' ? message.records : []);

describe('evidence about what crashes targets', () => {
	let group: TestGroup;
	let entries: TestEntries;

	beforeEach(async () => {
		group = await TestGroup.create({size: 3, faultTolerance: 1, failureDomainCount: 3});
		await group.startFirst();
		entries = new TestEntries();
	});
	afterEach(async () => {
		entries.close();
		await group.close();
	});

	const addEntry = async (positions: readonly number[]) => entries.add(positions.map(position => group.addressOf(position)));

	const sentBy = (entry: TestEntry) => {
		entry.links.send({type: 'evidence', records: [conviction]});
	};

	it('reaches entries that follow another control process, and those that come later before they learn of a document', async () => {
		const reporter = await addEntry([0]);
		const other = await addEntry([1]);
		sentBy(reporter);
		await waitUntil(() => evidenceOf(other).length > 0, {timeoutMs: 2000});
		await group.replace(0, 1);
		const late = await addEntry([2]);
		await waitUntil(() => late.messages.some(({type}) => type === 'version'), {timeoutMs: 2000});
		expect(evidenceOf(late)).toEqual([conviction]);
		const types = late.messages.map(({type}) => type);
		expect(types.indexOf('evidence')).toBeLessThan(types.indexOf('version'));
	});

	it('is passed on once by each control process, however often it is sent', async () => {
		const reporter = await addEntry([0, 1, 2]);
		const other = await addEntry([0, 1, 2]);
		for (let times = 0; times < 5; times++) {
			sentBy(reporter);
		}

		await sleep(400);
		expect(evidenceOf(other).length).toEqual(other.connectedCount);
	});

	it('remains after all processes have lost their power, also of one crash or two, unless an answer has refuted it', async () => {
		const once: ComponentEvidence = {
			component: 'part:once', crashes: ['t1 1'], trialCrashes: [], refuted: [],
		};
		const twice: ComponentEvidence = {
			component: 'part:twice', crashes: ['t1 1', 't2 1'], trialCrashes: [], refuted: [],
		};
		const refuted: ComponentEvidence = {
			component: 'part:refuted', crashes: ['t1 1', 't2 1'], trialCrashes: [], refuted: ['t1 1', 't2 1'],
		};
		const reporter = await addEntry([0, 1, 2]);
		sentBy(reporter);
		reporter.links.send({type: 'evidence', records: [once, twice, {...refuted, refuted: []}]});
		reporter.links.send({type: 'evidence', records: [refuted]});
		await sleep(500);
		reporter.links.close();
		await group.stop(0, 1, 2);
		await Promise.all([0, 1, 2].map(async index => group.start(index)));
		const entry = await addEntry([1]);
		await waitUntil(() => evidenceOf(entry).length > 0, {timeoutMs: 2000});
		expect(evidenceOf(entry)).toEqual([once, twice, conviction]);
	});

	it('that is malformed ends its stream, and no process', async () => {
		const reporter = await addEntry([0]);
		reporter.links.send({type: 'evidence', records: [{component: 7}]} as unknown as UpMessage);
		await sleep(300);
		const other = await addEntry([0]);
		sentBy(other);
		await waitUntil(() => evidenceOf(other).length > 0, {timeoutMs: 2000});
	});

	it('is gathered by one trial at a time', async () => {
		const calls = new LinkCalls();
		const request = async (component: string) => calls.call(group.addressOf(0), linkService.trial, {component}, 1000);
		const replies = [await request('part:bad'), await request('part:bad'), await request('part:other')];
		calls.close();
		expect(replies).toEqual([{isGranted: true}, {isGranted: false}, {isGranted: true}]);
	});
});

describe('EvidenceStore', () => {
	it('starts without convictions if its file is unreadable, and writes the newest of several lists', async () => {
		const folder = await mkdtemp(path.join(tmpdir(), 'convictions-'));
		const store = new EvidenceStore({folder, logger: new SilentLogger()});
		await writeFile(path.join(folder, 'convictions'), 'no record');
		expect(await store.load()).toEqual([]);
		await Promise.all([store.save([]), store.save([]), store.save([conviction])]);
		expect(await store.load()).toEqual([conviction]);
		await rm(folder, {recursive: true});
	});

	it('keeps through a loss of power what a killed process has renamed but not synced, once it was loaded', async () => {
		const disk = new UnsyncedFolders();
		const options = {folder: '/data', logger: new SilentLogger(), fileSystem: disk};
		await new EvidenceStore(options).save([]);
		disk.areFoldersSynced = false;
		await new EvidenceStore(options).save([conviction]);
		disk.areFoldersSynced = true;
		expect(await new EvidenceStore(options).load()).toEqual([conviction]);
		disk.crash();
		expect(await new EvidenceStore(options).load()).toEqual([conviction]);
	});

	it('writes the newest evidence once a full disk has room, and gives up when it is closed', async () => {
		const disk = new TestDisk();
		const options = {folder: '/data', logger: new SilentLogger(), fileSystem: disk};
		const store = new EvidenceStore(options);
		disk.isFull = true;
		const saved = [store.save([]), store.save([conviction])];
		await sleep(300);
		disk.isFull = false;
		await Promise.all(saved);
		expect(await new EvidenceStore(options).load()).toEqual([conviction]);
		disk.isFull = true;
		const refused = store.save([]);
		store.close();
		await refused;
		disk.isFull = false;
		expect(await new EvidenceStore(options).load()).toEqual([conviction]);
	});

	it('goes on if its folder takes no file', async () => {
		const store = new EvidenceStore({folder: '/dev/null/none', logger: new SilentLogger()});
		expect(await store.load()).toEqual([]);
		await store.save([conviction]);
	});
});

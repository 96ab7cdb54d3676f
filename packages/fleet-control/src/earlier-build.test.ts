/** Disks as the build of 33619ac left them: a VM keeps its disk when its build is replaced by this one, and when it goes back. */

import {Buffer} from 'node:buffer';
import {readFileSync} from 'node:fs';
import {
	mkdir, mkdtemp, readdir, readFile, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import type {ComponentEvidence} from '@rattanspring/crash-evidence';
import {FatalErrorHandler, FileLogStorage, loadOrCreateDiskIdentity} from '@rattanspring/log-storage';
import {SilentLogger} from '@rattanspring/logger';
import type {LogPayload, LogSnapshot, VoteState} from '@rattanspring/replicated-log';
import {freePorts, waitUntil} from '@rattanspring/test-kit';
import {SystemClock} from '@rattanspring/voter-group';
import {expect} from 'earl';
import {EvidenceStore} from './evidence-store.js';
import {documentCommand, DocumentStateMachine, domainCommand} from './document-state-machine.js';
import {FleetControl} from './fleet-control.js';

type Files = Readonly<Record<string, string>>;

const recorded = JSON.parse(readFileSync(new URL('../fixtures/disk-33619ac.json', import.meta.url), 'utf8')) as {
	/** The disk of a control process that was stopped, by path, in base64. */
	readonly left: Files;
	/** What the writes of `writeSamples` leave. */
	readonly written: Files;
};

const settleTimeoutMs = 10_000;
const register = {revision: 3, domains: [{domain: 'a', isDrained: true, revision: 1}, {domain: 'b', isDrained: false, revision: 3}]};

const voters = [{voterId: 'c1.d1', address: '10.0.0.1:7340'}, {voterId: 'c2.d2', address: '10.0.0.2:7340'}];
const learners = [{voterId: 'c3.d3', address: '10.0.0.3:7340', replaces: 'c2.d2'}];
const convictions: readonly ComponentEvidence[] = [{
	component: 'prompt x', crashes: ['t1 1', 't2 2'], trialCrashes: ['t2 2'], refuted: [],
}];
const voteState: VoteState = {term: 3, votedFor: 'c1.d1'};

/** A new kind fails to compile: the build of 33619ac applies an entry of an unknown kind as nothing, or ends. */
const payloads: {readonly [Kind in LogPayload['kind']]: ReadonlyArray<Extract<LogPayload, {kind: Kind}>>} = {
	command: [{kind: 'command', command: documentCommand({version: 4, text: 'x'})}, {kind: 'command', command: domainCommand({domain: 'a', isDrained: true, baseRevision: 0})}],
	membership: [{kind: 'membership', voters, learners}],
	noop: [{kind: 'noop'}],
};
const entries = Object.values(payloads).flat().map((payload, offset) => ({index: offset + 1, term: 2, payload}));

function stateAfterCommands(): Uint8Array {
	const machine = new DocumentStateMachine();
	for (const {command} of payloads.command) {
		machine.apply(command);
	}

	return machine.serialize();
}

const snapshot: LogSnapshot = {
	lastIndex: 9, lastTerm: 2, voters, learners, state: stateAfterCommands(),
};

class ThrowingFatalErrorHandler extends FatalErrorHandler {
	end(): void {
		throw new Error('unexpected storage failure');
	}
}

const fatalErrorHandler = new ThrowingFatalErrorHandler();
const logger = new SilentLogger();

/** Everything that a disk holds: identity, convictions, vote, snapshot, entries and a reset. */
async function writeSamples(folder: string): Promise<void> {
	await loadOrCreateDiskIdentity({folder, createId: () => 'd1'});
	await new EvidenceStore({folder, logger}).save(convictions);
	const storage = new FileLogStorage({folder: path.join(folder, 'log'), fatalErrorHandler});
	await storage.recover();
	await storage.saveVoteState(voteState);
	await storage.append(entries);
	await storage.saveSnapshot(snapshot);
	await storage.append([{...entries[0], index: 10}]);
	await storage.close();
}

async function filesIn(folder: string): Promise<Files> {
	const files = await readdir(folder, {recursive: true, withFileTypes: true});
	const contents = await Promise.all(files.filter(file => file.isFile()).map(async file => {
		const name = path.join(file.parentPath, file.name);
		return [path.relative(folder, name), await readFile(name, 'base64')] as const;
	}));
	return Object.fromEntries(contents);
}

async function restore(folder: string, files: Files): Promise<void> {
	await mkdir(path.join(folder, 'log'), {recursive: true});
	await Promise.all(Object.entries(files).map(async ([name, content]) => writeFile(path.join(folder, name), Buffer.from(content, 'base64'))));
}

describe('a disk that this build and that of 33619ac use in turn', () => {
	let folder: string;
	beforeEach(async () => {
		folder = await mkdtemp(path.join(tmpdir(), 'earlier-disk-'));
	});
	afterEach(async () => {
		await rm(folder, {recursive: true});
	});

	it('cannot lose the document, the register or the convictions of the earlier build', async () => {
		await restore(folder, recorded.left);
		const [port] = await freePorts(1);
		const linkAddress = `127.0.0.1:${port}`;
		const control = new FleetControl({
			nodeId: 'c1', failureDomain: 'a', linkAddress, dataFolder: folder, seeds: () => [linkAddress], isFirstStart: false, clock: new SystemClock(), logger, fatalErrorHandler,
		});
		try {
			await control.start();
			await waitUntil(async () => await control.readDomains() !== undefined, {timeoutMs: settleTimeoutMs});
			expect(await control.read()).toEqual({isConfirmed: true, document: {version: 70, text: '{"version":70}'}});
			expect(await control.readDomains()).toEqual(register);
		} finally {
			await control.stop();
		}

		expect(await new EvidenceStore({folder, logger}).load()).toEqual([...convictions]);
	});

	it('cannot be written in a way that the earlier build does not read', async () => {
		await writeSamples(folder);
		expect(await filesIn(folder)).toEqual(recorded.written);
	});

	it('cannot be misread by this build after a snapshot beyond the log', async () => {
		await restore(folder, recorded.written);
		const storage = new FileLogStorage({folder: path.join(folder, 'log'), fatalErrorHandler});
		const recovered = await storage.recover();
		await storage.close();
		expect(recovered).toLooseEqual({voteState, snapshot, entries: [{...entries[0], index: 10}]});
		const machine = new DocumentStateMachine();
		machine.restore(recovered.snapshot!.state);
		expect([machine.document, machine.register]).toEqual([{version: 4, text: 'x'}, {revision: 1, domains: [{domain: 'a', isDrained: true, revision: 1}]}]);
	});
});

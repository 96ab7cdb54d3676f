import {
	after, before, describe, it,
} from 'node:test';
import {
	copyFile, mkdir, mkdtemp, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {Agent} from 'node:https';
import Wreck from '@hapi/wreck';
import {status} from '@grpc/grpc-js';
import {GrpcClientPool, GrpcControlAccess} from '@rattanspring/control-client';
import {
	type CertificatePair, type CertificateRole, createAuthority, createCertificate,
} from '@rattanspring/key-authority';
import {directoryProtocol, type KeyMaterial} from '@rattanspring/protocol';
import {PlainService} from '@rattanspring/stand-ins';
import {expect} from 'earl';
import {isCallAllowed} from './adapters/access-policy.js';
import {
	startTestFleet, testCallerSecret, type TestFleet, waitUntil,
} from './test-fleet.js';

const ipAddresses = ['127.0.0.1'];

/** Key files of a test fleet, in a temporary folder. */
class TestKeys {
	static async generate(): Promise<TestKeys> {
		const folder = await mkdtemp(path.join(tmpdir(), 'rattanspring-keys-'));
		return new TestKeys(folder, await createAuthority({fleet: 'test', validFrom: new Date()}));
	}

	readonly folder: string;
	readonly authority: CertificatePair;

	constructor(folder: string, authority: CertificatePair) {
		this.folder = folder;
		this.authority = authority;
	}

	filesOf(name: string): KeyMaterial {
		const file = (suffix: string): string => path.join(this.folder, name, suffix);
		return {authorityFile: file('authority.pem'), certificateFile: file('certificate.pem'), privateKeyFile: file('private-key.pem')};
	}

	async write(name: string, roles: readonly CertificateRole[], authority = this.authority): Promise<KeyMaterial> {
		const pair = await createCertificate({
			authority, name, roles, ipAddresses, validFrom: new Date(),
		});
		const files = this.filesOf(name);
		await mkdir(path.join(this.folder, name), {recursive: true});
		await writeFile(files.privateKeyFile, pair.privateKeyPem);
		await writeFile(files.certificateFile, pair.certificatePem);
		await writeFile(files.authorityFile, this.authority.certificatePem);
		return files;
	}
}

describe('mutual TLS', () => {
	const orders = new PlainService({host: '127.0.0.1', port: 0});
	let keys: TestKeys;
	let fleet: TestFleet;

	before(async () => {
		await orders.start();
		keys = await TestKeys.generate();
		await keys.write('control-1', ['control', 'relay']);
		await keys.write('vm-orders-1', ['agent']);
		await keys.write('entry-1', ['entry']);
		await keys.write('callers', []);
		fleet = await startTestFleet({
			targets: [{
				targetId: 'orders-1', baseUrl: orders.url, kind: 'plain', services: ['orders'],
			}],
			transportOf: vm => ({mode: 'mutualTls', ...keys.filesOf(vm)}),
			callerTransport: {mode: 'tls', certificateFile: keys.filesOf('callers').certificateFile, privateKeyFile: keys.filesOf('callers').privateKeyFile},
		});
	});

	after(async () => {
		await fleet.stop();
		await orders.stop();
		await rm(keys.folder, {recursive: true});
	});

	async function lookUp(): Promise<number> {
		const answer = await Wreck.request('GET', `${fleet.entryUrls[0]}/orders/orders/none`, {
			headers: {authorization: `Bearer ${testCallerSecret}`},
			agent: new Agent({ca: keys.authority.certificatePem}),
		});
		await Wreck.read(answer, {});
		return answer.statusCode ?? 0;
	}

	async function readAs(files: KeyMaterial): Promise<string> {
		const control = new GrpcControlAccess({addresses: [fleet.controlAddress], keys: files});
		const result = await control.read('configuration');
		control.close();
		return result.ok ? 'ok' : result.failure.type;
	}

	it('serves a request end to end', async () => {
		await waitUntil(async () => await lookUp() === 200);
	});

	it('lets an operator\'s certificate read from control', async () => {
		expect(await readAs(await keys.write('operator-1', ['operator']))).toEqual('ok');
	});

	it('refuses a daemon\'s command with an operator\'s certificate', async () => {
		const control = new GrpcControlAccess({addresses: [fleet.controlAddress], keys: await keys.write('operator-5', ['operator'])});
		const result = await control.submit({
			kind: 'lease', command: {
				kind: 'acquire', subject: {kind: 'groupCoordinator', name: 'g'}, holder: 'intruder', durationMs: 1000,
			},
		});
		control.close();
		expect(result.ok ? 'accepted' : result.failure.type).toEqual('forbidden');
	});

	it('refuses a method that the certificate\'s role may not call', async () => {
		const clients = new GrpcClientPool({clientClass: directoryProtocol.DirectoryClient, keys: await keys.write('operator-4', ['operator'])});
		const code = await new Promise<number | undefined>(resolve => {
			clients.clientFor(fleet.relayAddress).announce({announcements: [], entries: []}, error => {
				resolve(error?.code);
			});
		});
		clients.close();
		expect(code).toEqual(status.PERMISSION_DENIED);
	});

	it('refuses a certificate of another authority', async () => {
		const other = await createAuthority({fleet: 'other', validFrom: new Date()});
		expect(await readAs(await keys.write('intruder', ['operator'], other))).toEqual('unreachable');
	});

	it('reloads changed key files without a restart', async () => {
		const files = await keys.write('operator-2', ['operator']);
		const invalid = await keys.write('operator-3', ['operator'], await createAuthority({fleet: 'other', validFrom: new Date()}));
		const control = new GrpcControlAccess({addresses: [fleet.controlAddress], keys: invalid});
		const refused = await control.read('configuration');
		await copyFile(files.privateKeyFile, invalid.privateKeyFile);
		await copyFile(files.certificateFile, invalid.certificateFile);
		await waitUntil(async () => {
			const result = await control.read('configuration');
			return result.ok;
		});
		control.close();
		expect(refused.ok).toEqual(false);
	});
});

describe('isCallAllowed', () => {
	it('denies agents access to other agents and to the replicated log', () => {
		expect(isCallAllowed('/rattanspring.v1.Agent/Execute', ['agent'])).toEqual(false);
		expect(isCallAllowed('/rattanspring.v1.Peer/Exchange', ['agent'])).toEqual(false);
	});

	it('allows entries to dispatch work to agents', () => {
		expect(isCallAllowed('/rattanspring.v1.Agent/Execute', ['entry'])).toEqual(true);
	});

	it('denies methods that are not listed', () => {
		expect(isCallAllowed('/rattanspring.v1.Unknown/Method', ['control', 'relay', 'entry', 'agent', 'operator'])).toEqual(false);
	});
});

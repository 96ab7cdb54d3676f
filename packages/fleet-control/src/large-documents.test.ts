import {
	mkdtemp, readdir, rm, stat,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {describe, it} from 'node:test';
import {FatalErrorHandler} from '@rattanspring/log-storage';
import {SilentLogger} from '@rattanspring/logger';
import {freePorts, incompressibleText, waitUntil} from '@rattanspring/test-kit';
import {SystemClock} from '@rattanspring/voter-group';
import {expect} from 'earl';
import {FleetControl} from './index.js';

/** Size of a control VM's disk, and of the largest document. */
const diskBytes = 64_000_000;
const documentBytes = 4_000_000;

class ThrowingFatalErrorHandler extends FatalErrorHandler {
	end(): void {
		throw new Error('unexpected storage failure');
	}
}

async function sizeOf(folder: string): Promise<number> {
	const files = await readdir(folder, {recursive: true, withFileTypes: true});
	const sizes = await Promise.all(files.filter(file => file.isFile()).map(async file => {
		const {size} = await stat(path.join(file.parentPath, file.name));
		return size;
	}));
	return sizes.reduce((sum, size) => sum + size, 0);
}

describe('changes of the largest document', () => {
	it('do not fill the disk of a voter, however many there are', async () => {
		const folder = await mkdtemp(path.join(tmpdir(), 'large-documents-'));
		const [port] = await freePorts(1);
		const linkAddress = `127.0.0.1:${port}`;
		const control = new FleetControl({
			nodeId: 'n', failureDomain: 'a', linkAddress, dataFolder: folder, seeds: () => [linkAddress], isFirstStart: true, clock: new SystemClock(), logger: new SilentLogger(), fatalErrorHandler: new ThrowingFatalErrorHandler(),
		});
		try {
			await control.start();
			const text = incompressibleText(1, documentBytes);
			let largestBytes = 0;
			for (let version = 1; version <= 20; version++) {
				await waitUntil(async () => await control.replace({version, text}) !== undefined, {timeoutMs: 10_000, pollMs: 20});
				largestBytes = Math.max(largestBytes, await sizeOf(folder));
			}

			expect(largestBytes).toBeLessThan(diskBytes);
		} finally {
			await control.stop();
			await rm(folder, {recursive: true, force: true});
		}
	});
});

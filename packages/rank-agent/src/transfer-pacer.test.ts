import {describe, it} from 'node:test';
import {expect} from 'earl';
import {TransferPacer} from './transfer-pacer.js';

type Transfer = {readonly allowanceMs: number; readonly finish: (isDone: boolean) => void};

/** Starts transfers that end when the test says so. */
function startTransfers(sizes: readonly number[]): {readonly begun: Map<number, Transfer>; readonly results: Array<Promise<void>>} {
	const pacer = new TransferPacer();
	const begun = new Map<number, Transfer>();
	const results = sizes.map(async (bytes, index) => pacer.run(bytes, async allowanceMs => new Promise<void>((resolve, reject) => {
		const finish = (isDone: boolean): void => {
			if (isDone) {
				resolve();
			} else {
				reject(new Error('failed'));
			}
		};

		begun.set(index, {allowanceMs, finish});
	})));
	return {begun, results};
}

async function settle(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

describe('TransferPacer', () => {
	it('admits messages in their order, up to a limit of bytes on their way', async () => {
		const {begun} = startTransfers([10_000, 10_000, 10_000, 1000]);
		await settle();
		expect([...begun.keys()]).toEqual([0, 1]);
		begun.get(1)!.finish(true);
		await settle();
		expect([...begun.keys()]).toEqual([0, 1, 2, 3]);
	});

	it('admits a message above the limit alone', async () => {
		const {begun} = startTransfers([100, 1_000_000, 100]);
		await settle();
		expect([...begun.keys()]).toEqual([0]);
		begun.get(0)!.finish(true);
		await settle();
		expect([...begun.keys()]).toEqual([0, 1]);
		begun.get(1)!.finish(true);
		await settle();
		expect([...begun.keys()]).toEqual([0, 1, 2]);
	});

	it('goes on after a transfer that failed', async () => {
		const {begun, results} = startTransfers([20_000, 20_000]);
		await settle();
		begun.get(0)!.finish(false);
		await expect(results[0]).toBeRejectedWith('failed');
		await settle();
		expect([...begun.keys()]).toEqual([0, 1]);
	});

	it('allows time for a message and for all others that are on their way with it', async () => {
		const allowancesMs = async (sizes: readonly number[]): Promise<number[]> => {
			const {begun} = startTransfers(sizes);
			await settle();
			return [...begun.values()].map(({allowanceMs}) => allowanceMs);
		};

		const [small] = await allowancesMs([2000]);
		expect(small > 0).toEqual(true);
		expect(await allowancesMs([6000])).toEqual([3 * small]);
		expect(await allowancesMs([2000, 4000, 4000])).toEqual([5 * small, 5 * small, 5 * small]);
	});
});

import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {DomainRegister} from '@rattanspring/domain-drain';
import {Logger, type LogFields, type LogLevel} from '@rattanspring/logger';
import {DaemonMetrics} from '@rattanspring/metrics';
import {expect} from 'earl';
import {DomainFollower} from './domain-follower.js';

const register = (revision: number, isDrained: boolean): DomainRegister => ({revision, domains: [{domain: 'a', isDrained, revision}]});

class RecordingLogger extends Logger {
	readonly events: string[] = [];

	log(_level: LogLevel, event: string, fields: LogFields = {}): void {
		this.events.push(`${event} ${String(fields.failureDomain ?? '')} ${String(fields.revision)}`);
	}
}

describe('an entry that follows the register of failure domains', () => {
	let logger: RecordingLogger;
	let metrics: DaemonMetrics;
	let switches: number;
	let restored: string[];
	let knownCount: number;
	let follower: DomainFollower;

	beforeEach(() => {
		logger = new RecordingLogger();
		metrics = new DaemonMetrics();
		switches = 0;
		restored = [];
		knownCount = 0;
		follower = new DomainFollower({
			logger,
			metrics,
			onSwitched(restoredDomains) {
				switches++;
				restored.push(...restoredDomains);
			},
			onKnown() {
				knownCount++;
			},
			registerWaitMs: 60,
		});
	});
	afterEach(() => {
		follower.close();
	});

	it('logs each switch once with its revision, and counts the drained domains', async () => {
		for (const received of [register(1, true), register(1, true), register(2, false), register(1, true)]) {
			follower.receive(received, 'c1');
		}

		follower.receive(register(3, true), 'c2');
		expect(logger.events).toEqual(['domainDrained a 1', 'domainRestored a 2', 'domainDrained a 3']);
		expect(switches).toEqual(3);
		const text = await metrics.text();
		expect([text.includes('\nrattanspring_failure_domains_drained 1\n'), text.includes('\nrattanspring_failure_domain_register_revision 3\n')]).toEqual([true, true]);
	});

	it('names the domains that were restored, also if it has missed that they were drained, but not those of before its start', () => {
		follower.receive(register(2, false), 'c1');
		expect(restored).toEqual([]);
		follower.receive(register(4, false), 'c1');
		expect(restored).toEqual(['a']);
		follower.receive(register(5, true), 'c1');
		follower.receive(register(6, false), 'c1');
		expect(restored).toEqual(['a', 'a']);
	});

	it('serves once a control process that holds the document has sent its register', () => {
		follower.receive(register(1, true), 'withoutDocument');
		expect(follower.isKnown).toEqual(false);
		follower.recordDocument('c1');
		expect(follower.isKnown).toEqual(false);
		follower.receive(register(1, true), 'c2');
		follower.recordDocument('c2');
		follower.recordDocument('c2');
		expect([follower.isKnown, knownCount]).toEqual([true, 1]);
	});

	it('waits for a limited time beside a control process of an older build, which sends none', async () => {
		follower.receive(register(1, true), 'c1');
		follower.dropConnection('c1');
		follower.recordDocument('c1');
		expect(follower.isKnown).toEqual(false);
		await sleep(120);
		expect([follower.isKnown, knownCount]).toEqual([true, 1]);
		expect(logger.events.at(-1)).toEqual('domainRegisterMissing  1');
	});
});

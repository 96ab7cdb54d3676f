import {describe, it} from 'node:test';
import {type DomainRegister, emptyRegister} from '@rattanspring/domain-drain';
import {SilentLogger} from '@rattanspring/logger';
import {expect} from 'earl';
import {DomainAnnouncements} from './domain-announcements.js';

const register = (revision: number): DomainRegister => ({revision, domains: [{domain: 'a', isDrained: true, revision}]});

describe('announcements of the register', () => {
	const setUp = () => {
		const sent: string[] = [];
		const announcements = new DomainAnnouncements({
			broadcast(message, {roles}) {
				sent.push(`${message.type === 'domains' ? message.register.revision : ''} ${roles?.join(' ')}`);
			},
			logger: new SilentLogger(),
		});
		return {announcements, sent};
	};

	it('go to each kind of follower at most once for each revision', () => {
		const {announcements, sent} = setUp();
		announcements.applied(emptyRegister);
		announcements.received(register(1));
		announcements.received(register(1));
		announcements.applied(register(1));
		announcements.applied(register(2));
		announcements.received(register(2));
		announcements.received(register(1));
		expect(sent).toEqual(['0 entry control', '1 entry', '1 control', '2 entry control']);
	});

	it('go to daemons that connect only once a quorum has confirmed the local register, and are the newest', () => {
		const {announcements, sent} = setUp();
		announcements.received(register(3));
		expect(announcements.messages).toEqual([]);
		announcements.applied(register(2));
		expect(announcements.messages).toEqual([{type: 'domains', register: register(3)}]);
		expect(sent).toEqual(['3 entry', '3 entry control']);
	});
});

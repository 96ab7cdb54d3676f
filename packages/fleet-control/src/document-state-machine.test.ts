import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import {fromJsonBytes, toJsonBytes} from '@rattanspring/control-client';
import {evaluateReplacement, type StoredDocument} from '@rattanspring/desired-state';
import {emptyRegister, orderOn} from '@rattanspring/domain-drain';
import {expect} from 'earl';
import {documentCommand, DocumentStateMachine, domainCommand} from './document-state-machine.js';

const drain = {domain: 'a', isDrained: true};

/** The state of a machine after a snapshot of another one was restored. */
function restored(machine: DocumentStateMachine): DocumentStateMachine {
	const copy = new DocumentStateMachine();
	copy.restore(machine.serialize());
	return copy;
}

describe('the state machine of the control group', () => {
	it('holds the document and the register, in the log as in snapshots', () => {
		const machine = new DocumentStateMachine();
		expect(machine.apply(documentCommand({version: 3, text: 'x'}))).toEqual('stored');
		expect(machine.apply(domainCommand(orderOn(emptyRegister, drain)))).toEqual('stored');
		expect(machine.apply(domainCommand({...drain, isDrained: false, baseRevision: 0}))).toEqual('overtaken');
		for (const each of [machine, restored(machine)]) {
			expect(each.document).toEqual({version: 3, text: 'x'});
			expect(each.register).toEqual({revision: 1, domains: [{...drain, revision: 1}]});
		}
	});

	it('holds a register without a document', () => {
		const machine = new DocumentStateMachine();
		machine.apply(domainCommand(orderOn(emptyRegister, drain)));
		const copy = restored(machine);
		expect([copy.document, copy.register]).toEqual([undefined, machine.register]);
		expect(copy.apply(documentCommand({version: 0, text: ''}))).toEqual('stored');
	});

	it('reads commands and snapshots of builds without a register', () => {
		const machine = new DocumentStateMachine();
		machine.restore(Buffer.alloc(0));
		expect([machine.document, machine.register]).toEqual([undefined, emptyRegister]);
		machine.restore(toJsonBytes({version: 4, text: 'old'}));
		expect([machine.document, machine.register]).toEqual([{version: 4, text: 'old'}, emptyRegister]);
		expect(machine.apply(toJsonBytes({version: 5, text: 'newer'}))).toEqual('stored');
	});

	it('forgets a register that a restored snapshot does not hold', () => {
		const machine = new DocumentStateMachine();
		machine.apply(domainCommand(orderOn(emptyRegister, drain)));
		machine.restore(toJsonBytes({version: 4, text: 'old'}));
		expect(machine.register).toEqual(emptyRegister);
	});

	it('writes what builds without a register read as a document, and an order as an outdated one', () => {
		const machine = new DocumentStateMachine();
		machine.apply(documentCommand({version: 3, text: 'x'}));
		expect(machine.serialize()).toEqual(toJsonBytes({version: 3, text: 'x'}));
		const order = domainCommand(orderOn(emptyRegister, drain));
		expect(evaluateReplacement({version: 0, text: ''}, fromJsonBytes<StoredDocument>(order)!)).toEqual('overtaken');
		machine.apply(order);
		const {version, text} = fromJsonBytes<StoredDocument>(machine.serialize())!;
		expect({version, text}).toEqual({version: 3, text: 'x'});
	});
});

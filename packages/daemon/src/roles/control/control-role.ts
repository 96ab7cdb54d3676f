/**
The control role: a voter that accepts commands, answers reads and streams the configuration to relays.
*/

import {type ControlFailure, fromJsonBytes, toJsonBytes} from '@rattanspring/control-client';
import type {ServerUnaryCall, sendUnaryData} from '@grpc/grpc-js';
import {ConfigurationReplica, type FleetAnswer, type FleetCommand} from '@rattanspring/fleet-state';
import type {Logger} from '@rattanspring/logger';
import {fleetProtocol, type KeyMaterial} from '@rattanspring/protocol';
import type {ControlSettings} from '@rattanspring/settings';
import {err, type Clock, type Result} from '@rattanspring/types';
import type {GrpcService} from '@rattanspring/voter-group';
import {certificateRoles} from '../../adapters/access-policy.js';
import {GrpcListener} from '../../adapters/grpc-listener.js';
import type {FleetLog} from '../../ports/fleet-log.js';
import {Role} from '../../ports/role.js';
import {SpreadServer} from '../../spread/spread-server.js';
import {parseCommand, parseReadParameters} from './command-schema.js';
import {readSubject} from './control-reads.js';
import {InForceTable} from './in-force-table.js';
import {authorizeCommand, authorizeRead, isCommandAllowedByCertificate} from './operator-access.js';
import {QuorumProbe} from './quorum-probe.js';

/** Grace period for open calls at shutdown. */
const shutdownGraceMs = 1000;

type SubmitCall = ServerUnaryCall<fleetProtocol.SubmitRequest, fleetProtocol.SubmitReply>;
type ReadCall = ServerUnaryCall<fleetProtocol.ReadRequest, fleetProtocol.ReadReply>;

/** Options of the role. */
export type ControlRoleOptions = {
	readonly settings: ControlSettings;
	readonly log: FleetLog;
	readonly logger: Logger;
	readonly clock: Clock;
	readonly keys?: KeyMaterial;
	/** Services between voters, served on the same port. */
	readonly services?: readonly GrpcService[];
};

/** Serves commands, reads and the configuration stream. */
export class ControlRole extends Role {
	readonly #options: ControlRoleOptions;
	readonly #listener: GrpcListener;
	readonly #replica = new ConfigurationReplica();
	readonly #inForce = new InForceTable();
	readonly #quorum: QuorumProbe;
	readonly #spread: SpreadServer;
	/** Identifies this process of this voter, so that monotonic timestamps are only compared within one process. */
	readonly #leaderId: string;
	#isStarted = false;

	constructor(options: ControlRoleOptions) {
		super();
		const {settings, clock, keys} = options;
		this.#options = options;
		this.#leaderId = `${settings.voterId}/${clock.wallMs()}`;
		this.#listener = new GrpcListener({listen: settings.listen, keys});
		this.#quorum = new QuorumProbe(options);
		this.#spread = new SpreadServer({
			replica: this.#replica,
			clock,
			quorumViewFor: () => this.#quorum.knowledge,
			onReports: (relay, reports) => {
				this.#inForce.applyReports(relay.daemonId, reports, clock.monotonicMs());
			},
			onEnded: relay => {
				this.#inForce.endRelay(relay.daemonId, clock.monotonicMs());
			},
		});
	}

	get name(): string {
		return 'control';
	}

	async start(): Promise<void> {
		const {log, services = []} = this.#options;
		log.onConfiguration((configuration, accepted) => {
			this.#replica.advance(configuration, accepted);
			this.#spread.contentChanged();
		});
		this.#listener.addService(fleetProtocol.ControlService, {
			submit: (call: SubmitCall, done: sendUnaryData<fleetProtocol.SubmitReply>) => {
				void this.#answer(done, this.#submit(call.request, certificateRoles(call.getAuthContext())));
			},
			read: (call: ReadCall, done: sendUnaryData<fleetProtocol.ReadReply>) => {
				void this.#answer(done, this.#read(call.request));
			},
		});
		this.#spread.addTo(this.#listener);
		for (const {definition, implementation} of services) {
			this.#listener.addService(definition, implementation);
		}

		// Voters connect to each other through the listener, so it must start before the log.
		await this.#listener.start();
		await log.start();
		this.#quorum.start();
		this.#isStarted = true;
	}

	isReady(): boolean {
		return this.#isStarted;
	}

	async drain(): Promise<void> {
		this.#quorum.stop();
		await this.#options.log.stop();
	}

	async stop(): Promise<void> {
		this.#quorum.stop();
		this.#spread.stop();
		await this.#listener.stop(shutdownGraceMs);
	}

	async #answer(done: sendUnaryData<fleetProtocol.SubmitReply>, pending: Promise<Result<unknown, ControlFailure>>): Promise<void> {
		const result = await pending;
		done(null, result.ok
			? {result: {$case: 'answer', value: toJsonBytes(result.value)}}
			: {result: {$case: 'failure', value: toFailureMessage(result.failure)}});
	}

	async #submit(request: fleetProtocol.SubmitRequest, roles: readonly string[] | undefined): Promise<Result<FleetAnswer, ControlFailure>> {
		const {log, clock} = this.#options;
		const parsed = parseCommand(fromJsonBytes<unknown>(request.command));
		if (!parsed.ok) {
			return parsed;
		}

		if (!isCommandAllowedByCertificate(parsed.value, roles)) {
			return err({type: 'forbidden', message: 'This command requires the certificate of a daemon.'});
		}

		const allowed = authorizeCommand(this.#replica.configuration, parsed.value, request.operatorSecret, clock.wallMs());
		return allowed.ok ? log.submit(this.#stampTimes(allowed.value)) : allowed;
	}

	async #read(request: fleetProtocol.ReadRequest): Promise<Result<unknown, ControlFailure>> {
		const {log, clock} = this.#options;
		const parameters = parseReadParameters(fromJsonBytes<unknown>(request.parameters) ?? {});
		if (!parameters.ok) {
			return parameters;
		}

		const state = await log.confirmedState();
		if (!state.ok) {
			return state;
		}

		const allowed = authorizeRead(state.value.configuration, request.subject, request.operatorSecret, clock.wallMs());
		return allowed.ok ? readSubject({state: state.value, inForce: this.#inForce, nowMs: clock.monotonicMs()}, request.subject, parameters.value) : allowed;
	}

	/** Adds this voter's timestamps; only a command submitted by the leader reaches the log. */
	#stampTimes(command: FleetCommand): FleetCommand {
		const {clock} = this.#options;
		switch (command.kind) {
			case 'change': {
				return {...command, acceptedAtMs: clock.wallMs()};
			}

			case 'lease': {
				return {...command, leaderTime: {leaderId: this.#leaderId, monotonicMs: clock.monotonicMs()}};
			}

			case 'ledger':
			case 'suspects': {
				return command;
			}
		}
	}
}

function toFailureMessage(failure: ControlFailure): fleetProtocol.ControlFailure {
	return {type: failure.type, message: failure.message, leaderAddress: failure.leaderAddress ?? ''};
}

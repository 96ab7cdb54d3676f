/**
Dispatches attempts to agents and reads their responses.
*/

import type {DirectoryEntry, DirectoryState} from '@rattanspring/directory';
import type {agentProtocol} from '@rattanspring/protocol';
import type {ClaimedAttempt} from '@rattanspring/request-ledger';
import type {Clock} from '@rattanspring/types';
import type {AgentConnections} from '../../ports/agent-connection.js';
import {
	followAttempt, waitReconnectDelay, runAttempt, type ReconnectWait,
} from './attempt.js';
import type {CallerRequest} from './caller-request.js';
import {type AttemptEvent, failed} from './frame-check.js';
import type {RoutedRun} from './request-routing.js';

/** Options of `Dispatcher`. */
export type DispatcherOptions = {
	readonly directory: DirectoryState;
	readonly agents: AgentConnections;
	readonly clock: Clock;
	/** Waits before a reconnect. Tests with simulated time replace it. */
	readonly waitBeforeReconnect?: ReconnectWait;
};

/** An attempt to dispatch. */
export type Dispatch = {
	readonly request: CallerRequest;
	readonly target: DirectoryEntry;
	readonly name: {readonly requestId: string; readonly attempt: number};
	readonly run: RoutedRun;
};

/** Dispatches attempts. */
export class Dispatcher {
	readonly #options: DispatcherOptions;

	constructor(options: DispatcherOptions) {
		this.#options = options;
	}

	get #waitBeforeReconnect(): ReconnectWait {
		return this.#options.waitBeforeReconnect ?? waitReconnectDelay;
	}

	/** Time left until the deadline of a request. */
	remainingMs(request: CallerRequest): number {
		return request.deadlineMs - this.#options.clock.monotonicMs();
	}

	/** Dispatches an attempt and yields its events. */
	async * dispatch({request, target, name, run}: Dispatch): AsyncGenerator<AttemptEvent> {
		const {targetId, agentAddress, incarnation} = target.announcement;
		const routingFields = run.attemptFields(targetId);
		const execution: agentProtocol.ExecuteRequest = {
			...name,
			...routingFields,
			targetId,
			clientAccount: request.clientAccount,
			service: request.service,
			method: request.method,
			path: request.path,
			headers: {...request.headers, ...routingFields.headers},
			body: request.body,
			remainingMs: Math.max(1, Math.round(this.remainingMs(request))),
			expectedIncarnation: incarnation,
			claimed: request.idempotencyClass === 'nonIdempotent',
		};
		const end = run.recordDispatch(targetId);
		try {
			yield * runAttempt(this.#options.agents.at(agentAddress), execution, this.#waitBeforeReconnect);
		} finally {
			end();
		}
	}

	/** Reads the response of an attempt that was dispatched before; seals the attempt if its agent has never received it. */
	async * follow(claim: ClaimedAttempt, clientAccount: string): AsyncGenerator<AttemptEvent> {
		const known = this.#options.directory.targets.get(claim.targetId);
		if (!known) {
			yield failed('targetFailed', 'The target of the request has not announced itself.', false);
			return;
		}

		const {requestId, attempt, incarnation: expectedIncarnation} = claim;
		yield * followAttempt(this.#options.agents.at(known.announcement.agentAddress), {
			requestId, attempt, clientAccount, expectedIncarnation,
		}, this.#waitBeforeReconnect);
	}

	/** Asks the agent to cancel an attempt. */
	cancel(claim: ClaimedAttempt, clientAccount: string): void {
		const known = this.#options.directory.targets.get(claim.targetId);
		if (known) {
			const {requestId, attempt} = claim;
			this.#options.agents.at(known.announcement.agentAddress).cancel({requestId, attempt, clientAccount}, () => {
				// A failed call is ignored: without a reader the agent itself cancels the attempt after a grace period, unless it is claimed.
			});
		}
	}
}

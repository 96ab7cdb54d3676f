/**
Load figures and heartbeats of targets on their way to followers. What targets and agents sent here goes to the entries that take figures from this
process and to all other control processes; what those have passed on goes to the entries only. Of several figures of a target the newest counts.
*/

import type {DownMessage, Receivers} from '@rattanspring/fleet-link';
import type {TargetLoad, TargetHeartbeat} from '@rattanspring/target-table';

/** Load figures received within this time are sent in one message. */
const loadBatchMs = 50;

/** Interval at which heartbeats of unchanged targets are sent. */
const heartbeatIntervalMs = 1000;

/** Who sent a figure to this process: a target or its agent, or another control process. */
export type FigureSource = 'direct' | 'relayed';

/** Sends a message to followers. */
export type Broadcast = (message: DownMessage, receivers: Receivers) => void;

/** Collects figures, and sends them in batches. */
export class FigureBatches {
	readonly #broadcast: Broadcast;
	readonly #loads: Record<FigureSource, Map<string, TargetLoad>> = {direct: new Map(), relayed: new Map()};
	readonly #heartbeats: Record<FigureSource, Map<string, TargetHeartbeat>> = {direct: new Map(), relayed: new Map()};
	#loadTimer: NodeJS.Timeout | undefined;
	#heartbeatTimer: NodeJS.Timeout | undefined;

	constructor(broadcast: Broadcast) {
		this.#broadcast = broadcast;
	}

	start(): void {
		this.#heartbeatTimer = setInterval(() => {
			this.#sendHeartbeats();
		}, heartbeatIntervalMs);
	}

	stop(): void {
		clearTimeout(this.#loadTimer);
		clearInterval(this.#heartbeatTimer);
	}

	addLoad(load: TargetLoad, source: FigureSource): void {
		this.#loads[source].set(load.address, load);
		this.#loadTimer ??= setTimeout(() => {
			this.#loadTimer = undefined;
			this.#sendLoads();
		}, loadBatchMs);
	}

	addHeartbeat(heartbeat: TargetHeartbeat, source: FigureSource): void {
		this.#heartbeats[source].set(heartbeat.targetId, heartbeat);
	}

	#sendLoads(): void {
		const direct = takeAll(this.#loads.direct);
		this.#sendTo('entry', {type: 'loads', loads: [...direct, ...takeAll(this.#loads.relayed)]});
		if (direct.length > 0) {
			this.#sendTo('control', {type: 'loads', loads: direct});
		}
	}

	#sendHeartbeats(): void {
		const direct = takeAll(this.#heartbeats.direct);
		const relayed = takeAll(this.#heartbeats.relayed);
		if (direct.length + relayed.length > 0) {
			this.#sendTo('entry', {type: 'heartbeats', targets: [...direct, ...relayed]});
		}

		if (direct.length > 0) {
			this.#sendTo('control', {type: 'heartbeats', targets: direct});
		}
	}

	/** Entries take figures from one control process only; control processes from all. */
	#sendTo(role: 'entry' | 'control', message: DownMessage): void {
		this.#broadcast(message, {roles: [role], onlyPrimary: role === 'entry'});
	}
}

function takeAll<Value>(pending: Map<string, Value>): Value[] {
	const values = [...pending.values()];
	pending.clear();
	return values;
}

/**
Port to a role of a daemon: the lifecycle that the daemon drives.
*/

/** A role such as control, relay, entry or agent. */
export abstract class Role {
	/** Name of the role, as in the settings. */
	abstract get name(): string;
	/** Starts to listen and opens the streams that the role follows. */
	abstract start(): Promise<void>;
	/** Whether the role can serve now. */
	abstract isReady(): boolean;
	/** Drains the role: accepts no new work and resolves once no work is in progress. */
	abstract drain(): Promise<void>;
	/** Closes all remaining connections and listeners. */
	abstract stop(): Promise<void>;
}

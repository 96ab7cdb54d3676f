/**
Divides the descriptors of a process among its uses. Whoever opens connections from outside gets a part of them only, so that those towards targets and control processes
can always be opened.
*/

/** Descriptors that files outside the data folder may need. */
const fileDescriptors = 200;

/** Each listener accepts this many connections at least. */
const minConnections = 8;

/** Shares of the descriptors that are left for sockets. What they leave over is for what the process itself connects to. */
const shares = {
	callers: 0.4, targets: 0.4, directory: 0.1, readiness: 0.02, metrics: 0.02, calls: 0.3, links: 0.5,
} as const;

/** What connections are used for. */
export type ConnectionUse = keyof typeof shares;

/** The greatest number of connections for a use, in a process that may open so many descriptors. */
export function connectionsFor(use: ConnectionUse, maxDescriptors: number): number {
	return Math.max(minConnections, Math.floor((maxDescriptors - fileDescriptors) * shares[use]));
}

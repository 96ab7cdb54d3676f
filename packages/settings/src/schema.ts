/**
Schema of a daemon's settings file. All objects are strict: an unknown key is an error.
*/

import * as z from 'zod';

const name = z.string().regex(/^[A-Za-z\d][\w.-]*$/, 'a name of letters, digits, ".", "_" and "-"');
const host = z.union([z.ipv4(), z.ipv6()], 'an IP address');
const port = z.int().min(1).max(65_535);
const address = z.string().regex(/^((?:\d+\.){3}\d+|\[[\da-f:]+]):\d{1,5}$/i, 'an address of the form 10.0.0.1:7101 or [::1]:7101');
const file = z.string().min(1);

const listen = z.strictObject({host, port});

const processTransport = z.discriminatedUnion('mode', [
	z.strictObject({mode: z.literal('plaintext')}),
	z.strictObject({
		mode: z.literal('mutualTls'), authorityFile: file, certificateFile: file, privateKeyFile: file,
	}),
], 'an object whose mode is "plaintext" or "mutualTls"');

const callerTransport = z.discriminatedUnion('mode', [
	z.strictObject({mode: z.literal('plaintext')}),
	z.strictObject({mode: z.literal('tls'), certificateFile: file, privateKeyFile: file}),
], 'an object whose mode is "plaintext" or "tls"');

const control = z.strictObject({
	listen,
	/**
	Behaviour with an empty data folder: `newGroup` forms a new group with the other initial voters; `joinGroup` waits
	until `rattanspring voters add` adds this voter to an existing group.
	*/
	start: z.enum(['newGroup', 'joinGroup']).default('newGroup'),
	/** Voters of a new group at its first start, including this one. Afterwards the log determines the membership. */
	initialVoters: z.array(z.strictObject({voterId: name, address})).default([]),
	voterId: name,
	/** File with the initial configuration (defaults, exceptions and keys), applied once to an empty log. */
	initialConfigurationFile: file.optional(),
});

const relay = z.strictObject({
	listen,
	controlAddresses: z.array(address).min(1),
	peerRelayAddresses: z.array(address).default([]),
});

const entry = z.strictObject({
	listen,
	/** URL that is advertised to callers. */
	advertisedUrl: z.url(),
	relayAddresses: z.array(address).min(1),
	controlAddresses: z.array(address).min(1),
	transport: callerTransport,
	maxBodyBytes: z.int().min(1).default(1_048_576),
});

const target = z.strictObject({
	targetId: name,
	baseUrl: z.url(),
	kind: z.enum(['model', 'plain']),
	services: z.array(name).min(1),
	groupId: name.optional(),
	rank: z.int().min(0).optional(),
	/** URL at which the lock-step group is told to begin steps; a rank without it receives no orders. */
	groupUrl: z.url().optional(),
	capacityRequests: z.int().min(1).default(16),
	/** Whether the target itself rejects orders with an outdated fencing number. */
	checksFencing: z.boolean().default(false),
});

const agent = z.strictObject({
	listen,
	/** `host:port` at which entries reach the agent; the listening address by default. */
	advertisedAddress: address.optional(),
	relayAddresses: z.array(address).min(1),
	targets: z.array(target).min(1),
	announceIntervalMs: z.int().min(50).default(500),
	leaseMs: z.int().min(100).default(3000),
	streamBufferBytes: z.int().min(1024).default(33_554_432),
});

/** The whole settings file. */
export const settingsSchema = z.strictObject({
	vm: name,
	region: name,
	failureDomain: name,
	/** Folder for durable state; required by the control role. */
	dataFolder: file.optional(),
	logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
	transport: processTransport,
	/** Listening address of `/healthz`, `/readyz` and `/metrics`. */
	admin: z.strictObject({listen}),
	roles: z.strictObject({
		control: control.optional(), relay: relay.optional(), entry: entry.optional(), agent: agent.optional(),
	}),
});

/** Validated settings of a daemon, with defaults applied. */
export type DaemonSettings = z.infer<typeof settingsSchema>;

/** Settings of the control role. */
export type ControlSettings = z.infer<typeof control>;
/** Settings of the relay role. */
export type RelaySettings = z.infer<typeof relay>;
/** Settings of the entry role. */
export type EntrySettings = z.infer<typeof entry>;
/** Settings of the agent role. */
export type AgentSettings = z.infer<typeof agent>;
/** Settings of one target behind an agent. */
export type TargetSettings = z.infer<typeof target>;
/** A listening address. */
export type ListenSettings = z.infer<typeof listen>;

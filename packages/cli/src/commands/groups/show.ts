/** `rattanspring groups show`: the ranks behind agents, the map each uses and the one on its way. */

import process from 'node:process';
import {Metadata} from '@grpc/grpc-js';
import {GrpcClientPool} from '@rattanspring/control-client';
import {ordersProtocol} from '@rattanspring/protocol';
import {
	type ConnectionArguments, exitCodes, keysOf,
} from '../../connection.js';
import type {Command} from '../../command.js';
import {makeTable} from '../../table.js';

/** Longest wait for an agent. */
const agentTimeoutMs = 5000;

type Arguments = ConnectionArguments & {readonly agent?: readonly string[]};

/** What one agent answered. */
type AgentAnswer
	= | {readonly kind: 'ranks'; readonly ranks: readonly ordersProtocol.RankRow[]}
		| {readonly kind: 'unreachable'; readonly address: string; readonly message: string};

/** The command. */
export const showCommand: Command = {
	command: 'show',
	describe: 'show the ranks behind agents',
	builder: builder => builder.option('agent', {
		type: 'string', array: true, demandOption: true, describe: 'addresses of the agents, host:port',
	}),
	handler: show,
};

async function show(options: Arguments): Promise<void> {
	const clients = new GrpcClientPool({clientClass: ordersProtocol.OrdersClient, keys: keysOf(options)});
	const answers = await Promise.all((options.agent ?? []).map(async address => ask(clients, address)));
	clients.close();
	const ranks = answers.flatMap(answer => answer.kind === 'ranks' ? answer.ranks : []);
	process.stdout.write(options.json ? `${JSON.stringify(ranks)}\n` : `${tableOf(ranks)}\n`);
	for (const answer of answers) {
		if (answer.kind === 'unreachable') {
			process.stderr.write(`rattanspring: unreachable: agent ${answer.address}: ${answer.message}\n`);
			process.exitCode = exitCodes.unreachable;
		}
	}
}

async function ask(clients: GrpcClientPool<ordersProtocol.OrdersClient>, address: string): Promise<AgentAnswer> {
	return new Promise(resolve => {
		clients.clientFor(address).showRanks({}, new Metadata(), {deadline: Date.now() + agentTimeoutMs}, (error, reply) => {
			resolve(error ? {kind: 'unreachable', address, message: error.message} : {kind: 'ranks', ranks: reply.ranks});
		});
	});
}

function tableOf(ranks: readonly ordersProtocol.RankRow[]): string {
	const table = makeTable(['group', 'rank', 'formation', 'ready', 'map', 'from step', 'begun step', 'next map', 'phase', 'fencing']);
	const ordered = ranks.toSorted((a, b) => a.groupId.localeCompare(b.groupId) || a.rank - b.rank);
	for (const rank of ordered) {
		const isPending = rank.pendingPhase !== '';
		table.push([
			rank.groupId, rank.rank, rank.formation, rank.isReady ? 'yes' : 'no', rank.version, rank.fromStep, rank.begunStep, isPending ? rank.pendingVersion : '', rank.pendingPhase, rank.fencing,
		]);
	}

	return table.toString();
}

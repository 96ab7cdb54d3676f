/** `rattanspring groups show`: shows the ranks that agents manage, with the expert map each rank uses and any pending map. */

import process from 'node:process';
import {Metadata} from '@grpc/grpc-js';
import {GrpcClientPool} from '@rattanspring/control-client';
import {ordersProtocol} from '@rattanspring/protocol';
import {
	type ConnectionArguments, exitCodes, keyMaterialFrom,
} from '../../connection.js';
import type {Command} from '../../command.js';
import {createTable} from '../../table.js';

const agentTimeoutMs = 5000;

type Arguments = ConnectionArguments & {readonly agent?: readonly string[]};

/** The reply of one agent, or why there was none. */
type AgentResult
	= | {readonly kind: 'ranks'; readonly ranks: readonly ordersProtocol.RankRow[]}
		| {readonly kind: 'unreachable'; readonly address: string; readonly message: string};

export const showCommand: Command = {
	command: 'show',
	describe: 'show the ranks that agents manage',
	builder: builder => builder.option('agent', {
		type: 'string', array: true, demandOption: true, describe: 'agent addresses as host:port',
	}),
	handler: show,
};

async function show(options: Arguments): Promise<void> {
	const clients = new GrpcClientPool({clientClass: ordersProtocol.OrdersClient, keys: keyMaterialFrom(options)});
	const answers = await Promise.all((options.agent ?? []).map(async address => fetchRanks(clients, address)));
	clients.close();
	const ranks = answers.flatMap(answer => answer.kind === 'ranks' ? answer.ranks : []);
	process.stdout.write(options.json ? `${JSON.stringify(ranks)}\n` : `${renderRanks(ranks)}\n`);
	for (const answer of answers) {
		if (answer.kind === 'unreachable') {
			process.stderr.write(`rattanspring: unreachable: agent ${answer.address}: ${answer.message}\n`);
			process.exitCode = exitCodes.unreachable;
		}
	}
}

async function fetchRanks(clients: GrpcClientPool<ordersProtocol.OrdersClient>, address: string): Promise<AgentResult> {
	return new Promise(resolve => {
		clients.clientFor(address).showRanks({}, new Metadata(), {deadline: Date.now() + agentTimeoutMs}, (error, reply) => {
			resolve(error ? {kind: 'unreachable', address, message: error.message} : {kind: 'ranks', ranks: reply.ranks});
		});
	});
}

function renderRanks(ranks: readonly ordersProtocol.RankRow[]): string {
	const table = createTable(['group', 'rank', 'formation', 'ready', 'map', 'from step', 'begun step', 'next map', 'phase', 'fencing']);
	const sortedRanks = ranks.toSorted((a, b) => a.groupId.localeCompare(b.groupId) || a.rank - b.rank);
	for (const rank of sortedRanks) {
		const isPending = rank.pendingPhase !== '';
		table.push([
			rank.groupId, rank.rank, rank.formation, rank.isReady ? 'yes' : 'no', rank.version, rank.fromStep, rank.begunStep, isPending ? rank.pendingVersion : '', rank.pendingPhase, rank.fencing,
		]);
	}

	return table.toString();
}

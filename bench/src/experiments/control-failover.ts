/**
Failover of the control group: three voter daemons with data folders, a writer that records accepted changes, and four faults.

The leader is killed. The leader is suspended with its connections open, like one behind a network partition, and resumed
later. A voter loses its disk and is replaced. The leader is lost immediately after that replacement.
*/

import {GrpcControlAccess} from '@rattanspring/control-client';
import type {FleetConfiguration} from '@rattanspring/types';
import {ChangeWriter} from '../control-failover/change-writer.js';
import {VoterProcesses} from '../control-failover/voter-processes.js';
import {Experiment, type ExperimentOptions, type ExperimentResult} from '../experiment.js';

/** Time for which the writer runs before and after a fault. */
const phaseMs = 4000;

/** Limit on the time without an accepted write. */
const maxWriteStopMs = 5000;

/** Time for which the leader is suspended. */
const suspendMs = 8000;

class ControlFailover extends Experiment {
	get summary(): string {
		return 'kills and silences the leader of three voters, then loses a second one right after a repair';
	}

	async run({log}: ExperimentOptions): Promise<ExperimentResult> {
		const voters = await VoterProcesses.start(3);
		const writer = new ChangeWriter(voters.addresses);
		try {
			writer.start();
			const killedStopMs = await this.#killLeader(voters, writer);
			log(`leader killed: no write accepted for ${killedStopMs} ms`);
			const silencedStopMs = await this.#suspendLeader(voters, writer);
			log(`leader suspended: no write accepted for ${silencedStopMs} ms`);
			const repairMs = await this.#replaceVoter(voters, writer);
			log(`voter replaced in ${repairMs} ms`);
			const secondLossStopMs = await this.#killLeaderPermanently(voters, writer);
			log(`second voter lost: no write accepted for ${secondLossStopMs} ms`);
			await writer.stop();
			const lost = await this.#countLost(voters, writer);
			return {
				figures: {
					killedStopMs, silencedStopMs, repairMs, secondLossStopMs, accepted: writer.accepted.length, lost,
				},
				bounds: [
					...['killedStopMs', 'silencedStopMs', 'secondLossStopMs'].map(figure => ({figure, atMost: maxWriteStopMs, source: 'issue 4: writes stopped at most 5 s'})),
					{figure: 'lost', atMost: 0, source: 'issue 4: accepted changes lost 0'},
					{figure: 'accepted', atLeast: 100, source: 'the writer must have been at work'},
				],
			};
		} finally {
			await writer.stop();
			await voters.stop();
		}
	}

	async #killLeader(voters: VoterProcesses, writer: ChangeWriter): Promise<number> {
		const leader = await voters.leader();
		await writer.writeFor(phaseMs);
		const atMs = Date.now();
		voters.kill(leader);
		await writer.writeFor(phaseMs);
		await voters.restart(leader);
		await writer.writeFor(phaseMs);
		return writer.longestWriteGapMs(atMs);
	}

	async #suspendLeader(voters: VoterProcesses, writer: ChangeWriter): Promise<number> {
		const leader = await voters.leader();
		const atMs = Date.now();
		voters.suspendProcess(leader);
		await writer.writeFor(suspendMs);
		voters.resumeProcess(leader);
		await writer.writeFor(phaseMs);
		return writer.longestWriteGapMs(atMs);
	}

	async #replaceVoter(voters: VoterProcesses, writer: ChangeWriter): Promise<number> {
		const leader = await voters.leader();
		const lost = voters.running.find(voter => voter !== leader)!;
		voters.kill(lost);
		await writer.writeFor(phaseMs);
		const atMs = Date.now();
		await voters.replace(lost);
		return Date.now() - atMs;
	}

	async #killLeaderPermanently(voters: VoterProcesses, writer: ChangeWriter): Promise<number> {
		const leader = await voters.leader();
		const atMs = Date.now();
		voters.kill(leader);
		await writer.writeFor(phaseMs);
		return writer.longestWriteGapMs(atMs);
	}

	/** Counts accepted changes that are missing from the configuration. */
	async #countLost(voters: VoterProcesses, writer: ChangeWriter): Promise<number> {
		const access = new GrpcControlAccess({addresses: voters.addresses});
		const read = await access.read<FleetConfiguration>('configuration');
		access.close();
		if (!read.ok) {
			return writer.accepted.length;
		}

		const present = new Set(read.value.callerKeys.map(key => key.keyId));
		return writer.accepted.filter(keyId => !present.has(keyId)).length;
	}
}

const experiment = new ControlFailover();
export default experiment;

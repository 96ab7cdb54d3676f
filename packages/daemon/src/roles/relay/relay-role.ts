/**
The relay role: distributes configuration and announcements within its failure domain.
*/

import type {Logger} from '@rattanspring/logger';
import type {KeyMaterial} from '@rattanspring/protocol';
import type {RelaySettings} from '@rattanspring/settings';
import type {Clock} from '@rattanspring/types';
import {GrpcListener} from '../../adapters/grpc-listener.js';
import {Role} from '../../ports/role.js';
import {ConfigurationSpread} from './configuration-spread.js';
import {TargetDirectory} from './target-directory.js';

/** Grace period for open calls at shutdown. */
const shutdownGraceMs = 500;

/** Options of the role. */
export type RelayRoleOptions = {
	readonly daemonId: string;
	readonly failureDomain: string;
	readonly settings: RelaySettings;
	readonly logger: Logger;
	readonly clock: Clock;
	readonly keys?: KeyMaterial;
};

/** Serves the configuration stream and the target directory. */
export class RelayRole extends Role {
	readonly #listener: GrpcListener;
	readonly #spread: ConfigurationSpread;
	readonly #directory: TargetDirectory;

	constructor(options: RelayRoleOptions) {
		super();
		const {settings} = options;
		this.#listener = new GrpcListener({listen: settings.listen, keys: options.keys});
		this.#spread = new ConfigurationSpread({...options, controlAddresses: settings.controlAddresses, peerRelayAddresses: settings.peerRelayAddresses});
		this.#directory = new TargetDirectory({
			...options, peerRelayAddresses: settings.peerRelayAddresses, controlAddresses: settings.controlAddresses,
		});
	}

	get name(): string {
		return 'relay';
	}

	async start(): Promise<void> {
		this.#spread.addTo(this.#listener);
		this.#directory.addTo(this.#listener);
		await this.#listener.start();
		this.#spread.start();
		this.#directory.start();
	}

	isReady(): boolean {
		return this.#spread.isReady;
	}

	async drain(): Promise<void> {
		// Nothing to drain: followers reconnect to another relay when this one closes their stream.
	}

	async stop(): Promise<void> {
		this.#spread.stop();
		this.#directory.stop();
		await this.#listener.stop(shutdownGraceMs);
	}
}

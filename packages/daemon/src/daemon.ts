/** The daemon: starts its roles and shuts them down gracefully. */

import {readFile} from 'node:fs/promises';
import {setTimeout as sleep} from 'node:timers/promises';
import type {DaemonSettings, ListenSettings} from '@rattanspring/settings';
import type {ConfigurationChange} from '@rattanspring/types';
import type {DependencyContainer} from 'tsyringe';
import {compose, tokens} from './composition.js';
import {startListening} from './listening.js';
import type {Role} from './ports/role.js';

/** Delay between attempts to submit the initial configuration. */
const initialConfigurationRetryDelayMs = 100;

/** A running daemon. */
export class Daemon {
	/** Starts a daemon with these settings. If a role fails to start, the roles are stopped and the error is rethrown. */
	static async start(settings: DaemonSettings): Promise<Daemon> {
		const daemon = new Daemon(compose(settings));
		try {
			await daemon.#start(settings);
		} catch (error) {
			await daemon.#cleanUpFailedStart();
			throw error;
		}

		return daemon;
	}

	readonly #scope: DependencyContainer;
	#stopping: Promise<void> | undefined;

	private constructor(scope: DependencyContainer) {
		this.#scope = scope;
	}

	/** Whether all roles are ready. */
	get isReady(): boolean {
		return this.#scope.resolve(tokens.roles).every(role => role.isReady());
	}

	/** Shuts down gracefully. Repeated calls return the same promise. */
	async stop(): Promise<void> {
		this.#stopping ??= this.#stop();
		return this.#stopping;
	}

	async #start(settings: DaemonSettings): Promise<void> {
		const logger = this.#scope.resolve(tokens.logger);
		for (const role of this.#scope.resolve(tokens.roles)) {
			await startRole(role, settings);
			logger.log('info', 'roleStarted', {role: role.name});
		}

		await startListening('admin.listen', settings.admin.listen, async () => this.#scope.resolve(tokens.adminServer).start());
		const file = settings.roles.control?.initialConfigurationFile;
		if (file) {
			const change = JSON.parse(await readFile(file, 'utf8')) as ConfigurationChange;
			await this.#applyInitialConfiguration(change);
		}
	}

	/** Stops everything that is already running after a failed start. */
	async #cleanUpFailedStart(): Promise<void> {
		this.#stopping = Promise.resolve();
		await Promise.allSettled(this.#scope.resolve(tokens.roles).map(async role => role.stop()));
		this.#scope.resolve(tokens.controlAccess).close();
	}

	/** Submits the change until it is answered here, or until the log has a configuration that any voter submitted. */
	async #applyInitialConfiguration(change: ConfigurationChange): Promise<void> {
		const log = this.#scope.resolve(tokens.fleetLog);
		if (!log) {
			return;
		}

		while (!this.#stopping) {
			const state = await log.confirmedState();
			if (state.ok && state.value.configuration.revision > 0) {
				return;
			}

			const answer = await log.submit({kind: 'change', change});
			if (answer.ok) {
				return;
			}

			await sleep(initialConfigurationRetryDelayMs);
		}
	}

	async #stop(): Promise<void> {
		const logger = this.#scope.resolve(tokens.logger);
		const roles = [...this.#scope.resolve(tokens.roles)].toReversed();
		for (const role of roles) {
			logger.log('info', 'roleDraining', {role: role.name});
			await role.drain();
			await role.stop();
			logger.log('info', 'roleStopped', {role: role.name});
		}

		this.#scope.resolve(tokens.controlAccess).close();
		await this.#scope.resolve(tokens.adminServer).stop();
	}
}

/** Starts a role. If its settings have a `listen` address, a failure to listen names that setting. */
async function startRole(role: Role, {roles}: DaemonSettings): Promise<void> {
	const start = async (): Promise<void> => role.start();
	const {listen} = (roles as Readonly<Partial<Record<string, {listen: ListenSettings}>>>)[role.name] ?? {};
	return listen ? startListening(`roles.${role.name}.listen`, listen, start) : start();
}

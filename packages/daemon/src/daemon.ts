/** One daemon: starts its roles, and stops them gracefully. */

import {readFile} from 'node:fs/promises';
import {setTimeout as sleep} from 'node:timers/promises';
import type {DaemonSettings, ListenSettings} from '@rattanspring/settings';
import type {ConfigurationChange} from '@rattanspring/types';
import type {DependencyContainer} from 'tsyringe';
import {compose, tokens} from './composition.js';
import {listening} from './listening.js';
import type {Role} from './ports/role.js';

/** Pause between offers of the initial configuration. */
const initialConfigurationPauseMs = 100;

/** A running daemon. */
export class Daemon {
	/** Starts a daemon of these settings. */
	static async start(settings: DaemonSettings): Promise<Daemon> {
		const daemon = new Daemon(compose(settings));
		try {
			await daemon.#start(settings);
		} catch (error) {
			await daemon.#undoStart();
			throw error;
		}

		return daemon;
	}

	readonly #scope: DependencyContainer;
	#stopping: Promise<void> | undefined;

	private constructor(scope: DependencyContainer) {
		this.#scope = scope;
	}

	/** Whether all roles can do their work. */
	get isReady(): boolean {
		return this.#scope.resolve(tokens.roles).every(role => role.isReady());
	}

	/** Graceful shutdown; a second call returns the same promise. */
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

		await listening('admin.listen', settings.admin.listen, async () => this.#scope.resolve(tokens.adminServer).start());
		const file = settings.roles.control?.initialConfigurationFile;
		if (file) {
			const change = JSON.parse(await readFile(file, 'utf8')) as ConfigurationChange;
			await this.#applyInitialConfiguration(change);
		}
	}

	/** Stops whatever runs after a start that failed. */
	async #undoStart(): Promise<void> {
		this.#stopping = Promise.resolve();
		await Promise.allSettled(this.#scope.resolve(tokens.roles).map(async role => role.stop()));
		this.#scope.resolve(tokens.controlAccess).close();
	}

	/** Offers the change until it was answered here or the log has a configuration, whichever voter took it. */
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

			await sleep(initialConfigurationPauseMs);
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

/** Starts a role; one that listens says so by its settings. */
async function startRole(role: Role, {roles}: DaemonSettings): Promise<void> {
	const start = async (): Promise<void> => role.start();
	const {listen} = (roles as Readonly<Partial<Record<string, {listen: ListenSettings}>>>)[role.name] ?? {};
	return listen ? listening(`roles.${role.name}.listen`, listen, start) : start();
}

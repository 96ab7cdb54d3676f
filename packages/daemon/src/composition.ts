/**
Composition root of a daemon: the only module that binds adapters to ports.
*/

import {type ControlAccess, GrpcControlAccess} from '@rattanspring/control-client';
import 'reflect-metadata'; // eslint-disable-line import-x/no-unassigned-import -- tsyringe relies on its side effect
import {WinstonLogger, type Logger} from '@rattanspring/logger';
import {DaemonMetrics} from '@rattanspring/metrics';
import type {KeyMaterial} from '@rattanspring/protocol';
import type {DaemonSettings} from '@rattanspring/settings';
import {type Clock} from '@rattanspring/types';
import {
	container, type DependencyContainer, instanceCachingFactory, type InjectionToken,
} from 'tsyringe';
import {ExitOnFatalError, SystemClock} from '@rattanspring/voter-group';
import {AdminServer} from './adapters/admin-server.js';
import {ReplicatedFleetLog} from './adapters/replicated-fleet-log.js';
import {ConfigurationFollower} from './configuration-follower.js';
import {InForceConfiguration} from './in-force-configuration.js';
import type {Role} from './ports/role.js';
import {AgentRole} from './roles/agent/agent-role.js';
import {ControlRole} from './roles/control/control-role.js';
import {createVotersService} from './roles/control/voters-service.js';
import {EntryRole} from './roles/entry/entry-role.js';
import {RelayRole} from './roles/relay/relay-role.js';

/** Injection tokens. */
export const tokens = {
	settings: Symbol('settings') as InjectionToken<DaemonSettings>,
	keys: Symbol('keys') as InjectionToken<{readonly material?: KeyMaterial}>,
	logger: Symbol('logger') as InjectionToken<Logger>,
	clock: Symbol('clock') as InjectionToken<Clock>,
	metrics: Symbol('metrics') as InjectionToken<DaemonMetrics>,
	inForce: Symbol('inForce') as InjectionToken<InForceConfiguration>,
	fleetLog: Symbol('fleetLog') as InjectionToken<ReplicatedFleetLog | undefined>,
	controlAccess: Symbol('controlAccess') as InjectionToken<ControlAccess>,
	roles: Symbol('roles') as InjectionToken<readonly Role[]>,
	adminServer: Symbol('adminServer') as InjectionToken<AdminServer>,
};

/** Registers all dependencies of a daemon with these settings. */
export function compose(settings: DaemonSettings): DependencyContainer {
	const scope = container.createChildContainer();
	scope.registerInstance(tokens.settings, settings);
	scope.registerInstance(tokens.keys, {material: keyMaterialFrom(settings)});
	register(scope, tokens.logger, () => new WinstonLogger({level: settings.logLevel, fields: {daemon: settings.vm}}));
	register(scope, tokens.clock, () => new SystemClock());
	register(scope, tokens.metrics, () => new DaemonMetrics());
	register(scope, tokens.inForce, resolver => new InForceConfiguration({clock: resolver.resolve(tokens.clock), failureDomain: settings.failureDomain}));
	register(scope, tokens.fleetLog, resolver => createFleetLog(resolver));
	register(scope, tokens.controlAccess, resolver => new GrpcControlAccess({
		addresses: settings.roles.entry?.controlAddresses ?? [], keys: resolver.resolve(tokens.keys).material,
	}));
	register(scope, tokens.roles, resolver => createRoles(resolver));
	register(scope, tokens.adminServer, resolver => new AdminServer({
		listen: settings.admin.listen, metrics: resolver.resolve(tokens.metrics), roles: resolver.resolve(tokens.roles),
	}));
	return scope;
}

function register<T>(scope: DependencyContainer, token: InjectionToken<T>, factory: (resolver: DependencyContainer) => T): void {
	scope.register(token, {useFactory: instanceCachingFactory(factory)});
}

function keyMaterialFrom(settings: DaemonSettings): KeyMaterial | undefined {
	const {transport} = settings;
	return transport.mode === 'plaintext' ? undefined : transport;
}

/** Creates the fleet log of a voter. Daemons that are not voters have none. */
function createFleetLog(resolver: DependencyContainer): ReplicatedFleetLog | undefined {
	const {dataFolder, roles} = resolver.resolve(tokens.settings);
	const logger = resolver.resolve(tokens.logger);
	return roles.control && dataFolder
		? new ReplicatedFleetLog({
			settings: roles.control,
			dataFolder,
			fatalErrorHandler: new ExitOnFatalError(logger),
			logger,
			clock: resolver.resolve(tokens.clock),
			keys: resolver.resolve(tokens.keys).material,
		})
		: undefined;
}

/** Creates the roles in start order. They stop in reverse order. */
function createRoles(resolver: DependencyContainer): Role[] {
	const settings = resolver.resolve(tokens.settings);
	const {control, relay, agent, entry} = settings.roles;
	const shared = {
		daemonId: settings.vm,
		vm: settings.vm,
		failureDomain: settings.failureDomain,
		logger: resolver.resolve(tokens.logger),
		clock: resolver.resolve(tokens.clock),
		keys: resolver.resolve(tokens.keys).material,
	};
	const roles: Role[] = [];
	const log = resolver.resolve(tokens.fleetLog);
	if (control && log) {
		roles.push(new ControlRole({
			...shared, settings: control, log, services: [log.service, createVotersService({log, clock: shared.clock})],
		}));
	}

	if (relay) {
		roles.push(new RelayRole({...shared, settings: relay}));
	}

	const relayAddresses = entry?.relayAddresses ?? agent?.relayAddresses;
	if (relayAddresses) {
		roles.push(createConfigurationFollower(resolver, relayAddresses));
	}

	if (agent) {
		roles.push(new AgentRole({...shared, settings: agent, inForce: resolver.resolve(tokens.inForce)}));
	}

	if (entry) {
		roles.push(new EntryRole({
			...shared,
			settings: entry,
			inForce: resolver.resolve(tokens.inForce),
			control: resolver.resolve(tokens.controlAccess),
			metrics: resolver.resolve(tokens.metrics),
		}));
	}

	return roles;
}

/** Creates the configuration follower that the entry and the agent of a daemon share. */
function createConfigurationFollower(resolver: DependencyContainer, relayAddresses: readonly string[]): ConfigurationFollower {
	const {vm, failureDomain, roles} = resolver.resolve(tokens.settings);
	return new ConfigurationFollower({
		follower: {
			daemonId: vm, vm, failureDomain, roles: Object.keys(roles),
		},
		relayAddresses,
		inForce: resolver.resolve(tokens.inForce),
		metrics: resolver.resolve(tokens.metrics),
		clock: resolver.resolve(tokens.clock),
		keys: resolver.resolve(tokens.keys).material,
	});
}

/** The daemon rattanspringd: composes roles, ports and adapters into one process. */
export {Daemon} from './daemon.js';
export {MemoryFleetLog} from './adapters/memory-fleet-log.js';
export {FleetLog} from './ports/fleet-log.js';
export * from './test-fleet.js';
export {runInSlices, type SliceOptions} from './adapters/run-in-slices.js';
export {SystemClock} from '@rattanspring/voter-group';
export {ConfigurationFollower} from './configuration-follower.js';
export {InForceConfiguration} from './in-force-configuration.js';
export {ControlRole} from './roles/control/control-role.js';
export {ConfigurationSpread} from './roles/relay/configuration-spread.js';
export {GrpcListener} from './adapters/grpc-listener.js';

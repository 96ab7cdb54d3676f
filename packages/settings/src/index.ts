/** Reads and validates the settings file of a daemon. */
export {parseSettings, readSettings} from './read-settings.js';
export type {
	AgentSettings, ControlSettings, DaemonSettings, EntrySettings, ListenSettings, RelaySettings, TargetSettings,
} from './schema.js';
export {settingsSchema} from './schema.js';

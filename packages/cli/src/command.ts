/** The type of a command. */

import type {CommandModule} from 'yargs';
import type {ConnectionArguments} from './connection.js';

export type Command = CommandModule<ConnectionArguments, ConnectionArguments>;

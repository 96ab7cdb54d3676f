/** All top-level commands; each has its own folder. */

import type {Command} from '../command.js';
import {callerKeysCommand} from './caller-keys/index.js';
import {configCommand} from './config/index.js';
import {defaultsCommand} from './defaults/index.js';
import {domainsCommand} from './domains/index.js';
import {exceptionsCommand} from './exceptions/index.js';
import {groupsCommand} from './groups/index.js';
import {keysCommand} from './keys/index.js';
import {operatorKeysCommand} from './operator-keys/index.js';
import {reportCommand} from './report/index.js';
import {requestsCommand} from './requests/index.js';
import {suspectsCommand} from './suspects/index.js';
import {targetsCommand} from './targets/index.js';
import {votersCommand} from './voters/index.js';

/** The commands in the order in which help lists them. */
export const commands: readonly Command[] = [
	configCommand,
	defaultsCommand,
	exceptionsCommand,
	callerKeysCommand,
	operatorKeysCommand,
	votersCommand,
	targetsCommand,
	domainsCommand,
	groupsCommand,
	requestsCommand,
	suspectsCommand,
	reportCommand,
	keysCommand,
];

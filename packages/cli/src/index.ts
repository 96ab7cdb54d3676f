/** The command-line client for operators. */
export {commands} from './commands/index.js';

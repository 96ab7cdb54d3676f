/** Runs one stand-in as a separate process: `npm run stand-in -- engine --port 9001`. */

import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {EngineServer} from './engine-server.js';
import {PlainService} from './plain-service.js';
import {RankGroupServer} from './rank-group-server.js';
import {WeightStoreServer} from './weight-store.js';

/** Exit code of an engine that crashed while handling a request. */
const exitCrashed = 70;

const listenOptions = {
	host: {type: 'string', default: '127.0.0.1', describe: 'address to listen on'},
	port: {type: 'number', demandOption: true, describe: 'port to listen on'},
} as const;

await yargs(hideBin(process.argv))
	.scriptName('stand-in')
	.command('engine', 'a model engine', builder => builder.options({
		...listenOptions,
		'step-ms': {type: 'number', default: 20},
		'max-batch': {type: 'number', default: 16},
		'load-lag-ms': {type: 'number', default: 0},
		'cache-event-gap': {type: 'number', default: 0},
		'checks-fencing': {type: 'boolean', default: false},
		'crash-text': {type: 'string'},
	}), async argv => {
		await run(new EngineServer({
			...argv,
			engine: {stepMs: argv.stepMs, maxBatch: argv.maxBatch},
			onCrash() {
				process.exit(exitCrashed);
			},
		}));
	})
	.command('plain-service', 'a service that accepts orders', builder => builder.options({...listenOptions, 'delay-ms': {type: 'number', default: 0}}), async argv => {
		await run(new PlainService(argv));
	})
	.command('weight-store', 'a rate-limited weight store', builder => builder.options({...listenOptions, 'bytes-per-ms': {type: 'number', default: 3_000_000}}), async argv => {
		await run(new WeightStoreServer(argv));
	})
	.command('rank-group', 'a group of ranks that run in lockstep', builder => builder.options({
		...listenOptions,
		'rank-count': {type: 'number', default: 8},
		'token-time-ms': {type: 'number', default: 0.001},
		'fixed-step-ms': {type: 'number', default: 10},
	}), async argv => {
		await run(new RankGroupServer(argv));
	})
	.demandCommand(1, 'Specify a stand-in.')
	.strict()
	.parse();

type StandIn = {readonly url: string; start(): Promise<void>; stop(): Promise<void>};

async function run(standIn: StandIn): Promise<void> {
	await standIn.start();
	process.stdout.write(`${standIn.url}\n`);
	const stop = async (): Promise<void> => {
		await standIn.stop();
		process.exit(0);
	};

	process.once('SIGTERM', () => {
		void stop();
	});
}

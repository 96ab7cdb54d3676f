/** Linter and formatter settings: XO's rules, plus the purity rule for cores. */
const pureCores = ['types', 'replicated-log', 'fleet-state', 'request-ledger', 'directory', 'routing', 'expert-map', 'service-level', 'desired-state', 'target-table', 'placement'];
const clocks = ['Date', 'performance', 'setTimeout', 'setInterval', 'setImmediate', 'queueMicrotask', 'process', 'fetch', 'crypto'];
const testFunctions = ['describe', 'it', 'test', 'suite', 'before', 'after', 'beforeEach', 'afterEach'];
const clockMessage = 'A pure core takes time, randomness and messages as inputs.';
const maxLineLength = {
	code: 200, ignoreStrings: true, ignoreTemplateLiterals: true, ignoreRegExpLiterals: true,
};
const knownSafeCalls = {allowForKnownSafeCalls: [{from: 'package', name: testFunctions, package: 'node:test'}]};

/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['**/dist/**', 'target/**', 'packages/protocol/src/generated/**']},
	{
		files: ['**/*.ts', '**/*.js'],
		rules: {
			// Unit suffixes (timeoutMs) and the usual short names of the field are wanted.
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/name-replacements': 'off',
			// Attempts, retries and drains are sequential on purpose: one loop on one thread.
			'no-await-in-loop': 'off',
			// `describe` and `it` return promises that the test runner itself awaits.
			'@typescript-eslint/no-floating-promises': ['error', knownSafeCalls],
			// The published types of gRPC, HTTP and JSON libraries are wider than what they deliver.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// The `u` flag suffices on the supported version of Node.
			'require-unicode-regexp': 'off',
			// Command-line programs and their entry points end the process with their own exit codes.
			'unicorn/no-process-exit': 'off',
			// Options are grouped on a line by meaning.
			'@stylistic/max-len': ['error', maxLineLength],
		},
	},
	{
		// Names given by published interfaces, and the dotted keys of the fleet configuration.
		files: ['packages/protocol/src/{channel-options,credentials}.ts', 'packages/daemon/src/adapters/access-policy.ts', 'packages/fleet-state/src/catalogue.ts', 'packages/stand-ins/src/engine-server.ts'],
		rules: {'@typescript-eslint/naming-convention': 'off'},
	},
	{
		// Names of the platform's wire, and of the headers and options of libraries.
		files: ['platform/src/**/*.ts', 'packages/voter-group/src/grpc-peer-transport.ts', 'packages/gateway/src/{caller-response,request-flow}.ts'],
		rules: {'@typescript-eslint/naming-convention': 'off'},
	},
	{
		// The shapes of gRPC callbacks and of parsed JSON have null; bytes from the network are searched with Buffer's methods.
		files: ['platform/src/**/*.ts', 'packages/{fleet-link,fleet-control,rank-agent,gateway,target-connection,byte-collector}/src/**/*.ts'],
		rules: {'@typescript-eslint/no-restricted-types': 'off'},
	},
	{
		files: pureCores.map(name => `packages/${name}/src/**/*.ts`),
		ignores: ['**/*.test.ts'],
		rules: {
			'no-restricted-globals': ['error', ...clocks.map(name => ({name, message: clockMessage}))],
			'no-restricted-properties': ['error', {object: 'Math', property: 'random', message: clockMessage}],
		},
	},
	{
		files: ['**/*.test.ts', '**/*.fuzz.ts', '**/simulation/**/*.ts'],
		rules: {
			// Test libraries are development dependencies of the root package.
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
];

export default config;

/** Import directions between packages: types <- pure cores <- adapters <- daemon, cli. */
const pureCores = '^packages/(types|replicated-log|fleet-state|request-ledger|directory|routing|expert-map|service-level|desired-state|target-table|placement|crash-evidence|target-limits|account-shares|domain-drain|outlier-ejection)/src';
const testFile = '[.]test[.]ts$';

module.exports = {
	forbidden: [
		{
			name: 'no-circular', severity: 'error', from: {}, to: {circular: true},
		},
		{
			name: 'pure-core-does-no-io',
			comment: 'A pure core imports no Node module but node:crypto, for digests.',
			severity: 'error',
			from: {path: pureCores, pathNot: testFile},
			to: {dependencyTypes: ['core'], pathNot: '^(node:)?crypto$'},
		},
		{
			name: 'types-import-nothing',
			severity: 'error',
			from: {path: '^packages/types/src', pathNot: testFile},
			to: {pathNot: '^packages/types/src'},
		},
		{
			name: 'pure-core-imports-cores-only',
			severity: 'error',
			from: {path: pureCores, pathNot: testFile},
			to: {path: '^packages/(settings|logger|metrics|protocol|log-storage|daemon|cli|stand-ins)/'},
		},
		{
			name: 'nothing-imports-the-programs',
			severity: 'error',
			from: {path: '^packages/(?!daemon|cli)', pathNot: testFile},
			to: {path: '^packages/(daemon|cli)/'},
		},
		{
			name: 'stand-ins-stay-out-of-the-product',
			severity: 'error',
			from: {path: '^packages/(?!stand-ins/)', pathNot: `${testFile}|^packages/daemon/src/embedded`},
			to: {path: '^packages/stand-ins/'},
		},
		{
			name: 'the-test-kit-stays-in-tests',
			severity: 'error',
			from: {path: '^(packages/(?!test-kit/)|platform/)', pathNot: `${testFile}|^packages/daemon/src/test-fleet`},
			to: {path: '^packages/test-kit/'},
		},
		{
			name: 'a-package-is-used-through-its-face',
			severity: 'error',
			from: {path: '^packages/([^/]+)/src'},
			to: {path: '^packages/([^/]+)/(src|dist)/(?!index[.])', pathNot: '^packages/$1/'},
		},
		{
			name: 'nothing-imports-the-platform',
			severity: 'error',
			from: {path: '^(packages|bench)/'},
			to: {path: '^platform/'},
		},
		{
			name: 'not-resolvable', severity: 'error', from: {}, to: {couldNotResolve: true},
		},
	],
	options: {
		doNotFollow: {path: 'node_modules|dist'},
		exclude: {path: '(^|/)dist/'},
		tsPreCompilationDeps: true,
		enhancedResolveOptions: {exportsFields: ['exports'], conditionNames: ['import', 'types', 'default']},
		includeOnly: '^packages|^platform|^node:|^crypto$',
	},
};

/** Bundles the platform programs into `target/`: one chunk per role, loaded only by that role. */
import {execFileSync} from 'node:child_process';
import {build} from 'esbuild';

execFileSync('npx', ['tsc', '-b', 'platform'], {stdio: 'inherit'});
await build({
	entryPoints: {rattanspringd: 'platform/dist/main.js'},
	outdir: 'target',
	bundle: true,
	splitting: true,
	format: 'esm',
	platform: 'node',
	target: 'node20',
	sourcemap: false,
	minifyWhitespace: true,
	minifySyntax: true,
	// CommonJS dependencies in the bundle load built-in modules with `require`, which an ES module lacks.
	banner: {js: 'import {createRequire as createRequireOfBundle} from \'node:module\'; const require = createRequireOfBundle(import.meta.url);'},
	logLevel: 'warning',
});

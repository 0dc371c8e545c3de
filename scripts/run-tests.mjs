// Compiles the sources and runs all tests, or the test files named on the command line.
import { spawnSync } from 'node:child_process';
import { join } from 'node:path';
import { compileSources } from './compile.mjs';

const root = join(import.meta.dirname, '..');
const ava = join(root, 'node_modules', 'ava', 'entrypoints', 'cli.mjs');
const args = process.argv.slice(2);
const flags = args.filter((arg) => arg.startsWith('--'));
const files = args.filter((arg) => !arg.startsWith('--')).map((n) => `build/test/${n}.test.js`);

await compileSources();
const run = spawnSync(process.execPath, [ava, ...flags, ...files], {
  cwd: root,
  stdio: 'inherit',
  env: { ...process.env, NODE_OPTIONS: '--enable-source-maps' },
});
process.exitCode = run.status ?? 1;

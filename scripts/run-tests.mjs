// Compiles the sources and runs the whole test suite, or the test files named on the command line.
import { spawnSync } from 'node:child_process';
import { join } from 'node:path';
import { compileSources } from './compile.mjs';

const root = join(import.meta.dirname, '..');
await compileSources();
const named = process.argv.slice(2).map((name) => `build/test/${name}.test.js`);
const ava = join(root, 'node_modules', 'ava', 'entrypoints', 'cli.mjs');
const run = spawnSync(process.execPath, [ava, ...named], {
  cwd: root,
  stdio: 'inherit',
  env: { ...process.env, NODE_OPTIONS: '--enable-source-maps' },
});
process.exitCode = run.status ?? 1;

// Builds the binary and runs the demonstration with it: a mesh of processes on loopback.
import { spawnSync } from 'node:child_process';
import { join } from 'node:path';
import { compileSources } from './compile.mjs';

const root = join(import.meta.dirname, '..');
const binary = join(root, 'dist', 'bilberryswitch');

await import('./build-binary.mjs');
await compileSources();
const run = spawnSync(process.execPath, [join(root, 'build', 'bench', 'demo.js')], {
  cwd: root,
  stdio: 'inherit',
  env: { ...process.env, BILBERRYSWITCH_BINARY: binary },
});
process.exitCode = run.status ?? 1;

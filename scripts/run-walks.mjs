// Prints what a small mesh of processes logs about failing requests.
import { spawnSync } from 'node:child_process';
import { join } from 'node:path';
import { compileSources } from './compile.mjs';

const root = join(import.meta.dirname, '..');
await compileSources();
const walks = join(root, 'build', 'bench', 'failure-walks.js');
const run = spawnSync(process.execPath, [walks], { cwd: root, stdio: 'inherit' });
process.exitCode = run.status ?? 1;

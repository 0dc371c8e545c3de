// Builds the program for the users' machines: the bundle, its code cache, and the file that starts it.
import { execFileSync } from 'node:child_process';
import { copyFileSync, mkdirSync } from 'node:fs';
import { join } from 'node:path';
import { bundleProgram } from './bundle.mjs';

const root = join(import.meta.dirname, '..');
const target = join(root, 'target');
const start = join(target, 'start.cjs');

mkdirSync(target, { recursive: true });
await bundleProgram(join(root, 'platform', 'main.ts'), join(target, 'bilberryswitch.cjs'));
copyFileSync(join(root, 'scripts', 'start.cjs'), start);
// The cache holds only for the flags under which it was made; they are those of deploy/system.toml.
execFileSync(process.execPath, ['--max-semi-space-size=1', start, 'version'], {
  stdio: 'inherit',
  env: { ...process.env, BILBERRYSWITCH_WRITE_CODE_CACHE: '1' },
});

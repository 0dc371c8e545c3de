// Builds the program for the users' machines: the bundle, its V8 code cache, and its start file.
import { execFileSync } from 'node:child_process';
import { copyFileSync, mkdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { parse } from 'smol-toml';
import { bundleProgram } from './bundle.mjs';

const root = join(import.meta.dirname, '..');
const target = join(root, 'target');
const start = join(target, 'start.cjs');

mkdirSync(target, { recursive: true });
await bundleProgram(join(root, 'platform', 'main.ts'), join(target, 'bilberryswitch.cjs'));
copyFileSync(join(root, 'scripts', 'start.cjs'), start);
// The code cache is valid only for the Node.js flags with which it was built, so all roles run with the same flags.
const { roles } = parse(readFileSync(join(root, 'deploy', 'system.toml'), 'utf8'));
const [flags] = Object.values(roles).map(({ run }) => run.split(' ').filter(isFlag));
execFileSync(process.execPath, [...flags, start, 'version'], {
  stdio: 'inherit',
  env: { ...process.env, BILBERRYSWITCH_WRITE_CODE_CACHE: '1' },
});

function isFlag(word, index, words) {
  return index > 0 && index < words.indexOf('target/start.cjs');
}

// Compiles the sources and runs one benchmark: `npm run bench -- NAME` runs bench/NAME-bench.ts.
import { spawnSync } from 'node:child_process';
import { existsSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { compileSources } from './compile.mjs';

const root = join(import.meta.dirname, '..');
const [name, ...rest] = process.argv.slice(2);
const SUFFIX = '-bench.ts';

await compileSources();
const program = join(root, 'build', 'bench', `${name}-bench.js`);
if (name === undefined || !existsSync(program)) {
  const names = readdirSync(join(root, 'bench')).filter((file) => file.endsWith(SUFFIX));
  console.error(`name one of: ${names.map((file) => file.slice(0, -SUFFIX.length)).join(', ')}`);
  process.exitCode = 2;
} else {
  const run = spawnSync(process.execPath, ['--enable-source-maps', program, ...rest], {
    cwd: root,
    stdio: 'inherit',
  });
  process.exitCode = run.status ?? 1;
}

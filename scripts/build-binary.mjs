// Builds a single executable: bundles the program and injects it into a copy of the Node.js executable.
import { chmodSync, copyFileSync, mkdirSync, writeFileSync, rmSync } from 'node:fs';
import { execFileSync } from 'node:child_process';
import { join } from 'node:path';
import { bundleProgram } from './bundle.mjs';

const root = join(import.meta.dirname, '..');
const dist = join(root, 'dist');
const bundle = join(dist, 'bilberryswitch.cjs');
const blob = join(dist, 'bilberryswitch.blob');
const seaConfig = join(dist, 'sea-config.json');
const binary = join(dist, 'bilberryswitch');
const SEA_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

mkdirSync(dist, { recursive: true });
await bundleProgram(join(root, 'src/program/main.ts'), bundle);
writeFileSync(
  seaConfig,
  JSON.stringify({ main: bundle, output: blob, disableExperimentalSEAWarning: true }),
);
execFileSync(process.execPath, ['--experimental-sea-config', seaConfig], { stdio: 'ignore' });
rmSync(binary, { force: true });
copyFileSync(process.execPath, binary);
chmodSync(binary, 0o755);
execFileSync(
  process.execPath,
  [
    join(root, 'node_modules', 'postject', 'dist', 'cli.js'),
    binary,
    'NODE_SEA_BLOB',
    blob,
    '--sentinel-fuse',
    SEA_FUSE,
  ],
  { stdio: 'ignore' },
);

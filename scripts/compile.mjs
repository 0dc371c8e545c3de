// Transpiles src, platform, test and bench to build/ without type checks; `npm run types` checks the types.
import { readdirSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { build } from 'esbuild';

const root = join(import.meta.dirname, '..');

function listSources(folder) {
  return readdirSync(join(root, folder), { recursive: true })
    .filter((name) => name.endsWith('.ts'))
    .map((name) => join(root, folder, name));
}

export async function compileSources() {
  rmSync(join(root, 'build'), { recursive: true, force: true });
  await build({
    entryPoints: ['src', 'platform', 'test', 'bench'].flatMap(listSources),
    outdir: join(root, 'build'),
    outbase: root,
    platform: 'node',
    format: 'esm',
    target: 'node20',
    sourcemap: 'linked',
    logLevel: 'warning',
  });
}

if (process.argv[1] === import.meta.filename) await compileSources();

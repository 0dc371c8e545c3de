// Builds the program for the users' machines: the bundle, its V8 code cache, and its start file.
import { execFileSync } from 'node:child_process';
import { copyFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { Module } from 'node:module';
import { join } from 'node:path';
import { bundleProgram } from './bundle.mjs';
import { warmUp } from './warm-up.mjs';

const root = join(import.meta.dirname, '..');
const target = join(root, 'target');
const start = join(target, 'start.cjs');
const bundle = join(target, 'bilberryswitch.cjs');

mkdirSync(target, { recursive: true });
await bundleProgram(join(root, 'platform', 'main.ts'), bundle);
wrapBundle();
copyFileSync(join(root, 'scripts', 'start.cjs'), start);
await writeCodeCache({ BILBERRYSWITCH_WRITE_CODE_CACHE: '1' });
const output = runStart({});
if (output.includes('code-cache')) throw new Error(`the code cache is not used: ${output}`);
console.log(output.trim());

/** Wraps the bundle at the build, so that its processes do not hold the text twice. */
function wrapBundle() {
  const text = readFileSync(bundle, 'utf8');
  // The start file reads one byte per character.
  if (/[^\x00-\x7f]/.test(text)) throw new Error('the bundle has a character outside of ASCII');
  writeFileSync(bundle, Module.wrap(text));
}

/** Writes the cache after a run that serves calls; without one, a smaller cache has to do. */
async function writeCodeCache(variables) {
  runStart(variables);
  try {
    await warmUp(start, join(target, 'warm-up'), variables);
  } catch (error) {
    console.log(`the code cache holds only the start: ${error.message}`);
  }
}

function runStart(variables) {
  const options = { encoding: 'utf8', env: { ...process.env, ...variables } };
  return execFileSync(process.execPath, [start, 'version'], options);
}

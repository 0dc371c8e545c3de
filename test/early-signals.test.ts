/** Signals that come before the program is loaded. */
import { execFileSync, spawn } from 'node:child_process';
import { once } from 'node:events';
import { copyFileSync, mkdtempSync, rmSync } from 'node:fs';
import { open } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';

const START_FILE = join(import.meta.dirname, '..', '..', 'scripts', 'start.cjs');

test('reload signal while the program is loaded: ignored', async (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'bilberryswitch-'));
  t.teardown(() => {
    rmSync(folder, { recursive: true });
  });
  copyFileSync(START_FILE, join(folder, 'start.cjs'));
  const bundle = join(folder, 'bilberryswitch.cjs');
  execFileSync('mkfifo', [bundle]);
  const child = spawn(process.execPath, [join(folder, 'start.cjs'), 'run'], { stdio: 'ignore' });
  const ended = once(child, 'exit');
  // Opening the pipe waits until the start file reads the program.
  const pipe = await open(bundle, 'w');
  child.kill('SIGHUP');
  await new Promise((resolve) => setTimeout(resolve, 100));
  await pipe.writeFile('(function () { process.exitCode = 7; })').catch(() => undefined);
  await pipe.close();
  t.deepEqual(await ended, [7, null]);
});

/** Settings that change at run time, with and without a signal. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { waitFor } from '../bench/mesh.js';
import { SystemClock } from '../src/clock.js';
import type { Settings } from '../src/program/settings.js';
import { loadSettings } from '../src/program/settings.js';
import { SettingsWatcher } from '../src/program/settings-watcher.js';

const folder = mkdtempSync(join(tmpdir(), 'bilberryswitch-watch-'));
test.after.always(() => {
  rmSync(folder, { recursive: true });
});

const VALID_SETTINGS = `host = "proxy-0"
region = "r"
data_centre = "a"
roles = ["proxy"]
control = "10.0.0.1:7000"

[proxy]
calls = "10.0.0.1:7001"
announce = "127.0.0.1:7002"
seeds = ["10.0.0.2:7000"]
`;

function startWatcher() {
  const path = join(folder, 'node.toml');
  writeFileSync(path, VALID_SETTINGS);
  const applied: Settings[] = [];
  const events: string[] = [];
  const watcher = new SettingsWatcher({
    path,
    loaded: loadSettings(path),
    clock: new SystemClock(),
    apply: (settings) => applied.push(settings),
    log: (event) => events.push(event),
  });
  watcher.start();
  return { path, applied, events, watcher };
}

test.serial('changed file: applied', async (t) => {
  const { path, applied, watcher } = startWatcher();
  t.teardown(() => {
    watcher.stop();
  });
  await new Promise((resolve) => setTimeout(resolve, 700));
  writeFileSync(path, VALID_SETTINGS.replace('10.0.0.2:7000', '10.0.0.33:7000'));
  const [settings] = await waitFor('the change', () => (applied.length > 0 ? applied : undefined));
  t.is(settings?.proxy?.seeds[0], '10.0.0.33:7000' as never);
});

// Guards against new seeds that are never read because the file changed while the process was starting.
test.serial('file changed right after the start: applied', async (t) => {
  const { path, applied, watcher } = startWatcher();
  t.teardown(() => {
    watcher.stop();
  });
  writeFileSync(path, VALID_SETTINGS.replace('10.0.0.2:7000', '10.0.0.33:7000'));
  const [settings] = await waitFor('the change', () => (applied.length > 0 ? applied : undefined));
  t.is(settings?.proxy?.seeds[0], '10.0.0.33:7000' as never);
});

test.serial('unchanged file: not applied again', async (t) => {
  const { applied, events, watcher } = startWatcher();
  await new Promise((resolve) => setTimeout(resolve, 1_200));
  watcher.stop();
  t.deepEqual(applied, []);
  t.deepEqual(events, []);
});

test.serial('signal with invalid settings: not applied', async (t) => {
  const { path, applied, events, watcher } = startWatcher();
  writeFileSync(path, VALID_SETTINGS.replace('roles', 'rolls'));
  process.kill(process.pid, 'SIGHUP');
  await waitFor('the rejection', () => events.find((event) => event === 'settings-rejected'));
  t.deepEqual(applied, []);
  watcher.stop();
});

test.serial('signal after the stop: ignored', async (t) => {
  const { applied, watcher } = startWatcher();
  watcher.stop();
  process.kill(process.pid, 'SIGHUP');
  await new Promise((resolve) => setTimeout(resolve, 100));
  t.deepEqual(applied, []);
});

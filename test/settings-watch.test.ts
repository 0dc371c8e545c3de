/** Settings that change while a process runs, with and without a signal. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { waitFor } from '../bench/mesh.js';
import { SystemClock } from '../src/clock.js';
import type { Settings } from '../src/program/settings.js';
import { SettingsWatch } from '../src/program/settings-watcher.js';

const folder = mkdtempSync(join(tmpdir(), 'bilberryswitch-watch-'));
test.after.always(() => {
  rmSync(folder, { recursive: true });
});

const GOOD = `host = "proxy-0"
region = "r"
data_centre = "a"
roles = ["proxy"]
control = "10.0.0.1:7000"

[proxy]
calls = "10.0.0.1:7001"
announce = "127.0.0.1:7002"
seeds = ["10.0.0.2:7000"]
`;

function startWatch() {
  const path = join(folder, 'node.toml');
  writeFileSync(path, GOOD);
  const applied: Settings[] = [];
  const events: string[] = [];
  const watch = new SettingsWatch({
    path,
    clock: new SystemClock(),
    apply: (settings) => applied.push(settings),
    log: (event) => events.push(event),
  });
  watch.start();
  return { path, applied, events, watch };
}

test.serial('changed file: taken over', async (t) => {
  const { path, applied, watch } = startWatch();
  t.teardown(() => {
    watch.stop();
  });
  await new Promise((resolve) => setTimeout(resolve, 700));
  writeFileSync(path, GOOD.replace('10.0.0.2:7000', '10.0.0.33:7000'));
  const [settings] = await waitFor('the change', () => (applied.length > 0 ? applied : undefined));
  t.is(settings?.proxy?.seeds[0], '10.0.0.33:7000' as never);
});

test.serial('signal: faults change nothing', async (t) => {
  const { path, applied, events, watch } = startWatch();
  writeFileSync(path, GOOD.replace('roles', 'rolls'));
  process.kill(process.pid, 'SIGHUP');
  await waitFor('the rejection', () => events.find((event) => event === 'settings-rejected'));
  t.deepEqual(applied, []);
  watch.stop();
});

test.serial('signal after the stop: ignored', async (t) => {
  const { applied, watch } = startWatch();
  watch.stop();
  process.kill(process.pid, 'SIGHUP');
  await new Promise((resolve) => setTimeout(resolve, 100));
  t.deepEqual(applied, []);
});

/** Stop signals that come while a process starts. */
import { execFileSync } from 'node:child_process';
import { open } from 'node:fs/promises';
import { join } from 'node:path';
import test from 'ava';
import { request } from 'undici';
import { findFreeAddress, Mesh, waitFor } from '../bench/mesh.js';

/** Starts a proxy whose start waits for its floor file, a named pipe, after its listeners are open. */
async function startHalfway(mesh: Mesh) {
  const [control, calls, announce, ready] = await Promise.all([
    findFreeAddress(),
    findFreeAddress(),
    findFreeAddress(),
    findFreeAddress(),
  ]);
  const floorFile = join(mesh.createFolder('floor'), 'version-floor.json');
  execFileSync('mkfifo', [floorFile]);
  const settings = `host = "proxy-0"
region = "hu-central"
data_centre = "a"
roles = ["proxy"]
control = "${control}"
data_folder = "${mesh.folder}/floor"

[proxy]
calls = "${calls}"
announce = "${announce}"
ready = "${ready}"
linger_ms = 200
sources = ["${await findFreeAddress()}"]
`;
  const proxy = mesh.startProgram('proxy-0', settings);
  const readStatus = async (address: string): Promise<number | undefined> => {
    const answer = await request(`http://${address}/`, { reset: true }).catch(() => undefined);
    await answer?.body.dump();
    return answer?.statusCode;
  };
  await waitFor(
    'the last listener',
    async () => (await readStatus(announce)) !== undefined || undefined,
  );
  const continueStart = async (): Promise<void> => {
    const pipe = await open(floorFile, 'w');
    await pipe.close();
  };
  return { proxy, calls, ready, readStatus, continueStart };
}

test('signal during the start: stops in order', async (t) => {
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    const mesh = new Mesh();
    t.teardown(() => mesh.stop());
    const { proxy, calls, ready, readStatus, continueStart } = await startHalfway(mesh);
    const ended = new Promise((resolve) => proxy.child.once('exit', resolve));
    proxy.child.kill(signal);
    await new Promise((resolve) => setTimeout(resolve, 200));
    t.is(await readStatus(calls), 503, signal);
    t.is(await readStatus(ready), 503, signal);
    await continueStart();
    await ended;
    t.is(proxy.child.exitCode, 0, signal);
    t.regex(proxy.output(), /"stopping"[^]*"stopped"/);
  }
});

/** Planned stops of proxy processes by signals. */
import test from 'ava';
import { request } from 'undici';
import { findFreeAddress, stopProcess, waitFor } from '../bench/mesh.js';
import { FIRST_NOTE, startSmallMesh } from '../bench/small-mesh.js';

const LINGER_MS = 1_500;
/** Long enough for a new version to arrive while the proxy lingers, also on a busy machine. */
const LONG_LINGER_MS = 60_000;
const SECOND_NOTE = `number = 2
title = "Fabrics"

[[add]]
kind = "service"
name = "fabrics"
`;
/** Shorter than the linger time by its last part, in which other proxies learn of the drain. */
const SERVING_CHECK_MS = 900;

test('server serves while its proxy lingers', async (t) => {
  const lines = `linger_ms = ${LINGER_MS}`;
  const { mesh, operator, tokenFile, calls, processes } = await startSmallMesh(2, 1, lines);
  t.teardown(() => mesh.stop());
  const note = mesh.writeFile('note.toml', FIRST_NOTE);
  const access = ['--operator', operator, '--token-file', tokenFile];
  await mesh.runCommand(['note', 'submit', note, ...access]);
  const [, other = ''] = calls;
  const readStatus = async (): Promise<number> => {
    const answer = await request(`http://${other}/catalogue/canopies`);
    await answer.body.dump();
    return answer.statusCode;
  };
  await waitFor('an answer', async () => (await readStatus()) === 200 || undefined);

  const [, stoppingProxy] = processes;
  if (stoppingProxy === undefined) throw new Error('the mesh has no proxy');
  const stopped = stopProcess(stoppingProxy);
  const statuses = new Set<number>();
  for (const endAt = Date.now() + SERVING_CHECK_MS; Date.now() < endAt;) {
    statuses.add(await readStatus());
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  t.deepEqual([...statuses], [200]);
  await stopped;
  t.is(await readStatus(), 503);
});

const STOP_SECONDS = 4;

test('call longer than the stop: refused before the kill', async (t) => {
  const lines = `linger_ms = 200\nstop_within_seconds = ${STOP_SECONDS}`;
  const { mesh, operator, tokenFile, calls, processes } = await startSmallMesh(2, 1, lines);
  t.teardown(() => mesh.stop());
  const text = FIRST_NOTE.replace('timeout_ms = 2000', 'timeout_ms = 60000');
  const note = mesh.writeFile('note.toml', text);
  const access = ['--operator', operator, '--token-file', tokenFile];
  await mesh.runCommand(['note', 'submit', note, ...access]);
  const [, entry = ''] = calls;
  const url = `http://${entry}/catalogue/canopies`;
  await waitFor('an answer', async () => {
    const { statusCode, body } = await request(url);
    await body.dump();
    return statusCode === 200 || undefined;
  });
  const longCall = request(url, { headers: { 'x-work-ms': '30000' } });
  await new Promise((resolve) => setTimeout(resolve, 200));
  const [, , process] = processes;
  if (process === undefined) throw new Error('the mesh has no second proxy');
  const stopped = stopProcess(process, STOP_SECONDS * 1_000);
  const { statusCode, headers, body } = await longCall;
  await body.dump();
  t.is(statusCode, 504);
  t.is(headers['bilberryswitch-outcome'], 'unknown');
  await stopped;
  t.is(process.child.exitCode, 0);
  t.regex(process.output(), /"calls-stopped","unanswered":0,"answering":0/);
});

test('second stop signal: interrupts no call', async (t) => {
  const lines = 'linger_ms = 3000';
  const { mesh, operator, tokenFile, calls, processes } = await startSmallMesh(2, 1, lines);
  t.teardown(() => mesh.stop());
  const note = mesh.writeFile('note.toml', FIRST_NOTE);
  const access = ['--operator', operator, '--token-file', tokenFile];
  await mesh.runCommand(['note', 'submit', note, ...access]);
  const [, entry = ''] = calls;
  const readStatus = async (workMs: number): Promise<number> => {
    const headers = { 'x-work-ms': `${workMs}` };
    const answer = await request(`http://${entry}/catalogue/canopies`, { headers });
    await answer.body.dump();
    return answer.statusCode;
  };
  await waitFor('an answer', async () => (await readStatus(0)) === 200 || undefined);
  const slowCall = readStatus(1_500);
  await new Promise((resolve) => setTimeout(resolve, 200));
  const [, , process] = processes;
  if (process === undefined) throw new Error('the mesh has no second proxy');
  process.child.kill('SIGTERM');
  await waitFor('the stop', () => process.output().includes('"stopping"') || undefined);
  process.child.kill('SIGTERM');
  t.is(await slowCall, 200);
});

test('stopping proxy stays not ready: a new version comes', async (t) => {
  const ready = await findFreeAddress();
  const lines = `linger_ms = ${LONG_LINGER_MS}\nready = "${ready}"`;
  const { mesh, operator, tokenFile, processes } = await startSmallMesh(1, 1, lines);
  t.teardown(() => mesh.stop());
  const access = ['--operator', operator, '--token-file', tokenFile];
  const submit = async (text: string): Promise<void> => {
    await mesh.runCommand(['note', 'submit', mesh.writeFile('note.toml', text), ...access]);
  };
  const readStatus = async (): Promise<number> => {
    const answer = await request(`http://${ready}/`, { reset: true });
    await answer.body.dump();
    return answer.statusCode;
  };
  await submit(FIRST_NOTE);
  await waitFor('the proxy to be ready', async () => (await readStatus()) === 200 || undefined);

  const [, proxy] = processes;
  if (proxy === undefined) throw new Error('the mesh has no proxy');
  proxy.child.kill('SIGTERM');
  await waitFor('the proxy not to be ready', async () => (await readStatus()) === 503 || undefined);
  await submit(SECOND_NOTE);
  await waitFor('the second version', () => {
    return proxy.output().includes('"version-applied","version":2') || undefined;
  });
  t.is(await readStatus(), 503);
});

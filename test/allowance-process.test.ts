/** An account with a limit in a mesh of three source hosts and four proxies: limit, killed leader, restarted proxy. */
import { readFileSync } from 'node:fs';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { request } from 'undici';
import { NAPERNYO_PLAN, RunningMesh } from '../bench/mesh-plan.js';
import { waitFor } from '../bench/mesh.js';

const RATE = 40;
const BURST = 40;

const NOTE = `number = 1
title = "Reads"

[[add]]
kind = "service"
name = "reads"

[[add]]
kind = "request-kind"
name = "read"
idempotent = true
worth = 1.0
timeout_ms = 2000

[[add]]
kind = "route"
name = "reads"
generation = "old"
path_prefix = "/reads"
method = "*"
service = "reads"
request_kind = "read"

[[add]]
kind = "client-account"
name = "small"
keys = ["secret"]
rate_per_second = ${RATE}
burst = ${BURST}
`;

/** The statuses of the calls of one load, and the `Retry-After` headers of the refused ones. */
interface LoadResult {
  readonly statuses: Map<number, number>;
  readonly retryAfters: Set<string>;
}

async function post(operators: readonly string[], note: string): Promise<void> {
  await waitFor('the note to be accepted', async () => {
    for (const operator of operators) {
      const headers = { authorization: 'Bearer mesh-token' };
      const answer = await request(`http://${operator}/notes`, {
        method: 'POST',
        headers,
        body: note,
      }).catch(() => undefined);
      await answer?.body.dump();
      if (answer?.statusCode === 200) return true;
    }
    return undefined;
  });
}

async function call(calls: string): Promise<{ status: number; retryAfter: string }> {
  const headers = { 'bilberryswitch-key': 'secret' };
  const answer = await request(`http://${calls}/reads`, { headers }).catch(() => undefined);
  await answer?.body.dump();
  const retryAfter = answer?.headers['retry-after'];
  return { status: answer?.statusCode ?? 0, retryAfter: retryAfter?.toString() ?? '' };
}

/** Sends calls to the proxies in turn for some time. */
async function load(
  proxies: readonly string[],
  perSecond: number,
  ms: number,
): Promise<LoadResult> {
  const statuses = new Map<number, number>();
  const retryAfters = new Set<string>();
  const open: Promise<void>[] = [];
  const end = Date.now() + ms;
  for (let sent = 0; Date.now() < end; sent += 1) {
    const proxy = proxies[sent % proxies.length] ?? '';
    open.push(
      call(proxy).then(({ status, retryAfter }) => {
        statuses.set(status, (statuses.get(status) ?? 0) + 1);
        if (status === 429) retryAfters.add(retryAfter);
      }),
    );
    await new Promise((resolve) => setTimeout(resolve, 1_000 / perSecond));
  }
  await Promise.all(open);
  return { statuses, retryAfters };
}

function countRuns(mesh: RunningMesh): number {
  return readFileSync(mesh.mesh.runsFile, 'utf8').trim().split('\n').length;
}

/** Checks that a load of 5 s at three times the limit used the limit and kept to it. */
async function checkLimit(t: ExecutionContext, mesh: RunningMesh, what: string): Promise<void> {
  const before = countRuns(mesh);
  const { statuses, retryAfters } = await load(
    mesh.proxies.map(({ calls }) => calls),
    3 * RATE,
    5_000,
  );
  const runs = countRuns(mesh) - before;
  t.log(what, runs, Object.fromEntries(statuses));
  t.true(runs <= (RATE * 5 + BURST) * 1.1 + 20, `${what}: ${runs} runs`);
  t.true(runs >= RATE * 5 * 0.8, `${what}: ${runs} runs`);
  t.true((statuses.get(429) ?? 0) > 0, what);
  t.true([...retryAfters].every((text) => Number(text) > 0));
}

test('limit over four proxies: held and used through faults', async (t) => {
  const mesh = await RunningMesh.start({ ...NAPERNYO_PLAN, services: { reads: 4 } });
  t.teardown(() => mesh.stop());
  const operators = mesh.sources.map(({ operator }) => operator);
  await post(operators, NOTE);
  for (const { calls } of mesh.proxies) {
    await waitFor('a call to run', async () =>
      (await call(calls)).status === 200 ? true : undefined,
    );
  }
  await checkLimit(t, mesh, 'all up');

  const leader = mesh.sources.find(({ process }) => process.output().includes('allowances-begin'));
  t.truthy(leader, 'the leader says that it grants');
  leader?.process.child.kill('SIGKILL');
  await load([mesh.proxies[0]?.calls ?? ''], 10, 9_000);
  await checkLimit(t, mesh, 'leader killed');

  const [restarted] = mesh.proxies;
  restarted?.process.child.kill('SIGKILL');
  if (restarted !== undefined) await mesh.restartProxy(restarted);
  await waitFor('the restarted proxy to serve', async () => {
    const { status } = await call(restarted?.calls ?? '');
    t.not(status, 401, 'a restarted proxy does not doubt a key');
    return status === 200 ? true : undefined;
  });
  await checkLimit(t, mesh, 'proxy restarted');
  for (const { process } of mesh.proxies) {
    t.notRegex(process.output(), /allowance-message-dropped/);
  }
});

/** Roll-outs from the order to the end, with separate processes for the source and the proxies. */
import { createServer } from 'node:http';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { request } from 'undici';
import { findFreeAddress, waitFor } from '../bench/mesh.js';
import { FIRST_NOTE, startSmallMesh } from '../bench/small-mesh.js';

const SETTINGS = 'rollouts.exposure_share = 0.1';
const CALL_INTERVAL_MS = 8;
const DURATION_MS = 6_000;

/** A backend server of one version; a bad one fails every third call. */
class VersionedServer {
  readonly version: string;
  runs = 0;
  readonly #server;

  constructor(version: string, isBad: boolean) {
    this.version = version;
    this.#server = createServer((_request, response) => {
      this.runs += 1;
      setTimeout(() => {
        response.writeHead(isBad && this.runs % 3 === 0 ? 500 : 200).end(version);
      }, 10);
    });
  }

  /** Starts it, and announces it to the proxy until the test ends. */
  /** The statuses of heartbeats that were not accepted. */
  readonly refused: number[] = [];

  async start(t: ExecutionContext, announce: string): Promise<void> {
    const address = await findFreeAddress();
    await new Promise<void>((resolve) => {
      this.#server.listen(Number(address.split(':')[1]), '127.0.0.1', resolve);
    });
    const send = async () => {
      const { statusCode, body } = await request(`http://${announce}/announce`, {
        method: 'POST',
        body: JSON.stringify({
          service: 'catalogue',
          address,
          version: this.version,
          slots: 20,
          connections: 40,
          state: 'ready',
          heartbeat_ms: 2_000,
        }),
      });
      await body.dump();
      if (statusCode !== 200) this.refused.push(statusCode);
    };
    await send();
    const timer = setInterval(() => void send().catch(() => undefined), 500);
    t.teardown(() => {
      clearInterval(timer);
      this.#server.closeAllConnections();
      this.#server.close();
    });
  }
}

/** Starts a mesh with two servers of v1, and a client that calls all the time; returns means to order. */
async function start(t: ExecutionContext) {
  const started = await startSmallMesh(2, 0, SETTINGS, SETTINGS);
  const { mesh, operator, tokenFile, calls, announceAddresses } = started;
  t.teardown(() => mesh.stop());
  const startServers = async (version: string, isBad: boolean) => {
    const servers = announceAddresses.map(() => new VersionedServer(version, isBad));
    for (const [index, server] of servers.entries())
      await server.start(t, announceAddresses[index] ?? '');
    return servers;
  };
  const note = mesh.writeFile('note.toml', FIRST_NOTE);
  const access = ['--operator', operator, '--token-file', tokenFile];
  t.is((await mesh.runCommand(['note', 'submit', note, ...access])).code, 0);
  const old = await startServers('v1', false);
  const send = async (method: 'GET' | 'POST', body?: object) => {
    const answer = await request(`http://${operator}/rollouts/catalogue`, {
      method,
      headers: { authorization: 'Bearer test-token', 'content-type': 'application/json' },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    const read = (await answer.body.json()) as { state?: string; reason?: string };
    return { status: answer.statusCode, ...read };
  };
  await waitFor('the version in use to be adopted', () => {
    const output = started.processes[0]?.output() ?? '';
    return output.includes('"rollout-recorded"') || undefined;
  });
  t.is((await send('POST', { version: 'v1', duration_ms: DURATION_MS })).status, 400);
  let failed = 0;
  const caller = setInterval(() => {
    const address = calls[Math.floor(Math.random() * calls.length)] ?? '';
    request(`http://${address}/catalogue/x`)
      .then(async ({ statusCode, body }) => {
        await body.dump();
        if (statusCode !== 200) failed += 1;
      })
      .catch(() => (failed += 1));
  }, CALL_INTERVAL_MS);
  t.teardown(() => {
    clearInterval(caller);
  });
  const waitForEnd = () =>
    waitFor('the end of the roll-out', async () => {
      const read = await send('GET');
      return read.state === 'running' ? undefined : read;
    });
  return { send, startServers, old, waitForEnd, countFailed: () => failed };
}

function listRefused(servers: readonly VersionedServer[]): number[] {
  return servers.flatMap(({ refused }) => refused);
}

function countRuns(servers: readonly VersionedServer[]): number {
  return servers.reduce((sum, { runs }) => sum + runs, 0);
}

test('good version: completed in time, then no call goes to an old server', async (t) => {
  const { send, startServers, old, waitForEnd, countFailed } = await start(t);
  const fresh = await startServers('v2', false);
  await new Promise((resolve) => setTimeout(resolve, 500));
  t.is(countRuns(fresh), 0, 'a version without an order gets no calls');
  const orderedAt = Date.now();
  t.like(await send('POST', { version: 'v2', duration_ms: DURATION_MS }), { status: 200 });
  t.is((await send('POST', { version: 'v2', duration_ms: DURATION_MS })).status, 409);
  t.like(await waitForEnd(), { state: 'completed' });
  t.true(Date.now() - orderedAt <= DURATION_MS);
  const runsOfOld = countRuns(old);
  const runsOfFresh = countRuns(fresh);
  await new Promise((resolve) => setTimeout(resolve, 500));
  t.is(countRuns(old), runsOfOld);
  t.true(countRuns(fresh) > runsOfFresh + 20);
  t.is(countFailed(), 0);
  t.deepEqual(listRefused([...old, ...fresh]), []);
});

test('bad version: rolled back, and the old one serves', async (t) => {
  const { send, startServers, old, waitForEnd } = await start(t);
  const bad = await startServers('v2', true);
  t.like(await send('POST', { version: 'v2', duration_ms: DURATION_MS }), { status: 200 });
  const ended = await waitForEnd();
  t.like(ended, { state: 'rolled-back' });
  t.regex(ended.reason ?? '', /failures/);
  await new Promise((resolve) => setTimeout(resolve, 500));
  const [runsOfBad, runsOfOld] = [countRuns(bad), countRuns(old)];
  t.true(runsOfBad <= 50 + (0.1 * DURATION_MS) / CALL_INTERVAL_MS, `${runsOfBad} runs`);
  await new Promise((resolve) => setTimeout(resolve, 500));
  t.is(countRuns(bad), runsOfBad);
  t.true(countRuns(old) > runsOfOld + 20);
  t.deepEqual(listRefused([...old, ...bad]), []);
});

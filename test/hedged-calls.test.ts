/** Hedges over sockets: the loser's run is cancelled at its server, and a call that must run once runs once. */
import test from 'ava';
import { request } from 'undici';
import { CallObserver } from '../src/calls/index.js';
import type { HedgeResult } from '../src/calls/index.js';
import { CallMesh } from './call-mesh.js';
import { makeConfiguration, makeKind, makeRoute } from './call-resources.js';
import type { RequestHandler } from './test-server.js';

const CONFIGURATION = makeConfiguration(
  makeKind('read', { hedge: true }),
  makeKind('order', { idempotent: false }),
  makeRoute('/reads', 'read'),
  makeRoute('/orders', 'order'),
);
const STALL_MS = 4_000;

/** Creates a handler for all servers: of the requests with the nonce `slow`, the first one stalls. */
function createAnswer(): RequestHandler {
  let hasStalled = false;
  return (message, response) => {
    message.resume();
    const stalls = message.headers['x-nonce'] === 'slow' && !hasStalled;
    if (stalls) hasStalled = true;
    const timer = setTimeout(() => response.end('done'), stalls ? STALL_MS : 10);
    response.on('close', () => {
      clearTimeout(timer);
    });
  };
}

class HedgeCounter extends CallObserver {
  readonly results: HedgeResult[] = [];

  override reportHedge(_call: unknown, result: HedgeResult): void {
    this.results.push(result);
  }
}

/** Starts three proxies, and makes the run times known to the first one. */
async function startMesh(observer: CallObserver, hedging = { share: 1 }): Promise<CallMesh> {
  const answer = createAnswer();
  const answers = [answer, answer, answer];
  const server = { slots: 16, connections: 32 };
  const mesh = await CallMesh.start({
    configuration: CONFIGURATION,
    answers,
    server,
    observer,
    hedging,
  });
  for (let count = 0; count < 120; count += 1) await send(mesh, '/reads', `known-${count}`);
  return mesh;
}

/** Sends a call to the first proxy; returns its status and duration. */
async function send(mesh: CallMesh, path: string, nonce: string): Promise<[number, number]> {
  const startedAt = performance.now();
  const headers = { 'x-nonce': nonce };
  const { statusCode, body } = await request(`http://${mesh.at(0).calls}${path}`, { headers });
  await body.dump();
  return [statusCode, performance.now() - startedAt];
}

const countRuns = (mesh: CallMesh): number =>
  [0, 1, 2].reduce((sum, index) => sum + (mesh.serverAt(index).runs.get('slow') ?? 0), 0);
const countCancelled = (mesh: CallMesh): number =>
  [0, 1, 2].reduce((sum, index) => sum + mesh.serverAt(index).cancelled, 0);

test('stalled server: hedge answers, the stalled run is cancelled', async (t) => {
  const counter = new HedgeCounter();
  const mesh = await startMesh(counter);
  t.teardown(() => mesh.stop());
  const cancelledBefore = countCancelled(mesh);
  const [status, ms] = await send(mesh, '/reads', 'slow');
  t.is(status, 200);
  t.true(ms < STALL_MS / 2, `${Math.round(ms)} ms`);
  t.is(countRuns(mesh), 2);
  t.true(counter.results.includes('won'));
  for (let wait = 0; wait < 100 && countCancelled(mesh) === cancelledBefore; wait += 1) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  t.true(countCancelled(mesh) > cancelledBefore);
});

test('order at a stalled server: one run', async (t) => {
  const mesh = await startMesh(new HedgeCounter());
  t.teardown(() => mesh.stop());
  const [status, ms] = await send(mesh, '/orders', 'slow');
  t.is(status, 200);
  t.true(ms >= STALL_MS - 50);
  t.is(countRuns(mesh), 1);
});

test('no limit: read at a stalled server has one run', async (t) => {
  const mesh = await startMesh(new HedgeCounter(), { share: 0 });
  t.teardown(() => mesh.stop());
  const [status, ms] = await send(mesh, '/reads', 'slow');
  t.is(status, 200);
  t.true(ms >= STALL_MS - 50);
  t.is(countRuns(mesh), 1);
});

/**
 * Checks histories of concurrent calls through several proxies with server crashes, broken connections and drains.
 */
import test from 'ava';
import { request } from 'undici';
import type { SeededRandom as Random } from '../src/random.js';
import { SeededRandom } from '../src/random.js';
import { CallMesh } from './call-mesh.js';
import { makeKind, makeRoute, makeConfiguration } from './call-resources.js';
import type { RequestHandler } from './test-server.js';

const CONFIGURATION = makeConfiguration(
  makeKind('browse', { hedge: true, timeoutMs: 60_000 }),
  makeKind('order', { idempotent: false, claim: true, worth: 50, timeoutMs: 60_000 }),
  makeKind('note', { idempotent: false, worth: 5, timeoutMs: 60_000 }),
  makeRoute('/shop', 'browse'),
  makeRoute('/orders', 'order'),
  makeRoute('/notes', 'note'),
);
const PATHS = ['/shop', '/orders', '/notes'];
const CALLS = 240;
const CALLERS = 24;
const MAX_SENDS = 4;

/** One call from the perspective of its caller. */
interface CallRecord {
  readonly path: string;
  readonly nonce: string;
  sends: number;
  answers: string[];
  /** Whether every send was refused as `not-run`. */
  isNotRun: boolean;
}

/** Creates an answer function that delays answers, and breaks some connections before or during the answer. */
function createFaultyAnswer(random: Random): RequestHandler {
  return (message, response) => {
    message.resume();
    const nonce = message.headers['x-nonce']?.toString() ?? '';
    const fate = random.next();
    setTimeout(() => {
      if (fate < 0.06) {
        response.socket?.destroy();
      } else if (fate < 0.12) {
        response.writeHead(200, { 'content-length': nonce.length }).write(nonce.slice(0, 2));
        setImmediate(() => response.destroy());
      } else {
        response.end(nonce);
      }
    }, random.next() * 12);
  };
}

/** Sends a call; resends an order through random proxies until it is answered. */
async function sendCall(mesh: CallMesh, seen: CallRecord, random: Random): Promise<void> {
  const isOrder = seen.path === '/orders';
  while (seen.answers.length === 0 && seen.sends < (isOrder ? MAX_SENDS : 1)) {
    seen.sends += 1;
    const { calls } = mesh.at(random.nextInt(mesh.nodes.length));
    const headers = { 'x-nonce': seen.nonce, ...(isOrder && { 'idempotency-key': seen.nonce }) };
    const signal = random.next() < 0.05 ? AbortSignal.timeout(4) : null;
    try {
      const answer = await request(`http://${calls}${seen.path}`, { headers, signal });
      const text = await answer.body.text();
      if (answer.statusCode === 200) seen.answers.push(text);
      if (answer.headers['bilberryswitch-outcome'] !== 'not-run') seen.isNotRun = false;
    } catch {
      seen.isNotRun = false;
    }
  }
}

for (const seed of [1, 2, 3]) {
  test(`runs and answers, seed ${seed}`, async (t) => {
    const random = new SeededRandom(seed);
    const faulty = createFaultyAnswer(random);
    const mesh = await CallMesh.start({
      configuration: CONFIGURATION,
      answers: [faulty, faulty, faulty, undefined],
      server: { slots: 8, connections: 8 },
      hedging: { share: 1 },
    });
    t.teardown(() => mesh.stop());
    const history: CallRecord[] = [];
    const runCaller = async (): Promise<void> => {
      while (history.length < CALLS) {
        const nonce = `nonce-${history.length}`;
        const seen = { path: random.pick(PATHS), nonce, sends: 0, answers: [], isNotRun: true };
        history.push(seen);
        if (history.length === CALLS / 3) mesh.serverAt(0).kill();
        if (history.length === (2 * CALLS) / 3) void mesh.at(1).task.drain();
        await sendCall(mesh, seen, random);
      }
    };
    await Promise.all(Array.from({ length: CALLERS }, runCaller));

    let answered = 0;
    for (const { path, nonce, answers, isNotRun } of history) {
      const runs = [0, 1, 2].map((index) => mesh.serverAt(index).runs.get(nonce) ?? 0);
      const total = runs.reduce((sum, count) => sum + count, 0);
      if (path !== '/shop') t.true(total <= 1, `${path} ${nonce} ran ${total} times`);
      if (isNotRun) t.is(total, 0, `${path} ${nonce} was refused as not run`);
      for (const answer of answers) t.is(answer, nonce);
      answered += answers.length;
    }
    for (const index of [0, 1, 2]) {
      t.true(mesh.serverAt(index).maxRunning <= 8);
      t.true(mesh.serverAt(index).maxConnections <= 8);
    }
    t.true(answered > CALLS / 2, `${answered} of ${CALLS} calls were answered`);
    t.log(`${answered} of ${CALLS} calls were answered`);
  });
}

/** Large answers through proxies whose links carry less than is asked for. */
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { request } from 'undici';
import { waitFor } from '../bench/mesh.js';
import { addMs, SystemClock } from '../src/clock.js';
import type { CallTask, PlannedStop } from '../src/edge/index.js';
import { CallMesh } from './call-mesh.js';
import { makeKind, makeRoute, makeWhole } from './call-resources.js';
import type { Answer } from './test-server.js';

const LARGE_BYTES = 90_000;
const LINK_BYTES_PER_SECOND = 325_000;
const TIMEOUT_MS = 1_500;

const answerLarge: Answer = (incoming, response) => {
  incoming.resume();
  response.writeHead(200, { 'content-length': LARGE_BYTES });
  response.end(Buffer.alloc(LARGE_BYTES));
};

/** How a call ended: whether the answer was whole, what a refusal told, or that it was cut. */
async function download(address: string): Promise<string> {
  try {
    const { statusCode, headers, body } = await request(`http://${address}/drawings/canopy`);
    const { byteLength } = await body.arrayBuffer();
    if (statusCode !== 200) return `refused ${String(headers['bilberryswitch-outcome'])}`;
    return byteLength === LARGE_BYTES ? 'whole' : 'short';
  } catch {
    return 'cut';
  }
}

/** Some calls get their answer, and each of the others a refusal. */
function checkEndings(t: ExecutionContext, endings: readonly string[]): void {
  t.true(endings.includes('whole'), endings.join(', '));
  const others = endings.filter((ending) => ending !== 'whole');
  t.true(
    others.every((ending) => ending.startsWith('refused')),
    endings.join(', '),
  );
}

interface MeshOptions {
  readonly timeoutMs: number;
  readonly linkBytesPerSecond: number;
}

function startMesh({ timeoutMs, linkBytesPerSecond }: MeshOptions): Promise<CallMesh> {
  const whole = makeWhole(
    makeKind('download', { largeAnswers: true, timeoutMs }),
    makeRoute('/drawings', 'download'),
  );
  return CallMesh.start({ whole, answers: [undefined, answerLarge], linkBytesPerSecond });
}

test('large answers that the link cannot carry: refused whole, not cut', async (t) => {
  const mesh = await startMesh({
    timeoutMs: TIMEOUT_MS,
    linkBytesPerSecond: LINK_BYTES_PER_SECOND,
  });
  t.teardown(() => mesh.stop());
  const { calls } = mesh.at(0);
  const endings = await Promise.all(Array.from({ length: 20 }, () => download(calls)));
  checkEndings(t, endings);
  t.true(mesh.serverAt(1).countRuns() <= endings.length);
  await waitFor('an idle proxy', () => mesh.at(1).task.heldAnswers.answers === 0 || undefined);
});

const SLOW_BYTES_PER_SECOND = 60_000;
const STOP_MS = 6_000;

/** Instants of a stop that a kill follows at its end. */
function formStop(): PlannedStop {
  const now = new SystemClock().read();
  return { answerBy: addMs(now, STOP_MS * (7 / 8)), closeBy: addMs(now, STOP_MS * (15 / 16)) };
}

/** Stops a proxy as a process does; returns how its calls ended, or that the kill cut them. */
async function stopWithin(task: CallTask, calls: readonly Promise<string>[]): Promise<string[]> {
  const killed = new Promise<string>((resolve) => setTimeout(resolve, STOP_MS, 'killed'));
  task.startStop(formStop());
  await new Promise((resolve) => setTimeout(resolve, STOP_MS / 3));
  const stopped = task.stop().then(() => 'stopped');
  const endings = await Promise.all(calls.map((call) => Promise.race([call, killed])));
  return [...endings, await Promise.race([stopped, killed])];
}

test('planned stop of the entry proxy: no large answer is cut', async (t) => {
  const mesh = await startMesh({ timeoutMs: 20_000, linkBytesPerSecond: SLOW_BYTES_PER_SECOND });
  t.teardown(() => mesh.stop());
  const { calls, task } = mesh.at(0);
  const before = Array.from({ length: 6 }, () => download(calls));
  await waitFor('runs', () => mesh.serverAt(1).countRuns() === 6 || undefined);
  const lingering = new Promise((resolve) => setTimeout(resolve, STOP_MS / 6)).then(() =>
    download(calls),
  );
  const endings = await stopWithin(task, [...before, lingering]);
  t.is(endings.pop(), 'stopped');
  checkEndings(t, endings);
});

test('planned stop of the guard: what it holds is sent, or refused whole', async (t) => {
  const mesh = await startMesh({ timeoutMs: 10_000, linkBytesPerSecond: SLOW_BYTES_PER_SECOND });
  t.teardown(() => mesh.stop());
  const { calls } = mesh.at(0);
  const downloads = Array.from({ length: 6 }, () => download(calls));
  await waitFor('runs', () => mesh.serverAt(1).countRuns() === 6 || undefined);
  const endings = await stopWithin(mesh.at(1).task, downloads);
  t.is(endings.pop(), 'stopped');
  checkEndings(t, endings);
});

test('large answers that wait for the link outlive their route and their server', async (t) => {
  const mesh = await startMesh({ timeoutMs: 20_000, linkBytesPerSecond: LINK_BYTES_PER_SECOND });
  t.teardown(() => mesh.stop());
  const { calls } = mesh.at(0);
  const downloads = Array.from({ length: 4 }, () => download(calls));
  await waitFor('runs', () => mesh.serverAt(1).countRuns() === 4 || undefined);
  const { task, member } = mesh.at(1);
  const servers = member.servers.map((one) => ({ ...one, state: 'draining' as const }));
  for (const node of mesh.nodes) {
    node.task.post({
      kind: 'whole',
      whole: makeWhole(makeKind('other'), makeRoute('/x', 'other')),
    });
    node.task.post({ kind: 'member-up', member: { ...member, servers } });
  }
  task.post({ kind: 'member-up', member: { ...member, servers: [] } });
  mesh.serverAt(1).kill();
  t.deepEqual(await Promise.all(downloads), ['whole', 'whole', 'whole', 'whole']);
});

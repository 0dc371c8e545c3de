/** The version of the configuration that decided a call, in the lines of the call. */
import test from 'ava';
import { request } from 'undici';
import { waitFor } from '../bench/mesh.js';
import { ClassifyFilter } from '../src/calls/classify-filter.js';
import type { ClassifyIn } from '../src/calls/classify-filter.js';
import { NoopObserver } from '../src/calls/index.js';
import type { HostId, Version } from '../src/ids.js';
import type { Resource } from '../src/messages/index.js';
import type { Configuration } from '../src/notes/index.js';
import { CallLog } from '../src/program/call-log.js';
import { RateLimitedLog } from '../src/program/logger.js';
import { CallMesh } from './call-mesh.js';
import { makeConfiguration, makeHead, makeKind, makeRoute, START } from './call-resources.js';
import { ListSink } from './list-sink.js';
import { ManualClock } from './manual-clock.js';
import type { RequestHandler } from './test-server.js';

const KIND = makeKind('browse', { idempotent: true, timeoutMs: 60_000 });
const ROUTE = makeRoute('/shop', 'browse');

function makeVersion(version: number, ...resources: Resource[]): Configuration {
  return { ...makeConfiguration(KIND, ...resources), version: version as Version };
}

/** Starts an entry proxy without a server and one guard for each answer; collects the lines of all proxies. */
async function startMesh(configuration: Configuration, answers: readonly RequestHandler[]) {
  const sink = new ListSink();
  const clock = new ManualClock();
  const log = new RateLimitedLog({ host: 'host-0' as HostId, level: 'info', clock, sink });
  const observer = new CallLog({ log: log.write, next: new NoopObserver() });
  const mesh = await CallMesh.start({ configuration, answers: [undefined, ...answers], observer });
  return { mesh, lines: sink.lines };
}

test('classified calls: version of the configuration', (t) => {
  const filter = new ClassifyFilter('proxy');
  let state = filter.createState();
  const decide = (message: ClassifyIn) => {
    const step = filter.decide(state, message, START);
    ({ state } = step);
    return step.outputs;
  };
  const shop = makeHead('a', { path: '/shop' });
  const [before] = decide({ kind: 'arrived', head: shop });
  t.like(before, { reason: 'no-configuration', version: undefined });
  decide({ kind: 'whole', configuration: makeVersion(3, ROUTE) });
  const [routed] = decide({ kind: 'arrived', head: shop });
  t.like(routed, { kind: 'routed', call: { version: 3 } });
  decide({ kind: 'whole', configuration: makeVersion(4, makeRoute('/other', 'browse')) });
  const [refused] = decide({ kind: 'arrived', head: shop });
  t.like(refused, { reason: 'no-route', version: 4 });
  t.like(routed, { kind: 'routed', call: { version: 3 } });
});

test('refused call: version in its line', async (t) => {
  const { mesh, lines } = await startMesh(makeVersion(3, ROUTE), []);
  t.teardown(() => mesh.stop());
  const { body } = await request(`http://${mesh.at(0).calls}/other`);
  await body.text();
  await waitFor('the line', () => lines.length > 0 || undefined);
  t.like(lines[0], { event: 'call-failed', reason: 'no-route', version: 3 });
});

test('changed configuration: lines keep the version that routed the call', async (t) => {
  const destroy: RequestHandler = (incoming) => {
    mesh.at(0).task.post({ kind: 'whole', configuration: makeVersion(4, ROUTE) });
    setTimeout(() => incoming.socket.destroy(), 20);
  };
  const { mesh, lines } = await startMesh(makeVersion(3, ROUTE), [destroy, destroy]);
  t.teardown(() => mesh.stop());
  const { body } = await request(`http://${mesh.at(0).calls}/shop`);
  await body.text();
  const isEntryEnd = ({ event, side }: Record<string, unknown>) =>
    event === 'call-failed' && side === 'entry';
  await waitFor('the end of the call', () => lines.some(isEntryEnd) || undefined);
  const isGuard = ({ side, isLocal }: Record<string, unknown>) => side === 'guard' || isLocal;
  const entry = lines.filter((line) => isGuard(line) !== true);
  t.true(entry.some(({ event }) => event === 'call-sent-again'));
  t.true(entry.some(({ event }) => event === 'attempt-failed'));
  t.deepEqual(
    entry.map(({ version }) => version),
    entry.map(() => 3),
  );
  const guard = lines.filter((line) => isGuard(line) === true);
  t.true(guard.every(({ version }) => version === undefined));
});

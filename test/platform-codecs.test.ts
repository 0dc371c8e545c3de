/** Parsing of the messages of the platform. */
import test from 'ava';
import { PlatformAnnounceFront } from '../platform/platform-announce-front.js';
import { PlatformOperatorFront } from '../platform/platform-operator-front.js';
import type { Address, HostId, InstanceId, Instant, NoteNumber, ServiceName } from '../src/ids.js';
import type { Resource } from '../src/messages/index.js';

const NOW = 1_000 as Instant;
const SERVICE = { type: 'services', metadata: { name: 'shop' }, spec: { healthPath: '/healthz' } };
const ROUTE_SPEC = {
  host: 'Shop.example',
  pathPrefix: '/orders/',
  kind: 'unsafe',
  timeoutS: 1.5,
  targetLatencyS: 0.8,
  priority: 1,
  service: 'shop',
  maxAttempts: 2,
};
const HEARTBEAT = {
  service: 'shop',
  address: '10.0.0.9:8080',
  zone: 'a',
  version: 'v1',
  slots: 6,
  state: 'ready',
  coldRemainingS: 2,
  sequence: 4,
  born: 77,
};

function makeRoute(spec: object = {}): object {
  return { type: 'routes', metadata: { name: 'r' }, spec: { ...ROUTE_SPEC, ...spec } };
}

function readReplacement(fields: object): ReturnType<PlatformOperatorFront['readRequest']> {
  const body = { version: 'r7', baseVersion: 'r5', resources: [SERVICE, makeRoute()], ...fields };
  return readReplacementText(JSON.stringify(body));
}

function readReplacementText(body: string): ReturnType<PlatformOperatorFront['readRequest']> {
  const front = new PlatformOperatorFront();
  return front.readRequest({ method: 'POST', url: '/config/replace', format: 'json', body });
}

function readStatus(read: ReturnType<typeof readReplacement>): number {
  return read.ok ? 200 : read.error.status;
}

function readResources(fields: object): readonly Resource[] {
  const read = readReplacement(fields);
  return read.ok && read.value.kind === 'replace' ? read.value.replacement.resources : [];
}

function sendHeartbeat(fields: object, id = 'i-1', call = 'heartbeat') {
  const front = new PlatformAnnounceFront();
  const body = JSON.stringify({ ...HEARTBEAT, ...fields });
  return front.readRequest({ method: 'POST', url: `/instances/${id}/${call}`, body }, NOW);
}

test('configuration: fields', (t) => {
  const [service, route, kind] = readResources({});
  t.like(service, { kind: 'service', name: 'shop' as ServiceName, healthPath: '/healthz' });
  t.like(route, { kind: 'route', host: 'shop.example', pathPrefix: '/orders/' });
  t.like(kind, { idempotent: false, timeoutMs: 1_500, targetLatencyMs: 800, maxAttempts: 2 });
});

test('configuration: traffic split, limits, first version', (t) => {
  const trafficSplit = [
    { service: 'shop', weight: 90 },
    { service: 'store', weight: 10 },
  ];
  const spec = { maxHeaderBytes: 1, maxBodyBytes: 2, headerTimeoutS: 3, idleTimeoutS: 0.5 };
  const resources = [
    SERVICE,
    makeRoute({ service: undefined, trafficSplit }),
    { type: 'limits', metadata: {}, spec },
  ];
  const found = readResources({ baseVersion: 0, resources });
  t.like(found[1], { service: 'shop' as ServiceName });
  t.is(found[1]?.kind === 'route' && found[1].targets?.length, 2);
  t.like(found[2], { kind: 'limits', headerTimeoutMs: 3_000, idleTimeoutMs: 500 });
});

test('configuration: worth decreases with priority', (t) => {
  const worths = [0, 1, 2].map((priority) => {
    const kind = readResources({ resources: [SERVICE, makeRoute({ priority })] }).at(-1);
    return kind?.kind === 'request-kind' ? kind.worth : 0;
  });
  t.deepEqual([...worths].sort().reverse(), worths);
});

test('configuration: invalid ones are refused', (t) => {
  t.is(
    readStatus(readReplacementText('{"version":"r7","baseVersion":"r5","resources":[{"type":"rou')),
    400,
  );
  t.is(readStatus(readReplacement({ resources: [makeRoute({ kind: 'odd' })] })), 400);
  t.is(readStatus(readReplacement({ resources: [makeRoute({ host: '' })] })), 400);
  t.is(readStatus(readReplacement({ version: 'seven' })), 400);
  t.is(readStatus(readReplacement({ version: 'r0' })), 400);
  const trafficSplit = [{ service: 'shop', weight: -1 }];
  t.is(
    readStatus(readReplacement({ resources: [makeRoute({ service: undefined, trafficSplit })] })),
    400,
  );
  t.is(readStatus(readReplacement({})), 200);
});

test('configuration: returned as sent', (t) => {
  const front = new PlatformOperatorFront();
  const text = JSON.stringify({
    version: 'r7',
    baseVersion: 0,
    resources: [SERVICE],
    further: 'ä',
  });
  const read = readReplacementText(text);
  if (!read.ok || read.value.kind !== 'replace') throw new Error('the request was not parsed');
  const { number, document } = read.value.replacement;
  const context = { url: '/config/get', findOperator: () => undefined };
  const answer = front.buildAnswer(
    { kind: 'document', id: 'x' as never, replacement: { number, document } },
    context,
  );
  t.is(answer.status, 200);
  t.is(Buffer.from(answer.body as Uint8Array).toString(), text);
});

test('operator: statuses', (t) => {
  const front = new PlatformOperatorFront();
  const context = { url: '/config/get', findOperator: () => '10.0.0.2:8306' as Address };
  const id = 'x' as never;
  const refusal = { kind: 'not-leader', leader: 'h' as HostId } as const;
  const redirect = front.buildAnswer({ kind: 'refusal', id, refusal }, context);
  t.is(redirect.status, 307);
  t.is(redirect.headers?.Location, 'http://10.0.0.2:8306/config/get');
  const unknown = { kind: 'outcome-unknown' } as const;
  t.is(front.buildAnswer({ kind: 'refusal', id, refusal: unknown }, context).status, 503);
  t.is(front.buildAnswer({ kind: 'document', id, replacement: undefined }, context).status, 503);
  const stale = { kind: 'stale-base', current: 3 as NoteNumber } as const;
  t.is(front.buildAnswer({ kind: 'answer', id, answer: stale }, context).status, 412);
  const refused = { kind: 'refused', faults: [] } as const;
  t.is(front.buildAnswer({ kind: 'answer', id, answer: refused }, context).status, 400);
  t.is(front.buildOutcomeUnknown().status, 503);
});

test('heartbeat: fields', (t) => {
  const read = sendHeartbeat({});
  if (!read.ok || read.value.kind !== 'announce') throw new Error('the request was not parsed');
  t.like(read.value.announcement, {
    service: 'shop' as ServiceName,
    address: '10.0.0.9:8080' as Address,
    instance: 'i-1' as InstanceId,
    life: 77,
    sequence: 4,
    slots: 6,
    state: 'ready',
    warmAt: 3_000 as Instant,
  });
});

test('heartbeat: malformed ones are refused', (t) => {
  for (const fields of [
    { state: 'odd' },
    { slots: 'six' },
    { service: undefined },
    { address: 'nowhere' },
    { sequence: -1 },
    { born: 1.5 },
  ]) {
    t.false(sendHeartbeat(fields).ok, JSON.stringify(fields));
  }
  const front = new PlatformAnnounceFront();
  const url = '/instances/i-1/heartbeat';
  t.false(front.readRequest({ method: 'POST', url, body: '\u0000{' }, NOW).ok);
  t.false(front.readRequest({ method: 'POST', url: '/instances/%/heartbeat', body: '' }, NOW).ok);
  t.false(front.readRequest({ method: 'GET', url, body: '' }, NOW).ok);
});

test('deregister: with and without the start time', (t) => {
  const left = sendHeartbeat({}, 'i-9', 'deregister');
  t.deepEqual(left.ok && left.value, { kind: 'server-left', instance: 'i-9', life: 77 } as never);
  const front = new PlatformAnnounceFront();
  const url = '/instances/i-9/deregister';
  const bare = front.readRequest({ method: 'POST', url, body: '' }, NOW);
  t.deepEqual(bare.ok && bare.value, { kind: 'server-left', instance: 'i-9' } as never);
});

test('configuration: downloads have large answers', (t) => {
  const readKind = (kind: string) =>
    readResources({ resources: [SERVICE, makeRoute({ kind })] })[2];
  t.like(readKind('download'), { idempotent: true, largeAnswers: true });
  t.false('largeAnswers' in (readKind('safe') ?? {}));
});

test('configuration: kinds that may be repeated are hedged', (t) => {
  const readKind = (kind: string) =>
    readResources({ resources: [SERVICE, makeRoute({ kind })] })[2];
  for (const kind of ['safe', 'download']) t.like(readKind(kind), { hedge: true });
  for (const kind of ['unsafe', 'upload']) t.like(readKind(kind), { hedge: false });
});

/** Configurations with unusual values: every accepted one can be parsed by proxies and served by guards. */
import test from 'ava';
import fc from 'fast-check';
import { PlatformOperatorFront } from '../platform/platform-operator-front.js';
import { formatForward, parseForwardedHead } from '../src/edge/call-headers.js';
import type { OperatorFront, OperatorRequest } from '../src/edge/index.js';
import { DefaultOperatorFront, readDistributionMessage } from '../src/edge/index.js';
import { decodeFrame, encodeMessage } from '../src/edge/link-codec.js';
import type { CallId, Digest, Instant, RequestId, Version } from '../src/ids.js';
import type { Resource } from '../src/messages/index.js';
import { WeightedRoundRobin } from '../src/calls/weighted-round-robin.js';
import type { NotesOut } from '../src/notes/index.js';
import { NotesFilter } from '../src/notes/index.js';

const NOW = 1_796_000_000_000 as Instant;
const MARK = { version: 1 as Version, digest: 'b'.repeat(32) as Digest };
const LONG = 'x'.repeat(1_100);

interface OddFields {
  readonly route?: object;
  readonly service?: object;
  readonly limits?: object;
  readonly name?: string;
}

/** A configuration of the platform with unusual fields. */
function buildPlatformText({ route, service, limits, name = 'r' }: OddFields): string {
  const spec = { host: 'shop.example', pathPrefix: '/', kind: 'safe', timeoutS: 2, ...route };
  const target = 'trafficSplit' in spec ? {} : { service: 'shop' };
  const bounds = { maxHeaderBytes: 1, maxBodyBytes: 2, headerTimeoutS: 3, idleTimeoutS: 4 };
  return JSON.stringify({
    version: 'r7',
    baseVersion: 0,
    resources: [
      { type: 'services', metadata: { name: 'shop' }, spec: { ...service } },
      { type: 'routes', metadata: { name }, spec: { ...spec, ...target } },
      { type: 'limits', spec: { ...bounds, ...limits } },
    ],
  });
}

/** A release note with unusual fields. */
function buildNoteText(path: string, healthPath: string): string {
  const service = { kind: 'service', name: 'shop', health_path: healthPath };
  const kind = { kind: 'request-kind', name: 'k', idempotent: true, worth: 1, timeout_ms: 9 };
  const names = { name: 'r', generation: 'old', service: 'shop', request_kind: 'k' };
  const route = { kind: 'route', path_prefix: path, method: '*', ...names };
  return JSON.stringify({ number: 7, title: 'odd', add: [service, kind, route] });
}

function read(front: OperatorFront, url: string, body: string): OperatorRequest | undefined {
  const answer = front.readRequest({ method: 'POST', url, format: 'json', body });
  return answer.ok ? answer.value : undefined;
}

/** Lists the resources that the source proposes to its log for a request; empty if it refuses the request. */
function listAccepted(request: OperatorRequest | undefined): Resource[] {
  const filter = new NotesFilter();
  const id = 'i' as RequestId;
  const state = filter.createState();
  if (request?.kind !== 'replace' && request?.kind !== 'command') return [];
  const outputs: readonly NotesOut[] = filter.decide(state, { ...request, id }, NOW).outputs;
  return outputs.flatMap((output) => {
    if (output.kind !== 'log' || output.request.kind !== 'propose') return [];
    const { command } = output.request;
    if (command.kind === 'submit') return command.draft.add;
    if (command.kind !== 'replace') return [];
    return command.changes.flatMap((change) => (change.op === 'put' ? change.resource : []));
  });
}

function listAcceptedPlatform(fields: OddFields): Resource[] {
  return listAccepted(
    read(new PlatformOperatorFront(), '/config/replace', buildPlatformText(fields)),
  );
}

function listAcceptedNote(path: string, healthPath = '/'): Resource[] {
  return listAccepted(
    read(new DefaultOperatorFront('t'), '/notes', buildNoteText(path, healthPath)),
  );
}

/** Encodes a version that adds and then removes these resources, and lists the resources that a proxy decodes. */
function decodeReceived(resources: readonly Resource[]): unknown[] {
  const puts = resources.map((resource) => ({ op: 'put', resource }) as const);
  const removes = resources.map(({ kind, name }) => ({ op: 'remove', key: `${kind}/${name}` }));
  const span = { after: 0, version: 1, changes: [...puts, ...removes], digest: MARK.digest };
  const frame = decodeFrame(encodeMessage('spread', { kind: 'push', spans: [span], newest: MARK }));
  const message = readDistributionMessage(frame.kind === 'message' ? frame.body : undefined);
  const [receivedSpan] = message?.kind === 'push' ? message.spans : [];
  return (receivedSpan?.changes ?? []).flatMap((change) =>
    change.op === 'put' ? change.resource : [],
  );
}

/** Tells whether a guard can parse an attempt of each of these request kinds. */
function isServed(resources: readonly Resource[]): boolean {
  return resources.every((resource) => {
    if (resource.kind !== 'request-kind') return true;
    const head = {
      attempt: 'a' as never,
      server: '127.0.0.1:80' as never,
      requestKind: resource.name,
      worth: resource.worth,
      deadline: NOW,
      subject: 's',
      suspect: false,
    };
    const headers = { 'bilberryswitch-forward': formatForward('pass', head, NOW) };
    const request = { headers, rawHeaders: [], url: '/', method: 'GET', httpVersion: '1.1' };
    const parsed = parseForwardedHead(request as never, 'c' as CallId, 'pass', NOW);
    return parsed.ok && parsed.value.head.worth === resource.worth;
  });
}

const oddNumber = fc.oneof(
  { weight: 3, arbitrary: fc.integer({ min: 1, max: 9 }) },
  { weight: 1, arbitrary: fc.constantFrom(1e300, 1e306, 1e21, 2 ** 53 - 1, 0, 1e-9, 0.5) },
);
const oddText = fc.oneof(
  { weight: 3, arbitrary: fc.constantFrom('/a/', '/') },
  { weight: 1, arbitrary: fc.constantFrom(LONG, `/${LONG}/`, 'ok') },
);
const weighted = fc.tuple(oddNumber, oddNumber).map(([left, right]) => ({
  trafficSplit: [
    { service: 'shop', weight: left },
    { service: 'shop', weight: right },
  ],
}));
const oddRoute = fc.oneof(
  weighted,
  fc.record(
    {
      host: oddText,
      pathPrefix: oddText,
      timeoutS: oddNumber,
      targetLatencyS: oddNumber,
      maxAttempts: oddNumber,
      priority: oddNumber,
    },
    { requiredKeys: [] },
  ),
);
const oddService = fc.record(
  { healthPath: oddText, maxConnections: oddNumber },
  { requiredKeys: [] },
);
const oddLimits = fc.record(
  { headerTimeoutS: oddNumber, idleTimeoutS: oddNumber, maxHeaderBytes: oddNumber },
  { requiredKeys: [] },
);

test('usual configurations are accepted', (t) => {
  t.is(listAcceptedPlatform({}).length, 4);
  t.is(listAcceptedNote('/orders').length, 3);
  t.is(listAcceptedPlatform({ route: { timeoutS: 86_400, maxAttempts: 2 ** 40 } }).length, 4);
});

test('timeout beyond the range of timers: refused', (t) => {
  for (const seconds of [1e306, 1e300, 1e21, 1e9]) {
    t.deepEqual(listAcceptedPlatform({ route: { timeoutS: seconds } }), [], `${seconds}`);
    t.deepEqual(listAcceptedPlatform({ route: { targetLatencyS: seconds } }), [], `${seconds}`);
    t.deepEqual(listAcceptedPlatform({ limits: { headerTimeoutS: seconds } }), [], `${seconds}`);
    t.deepEqual(listAcceptedPlatform({ limits: { idleTimeoutS: seconds } }), [], `${seconds}`);
  }
});

test('text too long for proxies: refused', (t) => {
  t.deepEqual(listAcceptedPlatform({ name: LONG }), []);
  t.deepEqual(listAcceptedPlatform({ name: 'n'.repeat(1_020) }), [], 'its key exceeds the limit');
  t.deepEqual(listAcceptedPlatform({ route: { host: LONG } }), []);
  t.deepEqual(listAcceptedPlatform({ route: { pathPrefix: `/${LONG}/` } }), []);
  t.deepEqual(listAcceptedPlatform({ service: { healthPath: `/${LONG}` } }), []);
  t.deepEqual(listAcceptedNote(`/${LONG}`), []);
  t.deepEqual(listAcceptedNote('/orders', `/${LONG}`), []);
});

test('weights with an infinite sum: refused', (t) => {
  const trafficSplit = [
    { service: 'shop', weight: 1e308 },
    { service: 'shop', weight: 1e308 },
  ];
  t.deepEqual(listAcceptedPlatform({ route: { trafficSplit } }), []);
});

test('proxies decode accepted configurations unchanged', (t) => {
  let accepted = 0;
  const property = fc.property(oddRoute, oddService, oddLimits, (route, service, limits) => {
    const resources = listAcceptedPlatform({ route, service, limits });
    if (resources.length === 0) return;
    accepted += 1;
    t.deepEqual(decodeReceived(resources), resources);
    t.true(isServed(resources));
    for (const resource of resources) {
      if (resource.kind !== 'route' || resource.targets === undefined) continue;
      const total = resource.targets.reduce((sum, { weight }) => sum + weight, 0);
      t.is(new WeightedRoundRobin('s').pickService(resource) === undefined, total === 0);
    }
  });
  fc.assert(property, { numRuns: 3_000, seed: 6 });
  t.true(accepted > 50, `${accepted} accepted`);
});

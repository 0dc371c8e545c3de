/** Configurations with odd values: what the source accepts, every proxy can read and every guard can serve. */
import test from 'ava';
import fc from 'fast-check';
import { PlatformOperatorFront } from '../platform/platform-operator-front.js';
import { formatForward, parseForwardedHead } from '../src/edge/call-headers.js';
import type { OperatorFront, OperatorRequest } from '../src/edge/index.js';
import { NoteFront, readSpreadMessage } from '../src/edge/index.js';
import { decodeFrame, encodeMessage } from '../src/edge/link-codec.js';
import type { CallId, Digest, Instant, RequestId, Version } from '../src/ids.js';
import type { Resource } from '../src/messages/index.js';
import { WeightedTurns } from '../src/calls/weighted-round-robin.js';
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

/** A configuration of the platform with odd fields. */
function formPlatformText({ route, service, limits, name = 'r' }: OddFields): string {
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

/** A note of the product itself with odd fields. */
function formNoteText(path: string, healthPath: string): string {
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

/** The resources that the source puts into its log for a request; none where it refuses. */
function accept(request: OperatorRequest | undefined): Resource[] {
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

function acceptPlatform(fields: OddFields): Resource[] {
  return accept(read(new PlatformOperatorFront(), '/config/replace', formPlatformText(fields)));
}

function acceptNote(path: string, healthPath = '/'): Resource[] {
  return accept(read(new NoteFront('t'), '/notes', formNoteText(path, healthPath)));
}

/** What a proxy reads of a version that holds these resources, or takes away the same ones again. */
function spread(resources: readonly Resource[]): unknown[] {
  const puts = resources.map((resource) => ({ op: 'put', resource }) as const);
  const removes = resources.map(({ kind, name }) => ({ op: 'remove', key: `${kind}/${name}` }));
  const span = { after: 0, version: 1, changes: [...puts, ...removes], digest: MARK.digest };
  const frame = decodeFrame(encodeMessage('spread', { kind: 'push', spans: [span], newest: MARK }));
  const message = readSpreadMessage(frame.kind === 'message' ? frame.body : undefined);
  const [heard] = message?.kind === 'push' ? message.spans : [];
  return (heard?.changes ?? []).flatMap((change) => (change.op === 'put' ? change.resource : []));
}

/** Tells whether a guard takes an attempt of each request kind among these. */
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

test('sound configurations are accepted', (t) => {
  t.is(acceptPlatform({}).length, 4);
  t.is(acceptNote('/orders').length, 3);
  t.is(acceptPlatform({ route: { timeoutS: 86_400, maxAttempts: 2 ** 40 } }).length, 4);
});

test('time limit that no timer keeps: refused', (t) => {
  for (const seconds of [1e306, 1e300, 1e21, 1e9]) {
    t.deepEqual(acceptPlatform({ route: { timeoutS: seconds } }), [], `${seconds}`);
    t.deepEqual(acceptPlatform({ route: { targetLatencyS: seconds } }), [], `${seconds}`);
    t.deepEqual(acceptPlatform({ limits: { headerTimeoutS: seconds } }), [], `${seconds}`);
    t.deepEqual(acceptPlatform({ limits: { idleTimeoutS: seconds } }), [], `${seconds}`);
  }
});

test('text that no proxy reads: refused', (t) => {
  t.deepEqual(acceptPlatform({ name: LONG }), []);
  t.deepEqual(acceptPlatform({ name: 'n'.repeat(1_020) }), [], 'its key is longer still');
  t.deepEqual(acceptPlatform({ route: { host: LONG } }), []);
  t.deepEqual(acceptPlatform({ route: { pathPrefix: `/${LONG}/` } }), []);
  t.deepEqual(acceptPlatform({ service: { healthPath: `/${LONG}` } }), []);
  t.deepEqual(acceptNote(`/${LONG}`), []);
  t.deepEqual(acceptNote('/orders', `/${LONG}`), []);
});

test('weights that cannot be added up: refused', (t) => {
  const trafficSplit = [
    { service: 'shop', weight: 1e308 },
    { service: 'shop', weight: 1e308 },
  ];
  t.deepEqual(acceptPlatform({ route: { trafficSplit } }), []);
});

test('what the source accepts, proxies read unchanged', (t) => {
  let accepted = 0;
  const property = fc.property(oddRoute, oddService, oddLimits, (route, service, limits) => {
    const resources = acceptPlatform({ route, service, limits });
    if (resources.length === 0) return;
    accepted += 1;
    t.deepEqual(spread(resources), resources);
    t.true(isServed(resources));
    for (const resource of resources) {
      if (resource.kind !== 'route' || resource.targets === undefined) continue;
      const total = resource.targets.reduce((sum, { weight }) => sum + weight, 0);
      t.is(new WeightedTurns('s').pickService(resource) === undefined, total === 0);
    }
  });
  fc.assert(property, { numRuns: 3_000, seed: 6 });
  t.true(accepted > 50, `${accepted} accepted`);
});

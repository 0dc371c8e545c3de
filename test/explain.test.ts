/** Explanations of calls: equal to the decisions on calls, and without effect on them. */
import test from 'ava';
import type { CallIn, CallOut } from '../src/calls/index.js';
import { CallPipe, PrioritySlotPolicy, TwoChoicesPicker } from '../src/calls/index.js';
import { addMs } from '../src/clock.js';
import { parseExplainQuery } from '../src/edge/explain-query.js';
import type { AccountKey, ClientAccountName, Instant, ServiceName } from '../src/ids.js';
import type {
  CallExplanation,
  CallHead,
  ExplainQuery,
  RefusalReason,
} from '../src/messages/index.js';
import { buildKeyDigest } from '../src/notes/index.js';
import { formatExplanation } from '../src/program/commands/format-explanation.js';
import { SeededRandom } from '../src/random.js';
import {
  makeConfiguration,
  makeHead,
  makeKind,
  makeMember,
  makeRoute,
  makeServer,
  START,
} from './call-resources.js';

const NOW = addMs(START, 60_000);
const SHOP = 'shop' as ServiceName;
const GREEN = 'green' as ServiceName;
const KEY = 'secret' as AccountKey;
const ACCOUNT = 'buyer' as ClientAccountName;
const CONFIGURATION = makeConfiguration(
  makeKind('read', { worth: 2, timeoutMs: 1_000 }),
  makeRoute('/shop', 'read', { isPublic: true }),
  makeRoute('/closed', 'read'),
  makeRoute('/empty', 'read', { service: 'empty' as ServiceName, isPublic: true }),
  makeRoute('/split', 'read', {
    isPublic: true,
    targets: [
      { service: SHOP, weight: 3 },
      { service: GREEN, weight: 1 },
    ],
  }),
  { kind: 'client-account', name: ACCOUNT, keys: [buildKeyDigest(KEY)], worth: 8 },
);

/** Drives a call pipe with four servers on other hosts. */
class Driver {
  readonly #pipe = new CallPipe({
    place: makeMember('entry', []),
    picker: new TwoChoicesPicker(new SeededRandom(1)),
    createPolicy: () => new PrioritySlotPolicy(),
  });
  readonly #state = this.#pipe.createState();

  constructor(isConfigured = true) {
    if (isConfigured) this.post({ kind: 'whole', configuration: CONFIGURATION });
    for (let index = 0; index < 4; index += 1) {
      const service = index < 3 ? SHOP : GREEN;
      const server = makeServer(`10.0.0.${index}:1`, { service });
      this.post({ kind: 'member-up', member: makeMember(`host-${index}`, [server]) }, START);
    }
  }

  post(message: CallIn, now: Instant = NOW): readonly CallOut[] {
    return this.#pipe.decide(this.#state, message, now).outputs;
  }

  explain(query: Partial<ExplainQuery>): CallExplanation {
    const outputs = this.post({
      kind: 'explain',
      id: 7,
      query: { method: 'GET', path: '/shop', ...query },
    });
    const [output] = outputs;
    if (output?.kind !== 'explained' || output.id !== 7 || outputs.length > 1) {
      throw new Error('expected an explanation and nothing else');
    }
    return output.explanation;
  }

  /** Sends a call and gives it a turn. */
  send(id: string, head: Partial<CallHead>): readonly CallOut[] {
    const arrived = this.post({ kind: 'arrived', head: makeHead(id, head) });
    return [...arrived, ...this.post({ kind: 'turn' })];
  }

  findRefusal(head: Partial<CallHead>): RefusalReason | undefined {
    for (const output of this.send('c', head)) if (output.kind === 'refuse') return output.reason;
    return undefined;
  }
}

const CASES: readonly (readonly [string, Partial<CallHead>, Partial<ExplainQuery>])[] = [
  ['public route', { path: '/shop' }, { path: '/shop' }],
  ['no route', { path: '/nowhere' }, { path: '/nowhere' }],
  ['no server', { path: '/empty' }, { path: '/empty' }],
  ['key', { path: '/closed', accountKey: KEY }, { path: '/closed', account: ACCOUNT }],
  [
    'unknown key',
    { path: '/closed', accountKey: 'x' as AccountKey },
    { path: '/closed', account: 'nobody' as ClientAccountName },
  ],
  ['no key', { path: '/closed' }, { path: '/closed' }],
];

for (const [name, head, query] of CASES) {
  test(`same verdict as for a call: ${name}`, (t) => {
    const explained = new Driver().explain(query);
    const refusal = explained.refusal ?? explained.services[0]?.refusal;
    t.is(refusal, new Driver().findRefusal(head));
  });
}

test('same verdict: no configuration, stale, draining', (t) => {
  const drivers = [new Driver(false), new Driver(), new Driver()];
  drivers[1]?.post({ kind: 'stale', isStale: true });
  drivers[2]?.post({ kind: 'drain' });
  const reasons = drivers.map((driver) => driver.explain({}).refusal);
  t.deepEqual(reasons, ['no-configuration', 'stale-configuration', 'draining']);
  t.deepEqual(
    drivers.map((driver) => driver.findRefusal({ path: '/shop' })),
    reasons,
  );
});

// Guards against a question that takes a turn of a route, a random number or an estimate from calls.
test('questions change no decision', (t) => {
  const [asked, other] = [new Driver(), new Driver()];
  for (let count = 0; count < 100; count += 1) {
    asked.explain({ path: '/split' });
    asked.explain({ path: '/nowhere' });
    const head = { path: count % 2 === 0 ? '/split' : '/shop' };
    t.deepEqual(asked.send(`c${count}`, head), other.send(`c${count}`, head));
  }
});

test('servers with costs, the cheapest first', (t) => {
  const driver = new Driver();
  const first = driver.send('c', { path: '/shop' }).find(({ kind }) => kind === 'dispatch');
  const server = first?.kind === 'dispatch' ? first.target.server : undefined;
  const { services, worth, timeoutMs, route } = driver.explain({ account: ACCOUNT });
  t.like({ worth, timeoutMs, route }, { worth: 8, timeoutMs: 1_000, route: 'old/shop' });
  const [shop] = services;
  const costs = shop?.servers.map(({ cost = 0 }) => cost) ?? [];
  t.is(costs.length, 3);
  t.deepEqual(
    costs,
    costs.toSorted((left, right) => left - right),
  );
  // The attempt in flight makes its server the most expensive one.
  t.is(shop?.servers.at(-1)?.server, server);
});

test('targets with shares', (t) => {
  const { services } = new Driver().explain({ path: '/split' });
  t.deepEqual(
    services.map(({ service, share }) => [service, share]),
    [
      [SHOP, 0.75],
      [GREEN, 0.25],
    ],
  );
});

test('server that is not ready: excluded', (t) => {
  const driver = new Driver();
  const server = makeServer('10.0.0.3:1', { service: GREEN, state: 'draining' });
  driver.post({ kind: 'member-up', member: makeMember('host-3', [server]) });
  const [, green] = driver.explain({ path: '/split' }).services;
  t.is(green?.refusal, 'no-server');
  t.is(green?.servers[0]?.excluded, 'not-ready');
  t.regex(formatExplanation(driver.explain({ path: '/split' })), /10\.0\.0\.3:1 .*: not-ready;/);
});

test('query: parsed, malformed ones are refused', (t) => {
  t.deepEqual(parseExplainQuery('/explain?path=%2Fa%3Fb&method=post&host=Shop.Example:80'), {
    method: 'POST',
    host: 'shop.example',
    path: '/a',
    caller: undefined,
    account: undefined,
  });
  t.true(parseExplainQuery('/explain?method=GET') instanceof Error);
  t.true(parseExplainQuery('/explain?path=/a&caller=a%0ab') instanceof Error);
});

/** Client accounts: their keys, how calls find them, and what backend servers learn of them. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { request } from 'undici';
import { decodeDocument } from '../platform/configuration-codec.js';
import { PlatformCallFront } from '../platform/platform-call-front.js';
import { PlatformOperatorFront } from '../platform/platform-operator-front.js';
import { AccountIndex } from '../src/calls/account-index.js';
import type { ClassifyIn, ClassifyOut } from '../src/calls/classify-filter.js';
import type { CallEnd, CallObserver } from '../src/calls/index.js';
import { NoopObserver } from '../src/calls/index.js';
import { ClassifyFilter } from '../src/calls/classify-filter.js';
import { RouteIndex } from '../src/calls/route-index.js';
import { addMs } from '../src/clock.js';
import type { OperatorAnswer, OperatorFront } from '../src/edge/index.js';
import { DefaultOperatorFront } from '../src/edge/index.js';
import type { AccountKey, ClientAccountName, RequestId } from '../src/ids.js';
import type { ClientAccountResource, NoteCommand, Resource } from '../src/messages/index.js';
import type { Configuration } from '../src/notes/index.js';
import { buildKeyDigest, NoteStore } from '../src/notes/index.js';
import { CallMesh } from './call-mesh.js';
import { makeConfiguration, makeHead, makeKind, makeRoute, START } from './call-resources.js';
import type { RequestHandler } from './test-server.js';

const KEY = 'key-of-opera-1';
const SECOND_KEY = 'key-of-opera-2';
const UNKNOWN_KEY = 'key-of-nobody';
const MAX_INDEX_BYTES = 2e6;
const ROUTES = [
  makeKind('read', { worth: 3 }),
  makeRoute('/read', 'read'),
  makeRoute('/open', 'read', { isPublic: true }),
];

function makeAccount(
  name: string,
  keys: readonly string[],
  fields: Partial<ClientAccountResource> = {},
): ClientAccountResource {
  const digests = keys.map((key) => buildKeyDigest(key as AccountKey));
  return { kind: 'client-account', name: name as ClientAccountName, keys: digests, ...fields };
}

/** Makes many accounts with ten keys each. */
function makeAccounts(count: number): ClientAccountResource[] {
  return Array.from({ length: count }, (_, index) => {
    const keys = Array.from({ length: 10 }, (_unused, key) => `key-${index}-${key}`);
    return makeAccount(`account-${index}`, keys);
  });
}

const OPERA = makeAccount('opera', [KEY, SECOND_KEY]);
const CONFIGURATION = makeConfiguration(...ROUTES, OPERA, makeAccount('theatre', ['other']));

/** Returns the next configuration, in which some resources are replaced. */
function replaceResources(configuration: Configuration, resources: Resource[]): Configuration {
  const changes = resources.map((resource) => ({ op: 'put', resource }) as const);
  return { ...configuration, resources: configuration.resources.apply(changes) };
}

/** Drives a classify filter. */
class ClassifyDriver {
  now = START;
  readonly #filter: ClassifyFilter;
  #state;

  constructor(isRevocationStrict = false) {
    this.#filter = new ClassifyFilter('host-0', isRevocationStrict);
    this.#state = this.#filter.createState();
  }

  post(message: ClassifyIn): readonly ClassifyOut[] {
    const step = this.#filter.decide(this.#state, message, this.now);
    this.#state = step.state;
    return step.outputs;
  }

  /** Returns the reason of a refusal, or the account of a routed call; empty for a call without one. */
  call(key?: string, path = '/read/x'): string {
    const accountKey = key === undefined ? {} : { accountKey: key as AccountKey };
    const [output] = this.post({ kind: 'arrived', head: makeHead('c', { path, ...accountKey }) });
    if (output?.kind === 'refused') return output.reason;
    return output?.kind === 'routed' ? (output.call.account?.name ?? '') : 'nothing';
  }
}

function startClassify(configuration = CONFIGURATION, isRevocationStrict = false): ClassifyDriver {
  const driver = new ClassifyDriver(isRevocationStrict);
  driver.post({ kind: 'whole', configuration });
  return driver;
}

// Guards against a key that is taken for that of another account, or not found.
test('key finds its account', (t) => {
  const driver = startClassify();
  t.deepEqual(
    [KEY, SECOND_KEY, 'other'].map((key) => driver.call(key)),
    ['opera', 'opera', 'theatre'],
  );
});

// Guards against calls that run without a valid key.
test('unknown key: refused', (t) => {
  const driver = startClassify();
  for (const key of [UNKNOWN_KEY, '', KEY.toUpperCase(), `${KEY}, ${KEY}`, `${KEY} `]) {
    t.is(driver.call(key), 'unknown-key', key);
  }
});

// Guards against digests that are accepted as keys, because configurations are less secret than keys.
test('digest of a key: refused', (t) => {
  t.is(startClassify().call(buildKeyDigest(KEY as AccountKey)), 'unknown-key');
});

// Guards against public routes that need a key, and against ones that forget the account of a valid key.
test('public route: any key', (t) => {
  const driver = startClassify();
  const keys = [undefined, UNKNOWN_KEY, KEY];
  t.deepEqual(
    keys.map((key) => driver.call(key, '/open/x')),
    ['', '', 'opera'],
  );
});

// Guards against callers that leave out their key, past the priority and the allowance of their account. Calls of backend
// servers carry no key and use public routes.
test('no key: refused, on a public route no account', (t) => {
  const driver = startClassify();
  t.deepEqual([driver.call(), driver.call(undefined, '/open/x')], ['unknown-key', '']);
});

// Guards against a proxy that honours a key after the configuration that revokes it.
test('revoked key: refused with the next configuration', (t) => {
  const driver = startClassify();
  const configuration = replaceResources(CONFIGURATION, [makeAccount('opera', [SECOND_KEY])]);
  driver.post({ kind: 'whole', configuration });
  t.deepEqual([driver.call(KEY), driver.call(SECOND_KEY)], ['unknown-key', 'opera']);
});

// Guards against a configuration whose accounts have no keys being taken for one without accounts.
test('last key revoked: refused', (t) => {
  const configuration = makeConfiguration(...ROUTES, OPERA);
  const driver = startClassify(configuration);
  driver.post({
    kind: 'whole',
    configuration: replaceResources(configuration, [makeAccount('opera', [])]),
  });
  t.deepEqual([driver.call(KEY), driver.call()], ['unknown-key', 'unknown-key']);
});

// Guards against an index that forgets a key because its former holder is updated after the new one.
test('key moves between accounts in one configuration', (t) => {
  const moved = [makeAccount('opera', [SECOND_KEY]), makeAccount('theatre', ['other', KEY])];
  const back = [OPERA, makeAccount('theatre', ['other'])];
  for (const order of [(list: Resource[]) => list, (list: Resource[]) => list.toReversed()]) {
    const driver = startClassify();
    const next = replaceResources(CONFIGURATION, order(moved));
    driver.post({ kind: 'whole', configuration: next });
    t.is(driver.call(KEY), 'theatre');
    driver.post({ kind: 'whole', configuration: replaceResources(next, order(back)) });
    t.is(driver.call(KEY), 'opera');
  }
});

// Guards against the same where the new holder is added first.
test('index: new holder of a key added before the former one is removed', (t) => {
  const index = new AccountIndex();
  index.add(OPERA);
  index.add(makeAccount('theatre', [KEY]));
  index.remove(OPERA);
  t.is(index.find(KEY as AccountKey)?.name, 'theatre' as ClientAccountName);
  t.is(index.find(SECOND_KEY as AccountKey), undefined);
});

// Guards against a priority of the route that overrides that of the account.
test("account's worth before that of the request kind", (t) => {
  const rich = makeAccount('rich', ['rich'], { worth: 0 });
  const driver = startClassify(makeConfiguration(...ROUTES, OPERA, rich));
  const worths = ['rich', KEY].map((key) => {
    const head = makeHead('c', { path: '/read/x', accountKey: key as AccountKey });
    const [output] = driver.post({ kind: 'arrived', head });
    return output?.kind === 'routed' ? output.call.worth : undefined;
  });
  t.deepEqual(worths, [0, 3]);
});

// Guards against a final refusal from a proxy that cannot know which keys are valid.
test('no configuration or a stale one: not taken for an unknown key', (t) => {
  t.is(new ClassifyDriver().call(UNKNOWN_KEY), 'no-configuration');
  const driver = startClassify();
  driver.post({ kind: 'stale', isStale: true });
  t.deepEqual(
    [KEY, UNKNOWN_KEY].map((key) => driver.call(key)),
    ['stale-configuration', 'stale-configuration'],
  );
  driver.post({ kind: 'stale', isStale: false });
  t.is(driver.call(KEY), 'opera');
});

// Guards against a proxy that is cut off and honours a key long after it was revoked.
test('strict revocation: keys are trusted until an instant', (t) => {
  const driver = startClassify(CONFIGURATION, true);
  const keys = [KEY, UNKNOWN_KEY, undefined];
  const refused = ['stale-configuration', 'stale-configuration', 'unknown-key'];
  t.deepEqual(
    keys.map((key) => driver.call(key)),
    refused,
    'no sign of the newest version yet',
  );
  driver.post({ kind: 'keys-trusted', until: addMs(START, 5_000) });
  driver.now = addMs(START, 4_999);
  t.deepEqual(
    keys.map((key) => driver.call(key)),
    ['opera', 'unknown-key', 'unknown-key'],
  );
  driver.now = addMs(START, 5_000);
  t.deepEqual(
    keys.map((key) => driver.call(key)),
    refused,
  );
  t.is(driver.call(KEY, '/open/x'), 'stale-configuration');
});

// Guards against strict revocation that refuses calls where nothing can be revoked.
test('strict revocation without accounts: no effect', (t) => {
  t.is(startClassify(makeConfiguration(...ROUTES), true).call(KEY), '');
});

// Guards against lenient proxies that stop serving known keys while they are cut off.
test('lenient revocation: keys are trusted for ever', (t) => {
  const driver = startClassify();
  driver.now = addMs(START, 86_400_000);
  t.is(driver.call(KEY), 'opera');
});

/** An account as operators write it. */
interface WrittenAccount {
  readonly name: string;
  readonly keys: readonly string[];
}

/** Submits accounts through each front, whose status for faulty notes differs. */
const FRONTS = [
  { front: 'product', submitAccounts: submitNote, faultStatus: 422 },
  { front: 'platform', submitAccounts: submitPlatform, faultStatus: 400 },
];

function submitNote(accounts: readonly WrittenAccount[]): OperatorAnswer {
  return submit(new DefaultOperatorFront('t'), '/notes', writeNote(accounts));
}

function writeNote(accounts: readonly WrittenAccount[]): string {
  const add = accounts.map((account) => ({ kind: 'client-account', ...account }));
  return JSON.stringify({ number: 1, title: 'accounts', add });
}

function submitPlatform(accounts: readonly WrittenAccount[]): OperatorAnswer {
  return submit(new PlatformOperatorFront(), '/config/replace', writePlatform(accounts));
}

function writePlatform(accounts: readonly WrittenAccount[]): string {
  const resources = accounts.map(({ name, keys }) => {
    return { type: 'tenants', metadata: { name }, spec: { apiKeys: keys } };
  });
  return JSON.stringify({ version: 'r1', baseVersion: 0, resources });
}

/** Reads an operator's request and applies it to an empty configuration. */
function submit(front: OperatorFront, url: string, body: string): OperatorAnswer {
  const store = new NoteStore();
  const command = readCommand(store, front, url, body);
  if ('status' in command) return command;
  const { answer: reply } = store.apply(command);
  const context = { url, findOperator: () => undefined };
  return front.buildAnswer({ kind: 'answer', id: 'r' as RequestId, answer: reply }, context);
}

function readCommand(
  store: NoteStore,
  front: OperatorFront,
  url: string,
  body: string,
): NoteCommand | OperatorAnswer {
  const read = front.readRequest({ method: 'POST', url, format: 'json', body });
  if (!read.ok) return read.error;
  const { value } = read;
  if (value.kind === 'replace') return store.buildReplaceCommand(value.replacement);
  if (value.kind === 'command') return value.command;
  throw new Error(`unexpected request ${value.kind}`);
}

function listKeys(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `k${index}`);
}

const OPERA_KEY = { name: 'opera', keys: [KEY] };
/** Each faulty configuration, and what its refusal has to name. */
const FAULTS: readonly (readonly [string, readonly WrittenAccount[], RegExp])[] = [
  [
    'key of two accounts',
    [OPERA_KEY, { name: 'theatre', keys: [KEY] }],
    /opera.*theatre|theatre.*opera/s,
  ],
  ['empty name', [OPERA_KEY, { name: '', keys: [] }], /1.*name/s],
  ['key with a line break', [OPERA_KEY, { name: 'theatre', keys: ['a\nb'] }], /1.*[kK]eys/s],
  ['key with a space', [OPERA_KEY, { name: 'theatre', keys: ['a b'] }], /1.*[kK]eys/s],
  ['key beyond ASCII', [OPERA_KEY, { name: 'theatre', keys: ['schlüssel'] }], /1.*[kK]eys/s],
  ['empty key', [OPERA_KEY, { name: 'theatre', keys: [''] }], /1.*[kK]eys/s],
  ['11 keys', [OPERA_KEY, { name: 'theatre', keys: listKeys(11) }], /1.*[kK]eys/s],
  [
    '1,001 accounts',
    listKeys(1_001).map((name) => ({ name, keys: [] })),
    /client-account\/k\d+ would exceed the limit of 1000/,
  ],
];

for (const { front, submitAccounts, faultStatus } of FRONTS) {
  for (const [fault, accounts, named] of FAULTS) {
    // Guards against a configuration that proxies cannot serve, and against a refusal that does not tell the item.
    test(`${front}, refused: ${fault}`, (t) => {
      const { status, body } = submitAccounts(accounts);
      t.is(status, faultStatus);
      t.regex(JSON.stringify(body), named);
    });
  }

  // Guards against refusals of what has to be accepted: an account without keys, ten keys, a repeated key.
  test(`${front}, accepted: no keys, 10 keys, one key twice`, (t) => {
    const accounts = [
      { name: 'none', keys: [] },
      { name: 'ten', keys: listKeys(10) },
      { name: 'twice', keys: ['again', 'again'] },
    ];
    t.is(submitAccounts(accounts).status, 200);
  });

  // Guards against a bound below what deployments need.
  test(`${front}, accepted: 1,000 accounts with 10 keys`, (t) => {
    const accounts = listKeys(1_000).map((name) => {
      return { name, keys: listKeys(10).map((key) => `${name}-${key}`) };
    });
    t.is(submitAccounts(accounts).status, 200);
  });
}

// Guards against keys as sent in the log and in versions; only the operators' document holds them, to be read back.
test('versions hold digests of keys', (t) => {
  const store = new NoteStore();
  const note = readCommand(store, new DefaultOperatorFront('t'), '/notes', writeNote([OPERA_KEY]));
  const written = writePlatform([OPERA_KEY]);
  const replacement = readCommand(store, new PlatformOperatorFront(), '/config/replace', written);
  for (const command of [note, { ...replacement, document: undefined }]) {
    const text = JSON.stringify(command);
    t.notRegex(text, new RegExp(KEY));
    t.true(text.includes(buildKeyDigest(KEY as AccountKey)));
  }
  const document = 'document' in replacement ? replacement.document : undefined;
  t.true(document instanceof Uint8Array && Buffer.from(decodeDocument(document)).includes(KEY));
});

// Guards against a proxy that exceeds its memory with the largest number of accounts.
test.serial('1,000 accounts with 10 keys: less than 2 MB in the index', (t) => {
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  const configuration = makeConfiguration(...ROUTES, ...makeAccounts(1_000));
  const index = new RouteIndex();
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  index.update(configuration);
  collectGarbage();
  const bytes = process.memoryUsage().heapUsed - before;
  t.log(`${(bytes / 1e6).toFixed(2)} MB`);
  t.true(bytes < MAX_INDEX_BYTES);
  t.is(index.accounts.find('key-999-9' as AccountKey)?.name, 'account-999' as ClientAccountName);
});

/** Answers like a correct backend server of the platform. */
function answer(received: IncomingMessage, response: ServerResponse): void {
  received.resume();
  const id = received.headers['x-attempt-id'] ?? '';
  response.writeHead(200, { 'X-Attempt-Id': id, 'X-Server-Seal': 'signed' }).end('done');
}

/** Starts proxies of the platform of which the last one has a server, and records the requests that it gets. */
async function startProxies(
  t: ExecutionContext,
  count: number,
  configuration = CONFIGURATION,
  observer: CallObserver = new NoopObserver(),
) {
  const seen: IncomingMessage[] = [];
  const record: RequestHandler = (received, response) => {
    seen.push(received);
    answer(received, response);
  };
  const answers = Array.from({ length: count }, (_, index) =>
    index === count - 1 ? record : undefined,
  );
  const mesh = await CallMesh.start({
    configuration,
    answers,
    front: new PlatformCallFront(),
    observer,
  });
  t.teardown(() => mesh.stop());
  const call = async (headers: Record<string, string>, path = '/read/x') => {
    const url = `http://${mesh.at(0).calls}${path}`;
    const sent = { 'x-attempt-id': 'a-1', 'x-deadline-ms': '1500', ...headers };
    const { statusCode, headers: answered, body } = await request(url, { headers: sent });
    await body.dump();
    return { status: statusCode, headers: answered };
  };
  return { mesh, seen, call };
}

const FORGED = { 'x-tenant': 'theatre', 'bilberryswitch-account': 'theatre' };

for (const count of [1, 2]) {
  // Guards against keys that leak to backend servers, and against callers that choose their account.
  test(`${count} proxies: the server gets the name, not the key`, async (t) => {
    const { seen, call } = await startProxies(t, count);
    t.is((await call({ ...FORGED, 'x-api-key': KEY })).status, 200);
    t.is((await call({ ...FORGED, 'X-API-Key': KEY, connection: 'x-tenant' })).status, 200);
    t.is((await call({ ...FORGED, 'x-api-key': UNKNOWN_KEY }, '/open/x')).status, 200);
    t.is((await call(FORGED)).status, 401);
    t.is((await call(FORGED, '/open/x')).status, 200);
    t.deepEqual(
      seen.map(({ headers }) => headers['x-tenant']),
      ['opera', 'opera', undefined, undefined],
    );
    for (const { rawHeaders } of seen) {
      const text = rawHeaders.join('\n').toLowerCase();
      t.notRegex(text, /x-api-key|key-of-|theatre|bilberryswitch/);
    }
  });

  // Guards against an effect on deployments that use these headers themselves.
  test(`${count} proxies without accounts: headers are passed on`, async (t) => {
    const { seen, call } = await startProxies(t, count, makeConfiguration(...ROUTES));
    t.is((await call({ 'x-api-key': UNKNOWN_KEY, 'x-tenant': 'theatre' })).status, 200);
    t.like(seen[0]?.headers, { 'x-api-key': UNKNOWN_KEY, 'x-tenant': 'theatre' });
  });
}

/** Records how calls ended. */
class EndedCalls extends NoopObserver {
  readonly ends: CallEnd[] = [];

  override endCall(end: CallEnd): void {
    this.ends.push(end);
  }
}

// Guards against a refusal that operators cannot find, and against keys in what is logged and counted.
test('401 is reported with its reason, without the key', async (t) => {
  const observer = new EndedCalls();
  const { call } = await startProxies(t, 2, CONFIGURATION, observer);
  t.is((await call({ 'x-api-key': UNKNOWN_KEY })).status, 401);
  t.like(observer.ends, [
    { status: 401, reason: 'unknown-key', outcome: 'not-run', account: undefined, attempt: 0 },
  ]);
  t.is((await call({ 'x-api-key': KEY })).status, 200);
  t.true(observer.ends.slice(1).every(({ account }) => account === OPERA.name));
  t.notRegex(JSON.stringify(observer.ends), /key-of-/);
});

// Guards against refusals that callers take for the wrong kind: 401 is final, 503 is not run.
test('statuses: 401 for an unknown key, 503 while stale', async (t) => {
  const { mesh, seen, call } = await startProxies(t, 2);
  const unknown = await call({ 'x-api-key': UNKNOWN_KEY });
  t.is(unknown.status, 401);
  t.is(unknown.headers['retry-after'], undefined);
  mesh.at(0).task.post({ kind: 'stale', isStale: true });
  const stale = await call({ 'x-api-key': UNKNOWN_KEY });
  t.is(stale.status, 503);
  t.truthy(stale.headers['retry-after']);
  t.is(seen.length, 0);
});

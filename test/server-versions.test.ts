/** Versions of backend servers: what is published, and which calls each version gets. */
import test from 'ava';
import { PlatformAnnounceFront } from '../platform/platform-announce-front.js';
import { AttemptFilter } from '../src/calls/attempt-filter.js';
import type { AttemptIn, AttemptOut } from '../src/calls/attempt-messages.js';
import type { RoutedCall } from '../src/calls/classify-filter.js';
import { TwoChoicesPicker } from '../src/calls/index.js';
import type { Locality } from '../src/calls/server-table.js';
import { addMs } from '../src/clock.js';
import { DefaultAnnounceFront } from '../src/edge/index.js';
import { decodeUpdate, encodeUpdate } from '../src/edge/member-codec.js';
import type {
  AttemptId,
  DataCentreId,
  HostId,
  Instant,
  RegionId,
  RequestKindName,
  ServerVersion,
  ServiceName,
  Version,
} from '../src/ids.js';
import { estimateBytes } from '../src/members/update-size.js';
import type { MemberUpdate, RolloutResource } from '../src/messages/index.js';
import { EMPTY_CONFIGURATION, ResourceMap } from '../src/notes/index.js';
import { SeededRandom } from '../src/random.js';
import { VersionShares } from '../src/rollouts/index.js';
import {
  makeConfiguration,
  makeHead,
  makeKind,
  makeMember,
  makeServer,
  START,
} from './call-resources.js';

const SHOP = 'shop' as ServiceName;
const KIND = 'k' as RequestKindName;
const V1 = 'v1' as ServerVersion;
const V2 = 'v2' as ServerVersion;
const V3 = 'v3' as ServerVersion;
const PLACE: Locality = {
  host: 'entry' as HostId,
  dataCentre: 'a' as DataCentreId,
  region: 'hu-central' as RegionId,
};
/** After the slow start of all servers. */
const NOW = addMs(START, 60_000);

function makeRollout(fields: Partial<RolloutResource> = {}): RolloutResource {
  return {
    kind: 'rollout',
    name: SHOP,
    state: 'running',
    from: V1,
    to: V2,
    share: 0.5,
    order: 3 as Version,
    step: 1,
    startedAt: START,
    deadline: addMs(START, 12_000),
    ...fields,
  };
}

/** Drives an attempt filter with servers of some versions, one per host. */
class Driver {
  readonly #filter: AttemptFilter;
  readonly #state;
  readonly #versions = new Map<string, ServerVersion | undefined>();
  #calls = 0;

  constructor(versions: readonly (ServerVersion | undefined)[], hasRollouts = true, slots = 1_000) {
    const random = new SeededRandom(5);
    this.#filter = new AttemptFilter({
      place: PLACE,
      picker: new TwoChoicesPicker(random),
      versionPhase: hasRollouts ? () => random.next() : undefined,
    });
    this.#state = this.#filter.createState();
    this.post({ kind: 'leader-heard', until: addMs(NOW, 1_000) });
    for (const [index, version] of versions.entries()) {
      const address = `10.0.0.${index}:1`;
      this.#versions.set(address, version);
      const server = makeServer(address, { slots, ...(version === undefined ? {} : { version }) });
      this.post({ kind: 'member-up', member: makeMember(`host-${index}`, [server]) }, START);
    }
  }

  post(message: AttemptIn, now: Instant = NOW): readonly AttemptOut[] {
    return this.#filter.decide(this.#state, message, now).outputs;
  }

  setRollout(fields: Partial<RolloutResource> = {}): void {
    this.post({ kind: 'whole', configuration: makeConfiguration(makeRollout(fields)) });
  }

  /** Starts a call; returns its attempt and the version of its server. */
  call(): { attempt: AttemptId; version: ServerVersion | undefined } | undefined {
    this.#calls += 1;
    const call = makeCall(`call-${this.#calls}`);
    return this.#findDispatch(this.post({ kind: 'claimed', call }));
  }

  /** Ends an attempt with a failure that allows a retry; returns the retry. */
  fail(attempt: AttemptId) {
    const failure = { outcome: 'not-run', reason: 'upstream-failed' } as const;
    return this.#findDispatch(this.post({ kind: 'attempt-failed', attempt, failure }));
  }

  /** Counts the versions that some calls go to; the calls end at once. */
  count(calls: number): Record<string, number> {
    const counts: Record<string, number> = {};
    for (let index = 0; index < calls; index += 1) {
      const started = this.call();
      const key = String(started?.version);
      counts[key] = (counts[key] ?? 0) + 1;
      if (started === undefined) continue;
      const { attempt } = started;
      this.post({ kind: 'answer-started', attempt, status: 200, load: undefined });
      this.post({ kind: 'answer-complete', attempt });
    }
    return counts;
  }

  #findDispatch(outputs: readonly AttemptOut[]) {
    const dispatch = outputs.find(({ kind }) => kind === 'dispatch');
    if (dispatch?.kind !== 'dispatch') return undefined;
    const { attempt, server } = dispatch.head;
    return { attempt, version: this.#versions.get(server) };
  }
}

function makeCall(id: string): RoutedCall {
  const requestKind = makeKind('k');
  return {
    head: makeHead(id),
    version: 3 as Version,
    service: SHOP,
    requestKind,
    worth: 1,
    deadline: addMs(NOW, 60_000),
    subject: id,
  };
}

test('record without versions: the same bytes as before, with them: read back', (t) => {
  const plain = makeMember('host-0', [makeServer('10.0.0.1:1')]);
  const fields = encodeUpdate({ kind: 'record', member: plain });
  t.is(fields.at(-1), 1, 'the state alone');
  t.is(fields.length, 15);
  const member = makeMember('host-0', [makeServer('10.0.0.1:1', { version: V2 })]);
  const update: MemberUpdate = { kind: 'record', member };
  const decoded = decodeUpdate(encodeUpdate(update));
  t.is(decoded.kind === 'record' ? decoded.member.servers[0]?.version : undefined, V2);
  t.true(estimateBytes(update) > estimateBytes({ kind: 'record', member: plain }));
  const malformed = [...fields.slice(0, -1), [1, 'a version with spaces']];
  t.throws(() => decodeUpdate(malformed));
});

test('announcement: both fronts read the version, or its absence', (t) => {
  const body = { service: 'shop', address: '10.0.0.1:1', slots: 1, state: 'ready' };
  const readOwn = (fields: object) => {
    const text = JSON.stringify({ ...body, connections: 1, heartbeat_ms: 900, ...fields });
    return new DefaultAnnounceFront().readRequest(
      { method: 'POST', url: '/announce', body: text },
      START,
    );
  };
  const readPlatform = (fields: object) => {
    const text = JSON.stringify({ ...body, sequence: 1, ...fields });
    const url = '/instances/i-1/heartbeat';
    return new PlatformAnnounceFront().readRequest({ method: 'POST', url, body: text }, START);
  };
  for (const read of [readOwn, readPlatform]) {
    t.like(read({ version: 'v2' }), { ok: true, value: { announcement: { version: V2 } } });
    const plain = read({});
    const value = plain.ok && plain.value.kind === 'announce' ? plain.value.announcement : {};
    t.false('version' in value);
  }
  t.false(readOwn({ version: 'a b' }).ok);
  t.like(readPlatform({ version: 7 }), { ok: true }, 'heartbeats were accepted before, too');
});

test('share: met to within one call, in any order of request kinds', (t) => {
  for (const share of [0.01, 0.1, 0.37, 0.5, 0.93]) {
    const shares = new VersionShares(() => 0.25);
    shares.updateTrust(NOW);
    shares.update(makeConfiguration(makeRollout({ share })));
    const counts = [0, 0];
    for (let call = 0; call < 3_000; call += 1) {
      const kind = call % 3 === 0 ? 0 : 1;
      const side = shares.pickSide(SHOP, `kind-${kind}` as RequestKindName, NOW);
      if (side === 'ordered') counts[kind] = (counts[kind] ?? 0) + 1;
    }
    t.true(Math.abs((counts[0] ?? 0) - 1_000 * share) <= 1);
    t.true(Math.abs((counts[1] ?? 0) - 2_000 * share) <= 1);
  }
});

test('share of many proxies with few calls each: met together', (t) => {
  const random = new SeededRandom(3);
  let ordered = 0;
  for (let proxy = 0; proxy < 400; proxy += 1) {
    const shares = new VersionShares(() => random.next());
    shares.updateTrust(NOW);
    shares.update(makeConfiguration(makeRollout({ share: 0.05 })));
    for (let call = 0; call < 5; call += 1) {
      if (shares.pickSide(SHOP, KIND, NOW) === 'ordered') ordered += 1;
    }
  }
  t.true(Math.abs(ordered - 100) < 30, `${ordered} of 2,000`);
});

test('versions: calls by the share, none for a version without an order', (t) => {
  const driver = new Driver([V1, V1, V2, V2, V3, V3]);
  driver.setRollout({ share: 0.25 });
  t.deepEqual(driver.count(400), { v1: 300, v2: 100 });
  driver.setRollout({ share: 1, step: 2 });
  t.deepEqual(driver.count(50), { v2: 50 });
  driver.setRollout({ state: 'completed', share: 1, step: 3 });
  t.deepEqual(driver.count(50), { v2: 50 });
  driver.setRollout({ state: 'rolled-back', share: 0, step: 3 });
  t.deepEqual(driver.count(50), { v1: 50 });
});

test('no record yet: the version that most servers have', (t) => {
  t.deepEqual(new Driver([V2, V1, V1]).count(20), { v1: 20 });
  const driver = new Driver([V2, V1, V1]);
  driver.setRollout({ state: 'initial', to: V2, share: 1 });
  t.deepEqual(driver.count(20), { v2: 20 }, 'the adopted version');
});

test('no version in use known: every version but the ordered one', (t) => {
  const driver = new Driver([undefined, V2]);
  const { from, ...rollout } = makeRollout({ share: 0 });
  t.is(from, V1);
  driver.post({ kind: 'whole', configuration: makeConfiguration(rollout) });
  t.deepEqual(driver.count(20), { undefined: 20 });
});

test('settings without roll-outs: versions make no difference', (t) => {
  const plain = new Driver([undefined, undefined, undefined], false);
  const versioned = new Driver([V1, V2, V3], false);
  versioned.setRollout();
  const counts = versioned.count(300);
  t.deepEqual(Object.keys(counts).sort(), ['v1', 'v2', 'v3']);
  t.is(plain.count(300).undefined, 300);
});

test('retry: stays in its version while that has room', (t) => {
  const driver = new Driver([V1, V1, V2, V2]);
  driver.setRollout({ share: 0.5 });
  for (let index = 0; index < 4; index += 1) {
    const first = driver.call();
    if (first === undefined) throw new Error('no attempt');
    t.is(driver.fail(first.attempt)?.version, first.version);
  }
});

test('retry without a server of the new version: to the old one, never back', (t) => {
  const driver = new Driver([V1, V1, V2]);
  driver.setRollout({ share: 0.999 });
  const first = driver.call();
  if (first === undefined) throw new Error('no attempt');
  t.is(first.version, V2);
  const second = driver.fail(first.attempt);
  t.is(second?.version, V1);
  t.is(driver.fail(second?.attempt ?? first.attempt)?.version, V1, 'not to the new one');
});

test('retry of the old version: never to the new one, even without another server', (t) => {
  const driver = new Driver([V1, V2, V2]);
  driver.setRollout({ share: 0 });
  const first = driver.call();
  if (first === undefined) throw new Error('no attempt');
  t.is(first.version, V1);
  t.is(driver.fail(first.attempt), undefined);
});

// Guards against calls to old servers after all calls have moved, which are cut when the old servers stop.
test('retry after the whole share: to the new version', (t) => {
  const driver = new Driver([V1, V1, V2]);
  driver.setRollout({ share: 0 });
  const first = driver.call();
  if (first === undefined) throw new Error('no attempt');
  t.is(first.version, V1);
  driver.setRollout({ share: 1, step: 2 });
  t.is(driver.fail(first.attempt)?.version, V2);
});

// Guards against a service without calls when its new servers are lost before the end of the roll-out.
test('no server of the new version at the whole share: calls go to the old one', (t) => {
  const driver = new Driver([V1, V1]);
  driver.setRollout({ share: 1 });
  t.is(driver.call()?.version, V1);
});

test('new version full: its calls go to the old one, except at the whole share', (t) => {
  const driver = new Driver([V1, V1, V2], true, 2);
  driver.setRollout({ share: 0.999 });
  const versions = Array.from({ length: 4 }, () => driver.call()?.version);
  t.deepEqual(versions, [V2, V2, V1, V1]);
  driver.setRollout({ share: 1 });
  t.is(driver.call()?.version, V2);
});

test('roll-back: retries leave the new version', (t) => {
  const driver = new Driver([V1, V2, V2]);
  driver.setRollout({ share: 1 });
  const first = driver.call();
  if (first === undefined) throw new Error('no attempt');
  driver.setRollout({ state: 'rolled-back', share: 0 });
  t.is(driver.fail(first.attempt)?.version, V1);
});

test('brake: while no leader hears the proxy, the old version, then its own failures count', (t) => {
  const shares = new VersionShares(() => 0.999);
  shares.update(makeConfiguration(makeRollout({ share: 0.9 })));
  t.is(shares.pickSide(SHOP, KIND, NOW), 'in-use');
  shares.updateTrust(NOW);
  t.is(shares.pickSide(SHOP, KIND, NOW), 'ordered');
  shares.updateTrust(START);
  shares.update(makeConfiguration(makeRollout({ share: 1 })));
  for (let call = 0; call < 3; call += 1) shares.addOutcome(SHOP, 'ordered', true);
  t.is(shares.pickSide(SHOP, KIND, NOW), 'in-use');
  shares.updateTrust(addMs(NOW, 100));
  t.is(shares.pickSide(SHOP, KIND, NOW), 'ordered', 'the leader decides');
  t.is(shares.pickSide(SHOP, KIND, addMs(NOW, 101)), 'in-use');
  for (let call = 0; call < 100; call += 1) shares.addOutcome(SHOP, 'in-use', true);
  t.is(shares.pickSide(SHOP, KIND, addMs(NOW, 101)), 'ordered', 'the old version fails too');
  for (let call = 0; call < 900; call += 1) shares.addOutcome(SHOP, 'in-use', false);
  shares.update(makeConfiguration(makeRollout({ share: 1, order: 9 as Version })));
  t.is(shares.pickSide(SHOP, KIND, addMs(NOW, 101)), 'ordered', 'another order');
});

test('rules: follow changes of one configuration and whole ones', (t) => {
  const shares = new VersionShares(() => 0);
  const first = makeConfiguration(makeRollout());
  t.deepEqual(shares.update(first), [SHOP]);
  const resources = first.resources.apply([{ op: 'put', resource: makeKind('other') }]);
  t.deepEqual(shares.update({ ...first, resources }), [], 'no roll-out has changed');
  t.deepEqual(
    shares.update({ ...EMPTY_CONFIGURATION, resources: ResourceMap.create([makeKind('k')]) }),
    [SHOP],
  );
  t.is(shares.findRule(SHOP), undefined);
});

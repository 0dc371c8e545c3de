/** What a proxy knows of the newest version, whether it holds it or not. */
import test from 'ava';
import { VersionGenerator } from '../bench/generated-versions.js';
import { addMs } from '../src/clock.js';
import { buildSpan } from '../src/distribution/delta-span.js';
import { makePolicy, ProxyDistributionFilter } from '../src/distribution/index.js';
import type { ProxyDistributionOut } from '../src/distribution/index.js';
import type { Address, DataCentreId, Digest, HostId, Instant, Version } from '../src/ids.js';
import type { DistributionMessage, VersionMark } from '../src/messages/index.js';
import { MetricsRegistry } from '../src/metrics/index.js';
import { VersionMetrics } from '../src/program/version-metrics.js';
import { SeededRandom } from '../src/random.js';
import { ManualClock } from './manual-clock.js';

const START = 1_000_000 as Instant;
const SOURCE = '10.0.0.9:7580' as Address;
const PEER = '10.0.0.2:7580' as Address;
const OTHER = '10.0.0.3:7580' as Address;
const REPORTS = new Set(['newest-known', 'behind', 'caught-up', 'stale']);

function at(milliseconds: number): Instant {
  return addMs(START, milliseconds);
}

/** Drives one proxy and lists its reports; its versions come from a generator. */
class ProxyDriver {
  readonly #filter = new ProxyDistributionFilter({
    host: 'host-1' as HostId,
    dataCentre: 'a' as DataCentreId,
    control: '10.0.0.1:7580' as Address,
    sources: [SOURCE],
    keepsFloor: false,
    policy: makePolicy('convergence-time'),
    random: new SeededRandom(1),
  });
  readonly #state = this.#filter.createState();
  readonly #spans = makeSpans(20);
  readonly wakes: Instant[] = [];

  constructor() {
    this.#post({ kind: 'start', floor: undefined }, START);
  }

  receive(address: Address, body: DistributionMessage, now: Instant): ProxyDistributionOut[] {
    return this.#post({ kind: 'received', from: 'host-2' as HostId, address, body }, now);
  }

  /** Advertises a version of the generator. */
  advertise(address: Address, version: number, now: Instant): ProxyDistributionOut[] {
    return this.receive(address, { kind: 'advertise', held: this.findMark(version) }, now);
  }

  /** Pushes the versions above `after` through `version`. */
  push(address: Address, after: number, version: number, now: Instant): ProxyDistributionOut[] {
    const spans = this.#spans.slice(after, version);
    return this.receive(address, { kind: 'push', spans, newest: this.findMark(version) }, now);
  }

  tick(now: Instant): ProxyDistributionOut[] {
    return this.#post({ kind: 'tick' }, now);
  }

  findMark(version: number): VersionMark {
    const span = this.#spans[version - 1];
    if (span === undefined) throw new Error(`version ${version} was not generated`);
    return { version: span.version, digest: span.digest };
  }

  // Internals.

  #post(
    message: Parameters<ProxyDistributionFilter['decide']>[1],
    now: Instant,
  ): ProxyDistributionOut[] {
    const { outputs } = this.#filter.decide(this.#state, message, now);
    for (const output of outputs) if (output.kind === 'wake') this.wakes.push(output.at);
    return outputs.filter(({ kind }) => REPORTS.has(kind));
  }
}

function makeSpans(count: number) {
  const generator = new VersionGenerator(new SeededRandom(7));
  return Array.from({ length: count }, () => buildSpan(generator.makeNextVersion().delta));
}

test('missing version: reported after 0.5 s, and when it is held', (t) => {
  const proxy = new ProxyDriver();
  proxy.push(SOURCE, 0, 3, at(10));
  t.deepEqual(proxy.advertise(PEER, 5, at(20)), [
    { kind: 'newest-known', version: 5 as Version, checkedAt: at(10) },
  ]);
  t.true(proxy.wakes.some((wake) => wake <= at(520)));
  t.deepEqual(proxy.tick(at(519)), []);
  const known = 5 as Version;
  const behind = { kind: 'behind', held: 3 as Version, known, from: PEER, since: at(20) } as const;
  t.deepEqual(proxy.tick(at(520)), [behind]);
  t.deepEqual(proxy.tick(at(1_500)), [], 'once');
  t.deepEqual(proxy.push(SOURCE, 3, 5, at(2_000)), [
    { kind: 'newest-known', version: 5 as Version, checkedAt: at(2_000) },
    { kind: 'caught-up', held: 5 as Version, since: at(20) },
  ]);
});

test('series of versions, each held in time: no report', (t) => {
  const proxy = new ProxyDriver();
  const kinds = new Set<string>();
  for (let version = 1; version <= 19; version += 1) {
    const now = at(version * 100);
    const reports = [
      ...proxy.push(SOURCE, version - 1, version, now),
      ...proxy.advertise(PEER, version + 1, now),
      ...proxy.tick(now),
    ];
    for (const { kind } of reports) kinds.add(kind);
  }
  t.deepEqual([...kinds], ['newest-known']);
});

test('second late version: reported with its own time', (t) => {
  const proxy = new ProxyDriver();
  proxy.push(SOURCE, 0, 3, at(10));
  proxy.advertise(PEER, 4, at(100));
  t.like(proxy.tick(at(600))[0], { kind: 'behind', known: 4, since: at(100) });
  proxy.advertise(PEER, 6, at(700));
  const [, caughtUp] = proxy.push(PEER, 3, 4, at(800));
  t.is(caughtUp, undefined);
  t.deepEqual(
    proxy.tick(at(1_200)).filter(({ kind }) => kind === 'behind'),
    [{ kind: 'behind', held: 4 as Version, known: 6 as Version, from: PEER, since: at(700) }],
  );
});

test('equal version: current, unless a higher one is known', (t) => {
  const proxy = new ProxyDriver();
  proxy.push(SOURCE, 0, 3, at(10));
  const checked = { kind: 'newest-known', version: 3 as Version, checkedAt: at(900) } as const;
  t.deepEqual(proxy.advertise(PEER, 3, at(900)), [checked]);
  t.deepEqual(proxy.advertise(PEER, 2, at(1_000)), [], 'a lower one shows nothing');
  const held = { ...proxy.findMark(3), digest: 'd'.repeat(32) as Digest };
  t.deepEqual(proxy.receive(PEER, { kind: 'advertise', held }, at(1_100)), [], 'another history');
  proxy.advertise(PEER, 4, at(1_200));
  t.deepEqual(proxy.advertise(SOURCE, 3, at(1_300)), []);
});

test('version of a child or of a pull: known', (t) => {
  const proxy = new ProxyDriver();
  proxy.push(SOURCE, 0, 3, at(10));
  const report = { own: 4 as Version, groups: [], stragglers: [] };
  t.like(proxy.receive(PEER, { kind: 'ack', report }, at(20))[0], { version: 4 });
  t.like(proxy.receive(PEER, { kind: 'pull', held: proxy.findMark(5) }, at(30))[0], {
    version: 5,
    checkedAt: at(10),
  });
  t.like(proxy.tick(at(520))[0], { kind: 'behind', known: 5, since: at(20) });
});

test('version that two peers name and that does not come: held one is stale', (t) => {
  const proxy = new ProxyDriver();
  proxy.push(SOURCE, 0, 3, at(10));
  proxy.advertise(PEER, 4, at(100));
  proxy.advertise(OTHER, 4, at(200));
  t.true(proxy.wakes.some((wake) => wake <= at(1_100)));
  t.false(hasStale(proxy.tick(at(1_099))));
  t.true(hasStale(proxy.tick(at(1_100))));
  const [, ...reports] = proxy.push(PEER, 3, 4, at(1_500));
  t.deepEqual(
    reports.filter(({ kind }) => kind === 'stale'),
    [{ kind: 'stale', isStale: false }],
  );
});

test('version that one peer names alone: held one is not stale', (t) => {
  const proxy = new ProxyDriver();
  proxy.push(SOURCE, 0, 3, at(10));
  for (let count = 1; count < 50; count += 1) {
    t.false(hasStale(proxy.advertise(PEER, 4, at(count * 100))));
  }
});

test('missing version that nobody names any more: held one is not stale', (t) => {
  const proxy = new ProxyDriver();
  proxy.push(SOURCE, 0, 3, at(10));
  proxy.advertise(PEER, 4, at(100));
  proxy.advertise(OTHER, 4, at(200));
  t.true(hasStale(proxy.tick(at(1_100))));
  t.deepEqual(proxy.tick(at(2_200)), [{ kind: 'stale', isStale: false }]);
  proxy.wakes.length = 0;
  t.deepEqual(proxy.tick(at(2_300)), []);
  t.true(proxy.wakes.every((wake) => wake > at(2_300)));
  t.true(hasStale(proxy.advertise(OTHER, 4, at(9_000))));
});

function hasStale(reports: readonly ProxyDistributionOut[]): boolean {
  return reports.some((report) => report.kind === 'stale' && report.isStale);
}

test('gauges: newest known version and age of the last check', (t) => {
  const registry = new MetricsRegistry();
  const clock = new ManualClock();
  const versions = new VersionMetrics(registry, clock);
  const list = () => {
    const lines = registry.formatText().split('\n');
    return lines.filter((line) => /^bilberryswitch_proxy_(version_checked|newest)/.test(line));
  };
  t.deepEqual(list(), ['bilberryswitch_proxy_newest_known_version 0']);
  const checkedAt = clock.read();
  versions.handleNewestKnown({ kind: 'newest-known', version: 9 as Version, checkedAt });
  clock.advance(1_500);
  t.deepEqual(list(), [
    'bilberryswitch_proxy_version_checked_age_seconds 1.5',
    'bilberryswitch_proxy_newest_known_version 9',
  ]);
});

/** The evidence of all proxies on one roll-out. */
import type { Address, HostId, Instant, RequestKindName } from '../ids.js';
import type { RolloutEvidence, RunCounts } from '../messages/index.js';
import type { RunSample } from './baseline.js';
import { Baseline } from './baseline.js';
import type { Sample } from './sequential-test.js';
import { SequentialTest } from './sequential-test.js';
import { countFrom } from './run-times.js';

/** What a proxy last reported. */
interface ProxyState {
  reportedAt: Instant;
  step: number;
  /** When the proxy first reported that it applies the step. */
  stepAt: Instant;
  runningInUse: number;
  readonly counts: Map<string, RunCounts>;
}

/** The evidence against the ordered version, and what it comes from. */
export interface Findings {
  readonly evidence: number;
  readonly cause: 'failures' | 'slow runs';
  readonly requestKind: RequestKindName | undefined;
}

/**
 * Adds up the reports of the proxies. Reports hold totals; a proxy whose totals have shrunk was restarted, and
 * counts from zero again.
 */
export class EvidenceTable {
  readonly #proxies = new Map<HostId, ProxyState>();
  readonly #kinds = new Map<RequestKindName, KindEvidence>();
  readonly #all = new VersionTests();
  /** The runs at servers of the ordered version. */
  exposed = 0;
  /** The runs at all servers. */
  total = 0;
  failed = 0;

  /** Adds a report. */
  add(host: HostId, report: RolloutEvidence, now: Instant): void {
    const proxy = this.#proxies.get(host) ?? makeProxy();
    this.#proxies.set(host, proxy);
    proxy.reportedAt = now;
    if (report.step !== proxy.step) proxy.stepAt = now;
    proxy.step = report.step;
    proxy.runningInUse = report.runningInUse;
    for (const counts of report.counts) this.#addCounts(proxy, counts);
  }

  /**
   * Evaluates what has been added since the last turn, for each request kind and for all together. Without runs at
   * servers of the version in use, nothing tells trouble of all servers from a bad version, except that it is severe.
   */
  evaluate(hasControls: boolean): Findings {
    let worst: Findings = { evidence: 0, cause: 'failures', requestKind: undefined };
    for (const [requestKind, kind] of this.#kinds) {
      const turn = kind.takeTurn(hasControls);
      this.#all.add(turn);
      const found = kind.tests.find();
      if (found.evidence > worst.evidence) worst = { ...found, requestKind };
    }
    const found = this.#all.find();
    return found.evidence > worst.evidence ? { ...found, requestKind: undefined } : worst;
  }

  /**
   * Returns whether each of these proxies, and each other one that reports, has reported lately that it applies a step
   * and uses no old server. The last proxy to apply the step may just have sent calls to old servers beside the others,
   * so all must have reported since.
   */
  isMovedBy(hosts: Iterable<HostId>, step: number, reportedSince: Instant): boolean {
    const reporting = [...this.#proxies].filter(([, proxy]) => proxy.reportedAt >= reportedSince);
    const all = new Set([...hosts, ...reporting.map(([host]) => host)]);
    const proxies = [...all].map((host) => this.#proxies.get(host));
    const stepsAt = proxies.map((proxy) => proxy?.stepAt ?? 0);
    const since = Math.max(reportedSince, ...stepsAt.map((at) => at + CALL_TRAVEL_MS));
    return proxies.every((proxy) => {
      if (proxy === undefined || proxy.reportedAt < since) return false;
      return proxy.step >= step && proxy.runningInUse === 0;
    });
  }

  // Internals.

  #addCounts(proxy: ProxyState, counts: RunCounts): void {
    const key = `${counts.server} ${counts.requestKind} ${counts.isOrdered}`;
    const former = proxy.counts.get(key);
    proxy.counts.set(key, counts);
    const known = former !== undefined && former.begun <= counts.begun ? former : undefined;
    const begun = counts.begun - (known?.begun ?? 0);
    this.total += begun;
    const kind = this.#kinds.get(counts.requestKind) ?? new KindEvidence();
    this.#kinds.set(counts.requestKind, kind);
    const sample = subtract(counts, known);
    if (counts.isOrdered) {
      this.exposed += begun;
      this.failed += sample.failed;
    }
    kind.add(counts.isOrdered, counts.server, sample);
  }
}

// Internals.

/** How long a call may take from its entry proxy to the proxy beside its server. */
const CALL_TRAVEL_MS = 100;

/** The runs of a turn at servers of the ordered version, and what is to be expected of them. */
interface Turn {
  readonly failures: ReadonlyMap<Address, Sample>;
  readonly failedShare: number;
  readonly slow: ReadonlyMap<Address, Sample>;
  readonly slowShare: number;
}

/** The tests of failures and of slow runs. */
class VersionTests {
  readonly #failures = new SequentialTest();
  readonly #slowness = new SequentialTest();

  add({ failures, failedShare, slow, slowShare }: Turn): void {
    this.#failures.add(failures, failedShare);
    this.#slowness.add(slow, slowShare);
  }

  find(): Omit<Findings, 'requestKind'> {
    const [failed, late] = [this.#failures.evidence, this.#slowness.evidence];
    if (failed >= late) return { evidence: failed, cause: 'failures' };
    return { evidence: late, cause: 'slow runs' };
  }
}

/** The evidence of one request kind. */
class KindEvidence {
  readonly tests = new VersionTests();
  readonly #baseline = new Baseline();
  #inUse = new Map<Address, RunSample>();
  #ordered = new Map<Address, RunSample>();

  add(isOrdered: boolean, server: Address, sample: RunSample): void {
    if (sample.ended === 0) return;
    const samples = isOrdered ? this.#ordered : this.#inUse;
    const former = samples.get(server);
    samples.set(server, former === undefined ? sample : addUp(former, sample));
  }

  /** Takes the runs since the last turn into the tests, and returns them. */
  takeTurn(hasControls: boolean): Turn {
    const [inUse, ordered] = [this.#inUse, this.#ordered];
    this.#inUse = new Map();
    this.#ordered = new Map();
    this.#baseline.add(inUse);
    const { failedShare, slowBucket } = this.#baseline;
    const turn: Turn = {
      failures: mapSamples(ordered, ({ ended, failed }) => ({ runs: ended, bad: failed })),
      failedShare: hasControls ? failedShare : Math.max(failedShare, SEVERE_SHARE),
      slow: slowBucket === undefined || !hasControls ? new Map() : mapSlow(ordered, slowBucket),
      slowShare: slowBucket === undefined ? 0 : this.#baseline.findSlowShare(slowBucket),
    };
    this.tests.add(turn);
    return turn;
  }
}

/** The share of failures beyond which a version is bad although nothing can be compared with it. */
const SEVERE_SHARE = 0.35;

function mapSlow(samples: ReadonlyMap<Address, RunSample>, bucket: number): Map<Address, Sample> {
  return mapSamples(samples, ({ runTimes }) => ({
    runs: countFrom(runTimes, 0),
    bad: countFrom(runTimes, bucket),
  }));
}

function makeProxy(): ProxyState {
  return {
    reportedAt: 0 as Instant,
    step: -1,
    stepAt: 0 as Instant,
    runningInUse: 0,
    counts: new Map(),
  };
}

function subtract(counts: RunCounts, former: RunCounts | undefined): RunSample {
  if (former === undefined) return counts;
  return {
    ended: counts.ended - former.ended,
    failed: counts.failed - former.failed,
    runTimes: counts.runTimes.map((count, bucket) => count - (former.runTimes[bucket] ?? 0)),
  };
}

function addUp(left: RunSample, right: RunSample): RunSample {
  return {
    ended: left.ended + right.ended,
    failed: left.failed + right.failed,
    runTimes: left.runTimes.map((count, bucket) => count + (right.runTimes[bucket] ?? 0)),
  };
}

function mapSamples(
  samples: ReadonlyMap<Address, RunSample>,
  measure: (sample: RunSample) => Sample,
): Map<Address, Sample> {
  return new Map([...samples].map(([server, sample]) => [server, measure(sample)]));
}

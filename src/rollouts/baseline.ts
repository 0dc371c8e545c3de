/** What is to be expected of a good version: how the version in use does at the same time. */
import type { Address } from '../ids.js';
import type { Sample } from './sequential-test.js';
import { countFrom, findTailBucket, RUN_TIME_BUCKETS } from './run-times.js';

/** The runs of one server since the last turn. */
export interface RunSample {
  readonly ended: number;
  readonly failed: number;
  readonly runTimes: readonly number[];
}

/**
 * Keeps the recent runs of one request kind at the servers of the version in use. Older runs count less, but only
 * newer ones displace them.
 */
export class Baseline {
  readonly #servers = new Map<Address, { ended: number; failed: number; runTimes: number[] }>();
  /** The runs of the last two turns, so that trouble that has just begun at all servers counts at once. */
  #turns: readonly ReadonlyMap<Address, RunSample>[] = [];

  /** Adds the runs of a turn. */
  add(samples: ReadonlyMap<Address, RunSample>): void {
    this.#turns = [...this.#turns.slice(-1), samples];
    if (samples.size === 0) return;
    for (const server of this.#servers.values()) {
      server.ended *= KEPT_SHARE;
      server.failed *= KEPT_SHARE;
      server.runTimes = server.runTimes.map((count) => count * KEPT_SHARE);
    }
    for (const [address, { ended, failed, runTimes }] of samples) {
      const server = this.#servers.get(address) ?? {
        ended: 0,
        failed: 0,
        runTimes: Array.from({ length: RUN_TIME_BUCKETS }, () => 0),
      };
      server.ended += ended;
      server.failed += failed;
      server.runTimes = server.runTimes.map((count, bucket) => count + (runTimes[bucket] ?? 0));
      this.#servers.set(address, server);
    }
  }

  /** The share of failures to be expected. */
  get failedShare(): number {
    const share = this.#findShare(({ ended, failed }) => ({ runs: ended, bad: failed }));
    return Math.max(MIN_FAILED_SHARE, share);
  }

  /** The bucket from which a run counts as slow; `undefined` before there are enough runs. */
  get slowBucket(): number | undefined {
    const all = Array.from({ length: RUN_TIME_BUCKETS }, (_, bucket) =>
      [...this.#servers.values()].reduce((sum, one) => sum + (one.runTimes[bucket] ?? 0), 0),
    );
    return countFrom(all, 0) < MIN_RUNS ? undefined : findTailBucket(all, SLOW_SHARE);
  }

  /** The share of slow runs to be expected. */
  findSlowShare(bucket: number): number {
    const share = this.#findShare(({ runTimes }) => ({
      runs: countFrom(runTimes, 0),
      bad: countFrom(runTimes, bucket),
    }));
    return Math.max(MIN_SLOW_SHARE + SPEED_SPREAD / this.#servers.size, share);
  }

  // Internals.

  /** While there is trouble at all servers, the share is estimated with a margin of one standard deviation. */
  #findShare(measure: (sample: RunSample) => Sample): number {
    const known = addUp([...this.#servers.values()].map(measure));
    const share = (known.bad + PRIOR_BAD) / (known.runs + PRIOR_RUNS);
    const latest = addUp(this.#turns.flatMap((turn) => [...turn.values()].map(measure)));
    if (latest.bad < MIN_LATEST_BAD) return share;
    const upperBad = Math.min(latest.runs, latest.bad + Math.sqrt(latest.bad));
    return Math.max(share, (upperBad + 1) / (latest.runs + 2));
  }
}

// Internals.

/** With four turns a second, the runs of the last two seconds count most. */
const KEPT_SHARE = 0.88;
/** From this number of servers on, the worst one does not count. */
const MIN_SERVERS = 3;
/** A server with fewer bad runs is not taken as sick. */
const MIN_SICK_BAD = 3;
const MIN_RUNS = 20;
/** From this number of bad runs on, the last two turns count for themselves. */
const MIN_LATEST_BAD = 1;
const PRIOR_BAD = 0.25;
const PRIOR_RUNS = 10;
/** Stray failures, for example of connections that are closed at the wrong moment, condemn no version. */
const MIN_FAILED_SHARE = 0.003;
const SLOW_SHARE = 0.1;
/** Servers of one version differ in speed, so a good one may have this many slow runs. */
const MIN_SLOW_SHARE = 0.12;
/** With few servers, those of a good version may be the slower ones by chance. */
const SPEED_SPREAD = 0.5;

/** Adds up the runs of servers; the one with the most bad runs does not count, as it may be sick. */
function addUp(samples: readonly Sample[]): Sample {
  let [runs, bad] = [0, 0];
  let worst: Sample = { runs: 0, bad: 0 };
  for (const sample of samples) {
    runs += sample.runs;
    bad += sample.bad;
    if (sample.bad > worst.bad) worst = sample;
  }
  if (samples.length < MIN_SERVERS || worst.bad < MIN_SICK_BAD) return { runs, bad };
  return { runs: runs - worst.runs, bad: bad - worst.bad };
}

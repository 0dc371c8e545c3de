/** Sends calls at a given rate, whether or not earlier ones have been answered. */
import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';
import { Pool } from 'undici';
import type { Random } from '../src/random.js';

/** One way to reach the backend server. */
export interface LoadPath {
  readonly name: string;
  readonly address: string;
}

/** A kind of call within a mix. */
export interface LoadKind {
  readonly path: string;
  readonly share: number;
  readonly worth: number;
  readonly timeoutMs: number;
}

/** What became of the calls of one path. */
export interface LoadResult {
  /** Microseconds from the scheduled start to the whole answer, of answered calls. */
  readonly latency: Histogram;
  sent: number;
  answered: number;
  refusedNotRun: number;
  failed: number;
  worthSent: number;
  worthAnswered: number;
}

/** What a load consists of. */
export interface LoadOptions {
  /** The calls go to these in turn, so that all of them meet the same moments. */
  readonly paths: readonly LoadPath[];
  readonly kinds: readonly LoadKind[];
  /** Calls a second over all paths. */
  readonly rate: number;
  readonly seconds: number;
  readonly random: Random;
}

/** Runs a load and returns one result per path. */
export async function runLoad(options: LoadOptions): Promise<LoadResult[]> {
  const { paths, rate, seconds, random } = options;
  const pools = paths.map(
    ({ address }) => new Pool(`http://${address}`, { connections: 512, pipelining: 1 }),
  );
  const results = paths.map(makeResult);
  const open = new Set<Promise<void>>();
  const startedAt = performance.now();
  const total = rate * seconds;
  let nextAt = startedAt;
  for (let index = 0; index < total; index += 1) {
    nextAt += (-Math.log(1 - random.next()) * 1_000) / rate;
    if (nextAt > performance.now()) await sleepUntil(nextAt);
    const late = performance.now() - nextAt;
    const scheduledAt = late < TIMER_STEP_MS ? performance.now() : nextAt;
    const place = index % paths.length;
    const [pool, result] = [pools[place], results[place]];
    if (pool === undefined || result === undefined) continue;
    const sending = sendCall(pool, pickKind(options.kinds, random), result, scheduledAt);
    open.add(sending);
    void sending.then(() => open.delete(sending));
  }
  await Promise.all(open);
  await Promise.all(pools.map((pool) => pool.close()));
  return results;
}

// Internals.

/** Node.js timers fire up to this late; that is the sender's own delay, not the proxy's. */
const TIMER_STEP_MS = 2;

function makeResult(): LoadResult {
  return {
    latency: build({ highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 }),
    sent: 0,
    answered: 0,
    refusedNotRun: 0,
    failed: 0,
    worthSent: 0,
    worthAnswered: 0,
  };
}

function sleepUntil(at: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, at - performance.now())));
}

function pickKind(kinds: readonly LoadKind[], random: Random): LoadKind {
  let place = random.next();
  for (const kind of kinds) {
    place -= kind.share;
    if (place < 0) return kind;
  }
  const last = kinds.at(-1);
  if (last === undefined) throw new Error('a load needs at least one kind of call');
  return last;
}

function sendCall(
  pool: Pool,
  kind: LoadKind,
  result: LoadResult,
  scheduledAt: number,
): Promise<void> {
  result.sent += 1;
  result.worthSent += kind.worth;
  return new Promise((resolve) => {
    let status = 0;
    let isNotRun = false;
    const finish = (isWhole: boolean): void => {
      const took = performance.now() - scheduledAt;
      if (isWhole && status === STATUS_OK && took <= kind.timeoutMs) {
        result.answered += 1;
        result.worthAnswered += kind.worth;
        result.latency.recordValue(Math.round(took * 1_000));
      } else if (isNotRun) result.refusedNotRun += 1;
      else result.failed += 1;
      resolve();
    };
    pool.dispatch(
      { path: kind.path, method: 'GET' },
      {
        onRequestStart: () => {
          // Nothing to do before the answer.
        },
        onResponseStart: (_controller, code, headers) => {
          status = code;
          isNotRun = headers['bilberryswitch-outcome'] === 'not-run';
        },
        onResponseData: () => {
          // The bytes are not looked at.
        },
        onResponseEnd: () => {
          finish(true);
        },
        onResponseError: () => {
          finish(false);
        },
      },
    );
  });
}

const STATUS_OK = 200;

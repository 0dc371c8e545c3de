/** Open-loop load generator: sends calls at a given rate, independent of the answers to earlier ones. */
import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';
import { Pool } from 'undici';
import type { Random } from '../src/random.js';

/** An address through which calls reach the backend server. */
export interface LoadPath {
  readonly name: string;
  readonly address: string;
}

/** A kind of call in a mix; `share` is its part of all calls, from 0 to 1. */
export interface LoadKind {
  readonly path: string;
  readonly share: number;
  readonly worth: number;
  readonly timeoutMs: number;
}

/** The results of the calls of one path. */
export interface LoadResult {
  /** Microseconds from the scheduled start to the end of the answer, for answered calls. */
  readonly latency: Histogram;
  sent: number;
  answered: number;
  refusedNotRun: number;
  failed: number;
  worthSent: number;
  worthAnswered: number;
}

/** Options of a load. */
export interface LoadOptions {
  /** Calls use the paths round robin, so that all paths are measured under the same conditions. */
  readonly paths: readonly LoadPath[];
  readonly kinds: readonly LoadKind[];
  /** Calls per second over all paths. */
  readonly rate: number;
  readonly seconds: number;
  readonly random: Random;
}

/** Runs a load with exponentially distributed gaps between calls; returns one result per path. */
export async function runLoad(options: LoadOptions): Promise<LoadResult[]> {
  const { paths, rate, seconds, random } = options;
  const pools = paths.map(
    ({ address }) => new Pool(`http://${address}`, { connections: 512, pipelining: 1 }),
  );
  const results = paths.map(makeResult);
  const openCalls = new Set<Promise<void>>();
  const startedAt = performance.now();
  const total = rate * seconds;
  let nextAt = startedAt;
  for (let index = 0; index < total; index += 1) {
    nextAt += (-Math.log(1 - random.next()) * 1_000) / rate;
    if (nextAt > performance.now()) await sleepUntil(nextAt);
    const lateMs = performance.now() - nextAt;
    const scheduledAt = lateMs < MAX_TIMER_DELAY_MS ? performance.now() : nextAt;
    const pathIndex = index % paths.length;
    const [pool, result] = [pools[pathIndex], results[pathIndex]];
    if (pool === undefined || result === undefined) continue;
    const sending = sendCall(pool, pickKind(options.kinds, random), result, scheduledAt);
    openCalls.add(sending);
    void sending.then(() => openCalls.delete(sending));
  }
  await Promise.all(openCalls);
  await Promise.all(pools.map((pool) => pool.close()));
  return results;
}

// Internals.

/** Node.js timers fire up to this much late. Such a delay is the sender's and is left out of the latency. */
const MAX_TIMER_DELAY_MS = 2;

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
  let remainingShare = random.next();
  for (const kind of kinds) {
    remainingShare -= kind.share;
    if (remainingShare < 0) return kind;
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
    const finish = (isComplete: boolean): void => {
      const elapsedMs = performance.now() - scheduledAt;
      if (isComplete && status === STATUS_OK && elapsedMs <= kind.timeoutMs) {
        result.answered += 1;
        result.worthAnswered += kind.worth;
        result.latency.recordValue(Math.round(elapsedMs * 1_000));
      } else if (isNotRun) result.refusedNotRun += 1;
      else result.failed += 1;
      resolve();
    };
    pool.dispatch(
      { path: kind.path, method: 'GET' },
      {
        onRequestStart: () => {
          // Only the answer is measured.
        },
        onResponseStart: (_controller, code, headers) => {
          status = code;
          isNotRun = headers['bilberryswitch-outcome'] === 'not-run';
        },
        onResponseData: () => {
          // The body is discarded.
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

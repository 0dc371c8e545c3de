/** The load-balancing costs of the candidate servers of a service. */
import type { Instant, RequestKindName } from '../ids.js';
import { measureLoad, measureSilence } from './server-load.js';
import type { ServerRecord } from './server-table.js';

/** Inputs of the costs apart from the servers. */
export interface CostContext {
  readonly now: Instant;
  readonly requestKind?: RequestKindName;
  readonly prefersOwnDataCentre?: boolean | undefined;
}

/**
 * The cost of a server is its expected run time relative to the fastest candidate. It grows slowly while slots are
 * free and steeply when nearly all are in use, because attempts then have to wait.
 */
export class PickCosts {
  readonly #context: CostContext;
  readonly #fastestMs: number;

  /** @param candidates All usable servers. */
  constructor(candidates: readonly ServerRecord[], context: CostContext) {
    this.#context = context;
    const known = candidates.flatMap((record) => this.#findRunTime(record) ?? []);
    this.#fastestMs = Math.min(...known);
  }

  /** Returns the cost of a server without its distance; 1 for the fastest candidate when idle. */
  measure(record: ServerRecord): number {
    const load = measureLoad(record, this.#context.now);
    const congestion = Math.max(0, load - CONGESTED_LOAD);
    const occupancy = 1 + IDLE_SLOPE * load + CONGESTED_SLOPE * congestion;
    return this.#measureRelativeRunTime(record) * this.#measureStallPenalty(record) * occupancy;
  }

  /** Returns the cost of a server in a tier (own host, data centre, region, elsewhere), including its distance. */
  measureFrom(tier: number, record: ServerRecord): number {
    const isFar = tier >= FIRST_REMOTE_TIER;
    const distance =
      isFar && this.#context.prefersOwnDataCentre === true
        ? LARGE_ANSWER_DISTANCE_FACTOR
        : DISTANCE_FACTORS[tier];
    return this.measure(record) * (distance ?? 1);
  }

  // Internals.

  /** A server without samples counts as the fastest, so that it is tried. */
  #measureRelativeRunTime(record: ServerRecord): number {
    const runMs = this.#findRunTime(record);
    return runMs === undefined ? 1 : Math.max(1, runMs) / Math.max(1, this.#fastestMs);
  }

  /** A server without answers for several run times may be stuck or unreachable. */
  #measureStallPenalty(record: ServerRecord): number {
    const silence = measureSilence(record, this.#context.now);
    return Math.max(1, silence / (SILENT_RUN_TIMES * Math.max(MIN_RUN_MS, this.#fastestMs)));
  }

  #findRunTime({ runTimes }: ServerRecord): number | undefined {
    const { requestKind, now } = this.#context;
    return requestKind === undefined ? undefined : runTimes.find(requestKind, now);
  }
}

// Internals.

const IDLE_SLOPE = 0.3;
const CONGESTED_LOAD = 0.6;
const CONGESTED_SLOPE = 2.5;
/** Few runs exceed this many mean run times, and hardly ever all runs in flight do. */
const SILENT_RUN_TIMES = 3;
/** Shorter silences may be network latency. */
const MIN_RUN_MS = 20;
const FIRST_REMOTE_TIER = 2;
/** Traffic to another data centre costs bandwidth; to another region, latency as well. */
const DISTANCE_FACTORS = [1, 1, 1.25, 2];
/** The bandwidth of a large answer between data centres costs the users as much as the answer is worth to them. */
const LARGE_ANSWER_DISTANCE_FACTOR = 4;

/** Compares what an attempt costs at the candidates of a service. */
import type { Instant, RequestKindName } from '../ids.js';
import { measureLoad, measureSilence } from './server-load.js';
import type { ServerRecord } from './server-table.js';

/** What the costs depend on besides the servers. */
export interface CostContext {
  readonly now: Instant;
  readonly requestKind?: RequestKindName;
  readonly staysNear?: boolean | undefined;
}

/**
 * The cost of a server is the run time to expect there, against the quickest candidate. It grows little while
 * slots are free and fast once they are nearly all taken, because then an attempt waits.
 */
export class PickCosts {
  readonly #context: CostContext;
  readonly #quickestMs: number;

  /** `candidates` are all servers that may be used. */
  constructor(candidates: readonly ServerRecord[], context: CostContext) {
    this.#context = context;
    const known = candidates.flatMap((record) => this.#findRunTime(record) ?? []);
    this.#quickestMs = Math.min(...known);
  }

  /** The cost of a server, apart from its distance; 1 for a quick idle one. */
  measure(record: ServerRecord): number {
    const load = measureLoad(record, this.#context.now);
    const crowding = Math.max(0, load - CROWDED_LOAD);
    const occupancy = 1 + IDLE_SLOPE * load + CROWDED_SLOPE * crowding;
    return this.#measureSlowness(record) * this.#measureDoubt(record) * occupancy;
  }

  /** The cost of a server of a tier: beside this proxy, in its data centre, its region, elsewhere. */
  measureFrom(tier: number, record: ServerRecord): number {
    const isFar = tier >= FIRST_FAR_TIER;
    const distance = isFar && this.#context.staysNear === true ? FAR_LARGE : DISTANCES[tier];
    return this.measure(record) * (distance ?? 1);
  }

  // Internals.

  /** A server of which nothing is known counts as quick, so that it is tried. */
  #measureSlowness(record: ServerRecord): number {
    const runMs = this.#findRunTime(record);
    return runMs === undefined ? 1 : Math.max(1, runMs) / Math.max(1, this.#quickestMs);
  }

  /** A server that answers nothing for several run times may be stuck or out of reach. */
  #measureDoubt(record: ServerRecord): number {
    const silence = measureSilence(record, this.#context.now);
    return Math.max(1, silence / (SILENT_RUN_TIMES * Math.max(MIN_RUN_MS, this.#quickestMs)));
  }

  #findRunTime({ runTimes }: ServerRecord): number | undefined {
    const { requestKind, now } = this.#context;
    return requestKind === undefined ? undefined : runTimes.find(requestKind, now);
  }
}

// Internals.

const IDLE_SLOPE = 0.3;
const CROWDED_LOAD = 0.6;
const CROWDED_SLOPE = 2.5;
/** Few runs take longer than so many mean run times, and hardly ever all of those under way. */
const SILENT_RUN_TIMES = 3;
/** Shorter silences may be those of the network. */
const MIN_RUN_MS = 20;
const FIRST_FAR_TIER = 2;
/** The way to another data centre costs the users bytes, and to another region time as well. */
const DISTANCES = [1, 1, 1.25, 2];
/** Bytes between data centres cost the users as much as a whole large answer is worth to them. */
const FAR_LARGE = 4;

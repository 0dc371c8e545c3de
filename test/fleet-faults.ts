/** Seeded faults for a simulated fleet: loss, duplication, reordering, kills, freezes and partitions. */
import type { FakeFleet, FakeNode } from '../bench/fake-fleet.js';
import type { VersionGenerator } from '../bench/generated-versions.js';
import type { Random } from '../src/random.js';
import { SeededRandom } from '../src/random.js';

/** The probability of each fault per message. */
export interface FaultRates {
  readonly loss: number;
  readonly duplication: number;
  readonly reordering: number;
}

/** Makes the links of a fleet lose, duplicate and delay messages, and partitions data centres. */
export class FaultyLinks {
  rates: FaultRates = NO_FAULTS;
  /** The data centres without a connection to the others. */
  readonly partitioned = new Set<string>();

  constructor(fleet: FakeFleet, random: Random) {
    fleet.deliveryRule = (from, to, body) => {
      if (this.#isPartitioned(from, to) || random.next() < this.rates.loss) return [];
      const copies = random.next() < this.rates.duplication ? 2 : 1;
      return Array.from({ length: copies }, () => {
        const extraMs = random.next() < this.rates.reordering ? random.next() * MAX_EXTRA_MS : 0;
        return { delayMs: fleet.pickDelay(from, to) + extraMs, body };
      });
    };
  }

  // Internals.

  #isPartitioned(from: FakeNode, to: FakeNode): boolean {
    if (from.dataCentre === to.dataCentre) return false;
    return this.partitioned.has(from.dataCentre) || this.partitioned.has(to.dataCentre);
  }
}

/**
 * Makes connections stall and proxies busy, without losing anything: what a connection carries while it is stalled
 * arrives in order at the end of the stall, and a busy proxy reads what arrived only at the end of its turn.
 */
export class StalledLinks {
  /** The share of the time in which a connection is stalled. */
  stallShare = 0;
  readonly #random: Random;
  readonly #stalls = new Map<string, Stalls>();
  readonly #turnMs = new Map<FakeNode, number>();

  constructor(fleet: FakeFleet, random: Random) {
    this.#random = random;
    fleet.deliveryRule = (from, to, body) => {
      const { now } = fleet.queue;
      const arrivedAt = this.#passConnection(from, to, now) + fleet.pickDelay(from, to);
      return [{ delayMs: this.#endTurn(to, arrivedAt) - now, body }];
    };
  }

  /** Gives each of these proxies turns of up to `maxTurnMs`. */
  makeBusy(nodes: readonly FakeNode[], maxTurnMs = MAX_TURN_MS): void {
    for (const node of nodes) this.#turnMs.set(node, maxTurnMs * (0.5 + this.#random.next() / 2));
  }

  // Internals.

  #endTurn(node: FakeNode, at: number): number {
    const turnMs = this.#turnMs.get(node);
    return turnMs === undefined ? at : Math.ceil(at / turnMs) * turnMs;
  }

  #passConnection(from: FakeNode, to: FakeNode, at: number): number {
    if (this.stallShare === 0) return at;
    const key = [from.host, to.host].sort().join(' ');
    const known = this.#stalls.get(key) ?? this.#startStalls(at);
    this.#stalls.set(key, known);
    while (known.endsAt <= at) {
      const { lengthMs, pauseMs } = this.#pickStall();
      known.startsAt = known.endsAt + pauseMs;
      known.endsAt = known.startsAt + lengthMs;
    }
    const passedAt = at < known.startsAt ? at : known.endsAt;
    known.lastAt = Math.max(known.lastAt, passedAt);
    return known.lastAt;
  }

  /** Starts a connection at a random point between two stalls. */
  #startStalls(at: number): Stalls {
    const { lengthMs, pauseMs } = this.#pickStall();
    const endsAt = at - this.#random.next() * (lengthMs + pauseMs);
    return { startsAt: endsAt - lengthMs, endsAt, lastAt: 0 };
  }

  #pickStall(): { lengthMs: number; pauseMs: number } {
    const lengthMs = MIN_STALL_MS + this.#random.next() * (MAX_STALL_MS - MIN_STALL_MS);
    return { lengthMs, pauseMs: 2 * this.#random.next() * lengthMs * (1 / this.stallShare - 1) };
  }
}

/** Rates without any fault. */
export const NO_FAULTS: FaultRates = { loss: 0, duplication: 0, reordering: 0 };

/** Commits versions and injects random faults for a number of steps, then ends every fault. */
export function runFaults(
  fleet: FakeFleet,
  maker: VersionGenerator,
  seed: number,
  steps: number,
): void {
  const random = new SeededRandom(seed);
  const links = new FaultyLinks(fleet, random);
  links.rates = { loss: 0.1, duplication: 0.1, reordering: 0.1 };
  for (let step = 0; step < steps; step += 1) {
    injectFault(fleet, maker, links, random);
    fleet.run(random.next() * MAX_STEP_MS);
  }
  links.rates = NO_FAULTS;
  links.partitioned.clear();
  for (const node of fleet.proxies) {
    if (node.isFrozen) fleet.thaw(node);
    if (!node.isUp) fleet.startProxy(node);
  }
}

// Internals.

/** The present or last stall of a connection, and when its last message passed. */
interface Stalls {
  startsAt: number;
  endsAt: number;
  lastAt: number;
}

const MIN_STALL_MS = 200;
/** A silent connection is replaced, and what it lost is sent again, within a second. */
const MAX_STALL_MS = 1_000;
const MAX_TURN_MS = 250;
const MAX_EXTRA_MS = 300;
const MAX_STEP_MS = 200;
const FAILURE_DETECTION_MS = 1_500;

function injectFault(
  fleet: FakeFleet,
  maker: VersionGenerator,
  links: FaultyLinks,
  random: Random,
): void {
  const node = random.pick(fleet.proxies);
  switch (random.nextInt(8)) {
    case 0:
      if (node.isUp) fleet.kill(node, FAILURE_DETECTION_MS);
      else fleet.startProxy(node);
      return;
    case 1:
      if (node.isFrozen) fleet.thaw(node);
      else if (node.isUp) fleet.freeze(node);
      return;
    case 2:
      if (links.partitioned.size === 0) links.partitioned.add(node.dataCentre);
      else links.partitioned.clear();
      return;
    default: {
      const version = maker.makeNextVersion();
      for (const source of fleet.sources) fleet.commit(source, version);
    }
  }
}

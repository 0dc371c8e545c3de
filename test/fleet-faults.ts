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

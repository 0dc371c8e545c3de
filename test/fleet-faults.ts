/** Seeded faults for a fake fleet: loss, duplication, reordering, kills, freezes and cuts. */
import type { FakeFleet, FakeNode } from '../bench/fake-fleet.js';
import type { VersionMaker } from '../bench/generated-versions.js';
import type { Random } from '../src/random.js';
import { SeededRandom } from '../src/random.js';

/** How often each fault strikes. */
export interface FaultRates {
  readonly loss: number;
  readonly duplication: number;
  readonly reordering: number;
}

/** Makes the links of a fleet lose, repeat and delay messages, and obey cuts. */
export class FaultyLinks {
  rates: FaultRates = NO_FAULTS;
  /** The data centres that cannot be reached from the others. */
  readonly cutOff = new Set<string>();

  constructor(fleet: FakeFleet, random: Random) {
    fleet.linkFault = (from, to, body) => {
      if (this.#isCut(from, to) || random.next() < this.rates.loss) return [];
      const copies = random.next() < this.rates.duplication ? 2 : 1;
      return Array.from({ length: copies }, () => {
        const extra = random.next() < this.rates.reordering ? random.next() * MAX_EXTRA_MS : 0;
        return { delayMs: fleet.findDelay(from, to) + extra, body };
      });
    };
  }

  // Internals.

  #isCut(from: FakeNode, to: FakeNode): boolean {
    if (from.dataCentre === to.dataCentre) return false;
    return this.cutOff.has(from.dataCentre) || this.cutOff.has(to.dataCentre);
  }
}

/** Rates without any fault. */
export const NO_FAULTS: FaultRates = { loss: 0, duplication: 0, reordering: 0 };

/** Lets versions and faults strike at random for a while, then ends every fault. */
export function runFaults(
  fleet: FakeFleet,
  maker: VersionMaker,
  seed: number,
  steps: number,
): void {
  const random = new SeededRandom(seed);
  const links = new FaultyLinks(fleet, random);
  links.rates = { loss: 0.1, duplication: 0.1, reordering: 0.1 };
  for (let step = 0; step < steps; step += 1) {
    strikeOnce(fleet, maker, links, random);
    fleet.run(random.next() * MAX_STEP_MS);
  }
  links.rates = NO_FAULTS;
  links.cutOff.clear();
  for (const node of fleet.proxies) {
    if (node.isFrozen) fleet.thaw(node);
    if (!node.isUp) fleet.startProxy(node);
  }
}

// Internals.

const MAX_EXTRA_MS = 300;
const MAX_STEP_MS = 200;
const NOTICE_MS = 1_500;

function strikeOnce(
  fleet: FakeFleet,
  maker: VersionMaker,
  links: FaultyLinks,
  random: Random,
): void {
  const node = random.pick(fleet.proxies);
  switch (random.nextInt(8)) {
    case 0:
      if (node.isUp) fleet.kill(node, NOTICE_MS);
      else fleet.startProxy(node);
      return;
    case 1:
      if (node.isFrozen) fleet.thaw(node);
      else if (node.isUp) fleet.freeze(node);
      return;
    case 2:
      if (links.cutOff.size === 0) links.cutOff.add(node.dataCentre);
      else links.cutOff.clear();
      return;
    default: {
      const version = maker.makeNext();
      for (const source of fleet.sources) fleet.commit(source, version);
    }
  }
}

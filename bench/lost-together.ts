/** Loses two hosts with their disks together, and two other disks once the first two no longer count as lost. */
import { SeededRandom } from '../src/random.js';
import { CheckedFleet } from './checked-fleet.js';
import type { LossResult } from './loss-checks.js';
import type { FleetHost } from './source-fleet.js';

/**
 * What the hosts that come back are told: only each other, or also a third host, to and from which all their
 * datagrams are lost.
 */
export type TogetherSeeds = 'each-other' | 'unheard';

/** Runs the series of a seed. */
export function runLostTogether(seed: number, seeds: TogetherSeeds): LossResult {
  const random = new SeededRandom(seed);
  const checked = new CheckedFleet({ seed });
  const { fleet, checks } = checked;
  checked.runUntilAcknowledged();
  checked.run(SETTLE_MS);
  const leader = fleet.leader ?? random.pick(fleet.hosts);
  const followers = fleet.hosts.filter((one) => one !== leader);
  const [first, second, third] = listShuffled(followers, random);
  if (!first || !second || !third) throw new Error('a fleet of at least four hosts is needed');
  const together = [first, second];
  for (const one of together) fleet.loseDisk(one, true);
  checked.run(DOWN_MS);
  const known = seeds === 'unheard' ? [...together, third] : together;
  fleet.network.losesDatagrams = (from, to) =>
    seeds === 'unheard' &&
    together.some(({ address }) => isPair([from, to], [address, third.address]));
  for (const one of together) {
    const addresses = known.map(({ address }) => address);
    fleet.start(one, addresses);
  }
  checked.run(1_000 * fleet.options.catchUpSeconds + AFTER_MS);
  const last = [fleet.leader ?? leader, third].filter((one) => !together.includes(one));
  fleet.print('final loss');
  for (const one of last) fleet.loseDisk(one, true);
  checked.run(DOWN_MS);
  for (const one of last) fleet.start(one, fleet.firstSeeds);
  checked.checkRecovery(fleet.now);
  return { violations: checks.violations, events: fleet.events };
}

// Internals.

const SETTLE_MS = 5_000;
const DOWN_MS = 500;
const AFTER_MS = 50;

/** Lists the hosts in random order. */
export function listShuffled(hosts: readonly FleetHost[], random: SeededRandom): FleetHost[] {
  const rest = [...hosts];
  return hosts.flatMap(() => rest.splice(random.nextInt(rest.length), 1));
}

function isPair(one: readonly string[], other: readonly string[]): boolean {
  return one.every((address) => other.includes(address));
}

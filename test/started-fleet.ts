/** A simulated fleet of 60 proxies whose history is checked. */
import { FakeFleet } from '../bench/fake-fleet.js';
import type { FakeNode, FleetPlan } from '../bench/fake-fleet.js';
import { VersionGenerator } from '../bench/generated-versions.js';
import type { VersionMark } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';
import { FleetHistory } from './fleet-history.js';

/** Starts a fleet and runs it until its membership is complete. */
export function startFleet(changes: Partial<FleetPlan> = {}) {
  const plan = { ...DEFAULT_PLAN, ...changes };
  const fleet = new FakeFleet(plan);
  const maker = new VersionGenerator(new SeededRandom(plan.seed));
  const history = new FleetHistory(fleet, maker);
  const commitNext = (count = 1) => {
    for (let made = 0; made < count; made += 1) {
      const version = maker.makeNextVersion();
      for (const source of fleet.sources) if (source.isUp) fleet.commit(source, version);
    }
  };
  fleet.startAll();
  fleet.run(MEMBERSHIP_MS);
  return { fleet, maker, history, commitNext };
}

/** Returns the first proxy that matches a condition; throws if there is none. */
export function findProxy(fleet: FakeFleet, matches: (node: FakeNode) => boolean): FakeNode {
  const found = fleet.proxies.find(matches);
  if (found === undefined) throw new Error('no proxy of this fleet matches the condition');
  return found;
}

/** Returns the mark of the version that a proxy holds. */
export function readMark(node: FakeNode): VersionMark {
  if (node.proxy === undefined) throw new Error(`${node.host} has not been started`);
  return node.proxy.store.mark;
}

/** Whether a proxy is a root, which receives its versions from the source. */
export function isRoot(node: FakeNode): boolean {
  return node.proxy?.overlay.findNeighbours(node.host).isRoot ?? false;
}

// Internals.

const MEMBERSHIP_MS = 2_000;

const DEFAULT_PLAN: FleetPlan = {
  seed: 1,
  dataCentres: 3,
  proxies: 60,
  sources: 1,
  policy: 'convergence-time',
  keepsFloor: false,
  sharesOverlay: false,
  measuresBytes: false,
};

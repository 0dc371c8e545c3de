/** A fake fleet of sixty proxies whose history is checked. */
import { FakeFleet } from '../bench/fake-fleet.js';
import type { FakeNode, FleetPlan } from '../bench/fake-fleet.js';
import { VersionMaker } from '../bench/generated-versions.js';
import type { VersionMark } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';
import { FleetHistory } from './fleet-history.js';

/** Starts a fleet and waits until its proxies know each other. */
export function startFleet(changes: Partial<FleetPlan> = {}) {
  const plan = { ...SIXTY, ...changes };
  const fleet = new FakeFleet(plan);
  const maker = new VersionMaker(new SeededRandom(plan.seed));
  const history = new FleetHistory(fleet, maker);
  const commitNext = (count = 1) => {
    for (let made = 0; made < count; made += 1) {
      const version = maker.makeNext();
      for (const source of fleet.sources) if (source.isUp) fleet.commit(source, version);
    }
  };
  fleet.startAll();
  fleet.run(START_MS);
  return { fleet, maker, history, commitNext };
}

/** Finds the first proxy that satisfies a condition, which must exist. */
export function findProxy(fleet: FakeFleet, isWanted: (node: FakeNode) => boolean): FakeNode {
  const found = fleet.proxies.find(isWanted);
  if (found === undefined) throw new Error('no such proxy in this fleet');
  return found;
}

/** Reads which version a proxy holds. */
export function readMark(node: FakeNode): VersionMark {
  if (node.proxy === undefined) throw new Error(`${node.host} was never started`);
  return node.proxy.store.mark;
}

/** Tells whether a proxy takes its versions from the source. */
export function isRoot(node: FakeNode): boolean {
  return node.proxy?.overlay.findNeighbours(node.host).isFirst ?? false;
}

// Internals.

const START_MS = 2_000;

const SIXTY: FleetPlan = {
  seed: 1,
  dataCentres: 3,
  proxies: 60,
  sources: 1,
  policy: 'convergence-time',
  keepsFloor: false,
  sharesView: false,
  measuresBytes: false,
};

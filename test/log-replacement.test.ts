/** A fleet bears its promised losses again once a replaced host's successor has had its time to catch up. */
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { addMs } from '../src/clock.js';
import type { Address, HostId } from '../src/ids.js';
import { DEFAULT_TIMING, LogFilter } from '../src/log/index.js';
import { sourceSchema } from '../src/program/settings/source-settings.js';
import { SeededRandom } from '../src/random.js';
import type { ClusterNode, ClusterOptions } from './log-cluster.js';
import { LogCluster } from './log-cluster.js';

const HOSTS = 5;
const TOLERATED_LOSSES = 2;
/** How long a new host counts as lost after its start. */
const CATCH_UP_SECONDS = 4;
const CATCH_UP_MS = 1_000 * CATCH_UP_SECONDS;
const SUCCESSOR_DELAY_MS = 1_000;
const RECOVERY_MS = 15_000;
const PROPOSE_INTERVAL_MS = 500;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

/** Starts five voting hosts with the settings of a source; `spares` further hosts are down. */
function startCluster(seed: number, spares: number): LogCluster {
  const makeFilter = (_: ClusterOptions, index: number, addresses: readonly Address[]) => {
    const seeds = addresses.slice(0, 3);
    const { growth } = sourceSchema.parse({
      operator: '10.0.0.1:7003',
      growth: {
        seeds,
        founds: index < HOSTS,
        tolerated_losses: TOLERATED_LOSSES,
        catch_up_seconds: CATCH_UP_SECONDS,
      },
    });
    return new LogFilter<string>({
      host: `h${index}` as HostId,
      self: addresses[index] ?? ('' as Address),
      replicas: seeds,
      growth,
      random: new SeededRandom(seed * 31 + index),
      timing: DEFAULT_TIMING,
      snapshots: undefined,
    });
  };
  const cluster = new LogCluster({ seed, replicas: HOSTS + spares, makeFilter });
  for (const spare of cluster.nodes.slice(HOSTS)) cluster.kill(spare);
  cluster.settle(() => readVoters(cluster).length === HOSTS);
  return cluster;
}

/** Starts a host that finds all others, as the membership tells it. */
function startHost(cluster: LogCluster, node: ClusterNode): void {
  cluster.start(node);
  cluster.feed(node, { kind: 'peers', addresses: cluster.nodes.map(({ address }) => address) });
}

function readVoters(cluster: LogCluster): readonly Address[] {
  const membership = cluster.leader?.state?.replica.entries.membership;
  return membership?.voters.map(({ address }) => address) ?? [];
}

function runFor(cluster: LogCluster, milliseconds: number): void {
  const until = addMs(cluster.now, milliseconds);
  cluster.settle(() => cluster.now >= until, milliseconds + 1_000);
}

/** Proposes a command again and again, as an operator does, until every running node has applied it. */
function propose(cluster: LogCluster, command: string): void {
  let proposeAt = cluster.now;
  cluster.settle(() => {
    const { leader, now } = cluster;
    if (leader !== undefined && now >= proposeAt) {
      cluster.propose(leader, command);
      proposeAt = addMs(now, PROPOSE_INTERVAL_MS);
    }
    return cluster.nodes.every(({ running, applied }) => !running || applied.includes(command));
  }, RECOVERY_MS);
}

/** Stops a host for good, and starts an empty successor at another address a second later. */
function replaceHost(cluster: LogCluster, gone: ClusterNode, successor: ClusterNode): void {
  if (gone.running) cluster.kill(gone);
  runFor(cluster, SUCCESSOR_DELAY_MS);
  startHost(cluster, successor);
  runFor(cluster, CATCH_UP_MS);
}

/** Loses as many disks as promised at once, among them that of the leader. */
function loseDisks(cluster: LogCluster, seed: number): void {
  const running = cluster.nodes.filter((node) => node.running);
  const others = running.filter((node) => node !== cluster.leader);
  const lost = [cluster.leader, others[seed % others.length]];
  for (const node of lost) if (node !== undefined) cluster.loseDisk(node);
  runFor(cluster, 1_000);
  for (const node of lost) if (node !== undefined) startHost(cluster, node);
}

/** Checks that an acknowledged command outlives the promised losses of disks. */
function checkLosses(cluster: LogCluster, seed: number): void {
  propose(cluster, 'kept');
  loseDisks(cluster, seed);
  propose(cluster, 'later');
  cluster.settle(
    () => cluster.nodes.every(({ running, applied }) => !running || applied.includes('kept')),
    RECOVERY_MS,
  );
}

/** Picks a follower, or the leader. */
function pickHost(cluster: LogCluster, isLeader: boolean): ClusterNode {
  const node = cluster.nodes.find((one) => one.running && (one === cluster.leader) === isLeader);
  if (node === undefined) throw new Error('no such host runs');
  return node;
}

function findSpare(cluster: LogCluster, index = 0): ClusterNode {
  const spare = cluster.nodes[HOSTS + index];
  if (spare === undefined) throw new Error('the cluster has too few spares');
  return spare;
}

/** Runs a scenario for each seed, and checks that the log then bears the promised losses. */
function checkEachSeed(
  t: ExecutionContext,
  spares: number,
  run: (cluster: LogCluster, seed: number) => void,
): void {
  for (const seed of SEEDS) {
    const cluster = startCluster(seed, spares);
    run(cluster, seed);
    t.notThrows(() => {
      checkLosses(cluster, seed);
    }, `seed ${seed}`);
  }
}

// Guards against a replaced host that keeps its vote, so that two lost disks end the log for good.
for (const role of ['follower', 'leader']) {
  test(`replaced ${role}, then two lost disks: log survives`, (t) => {
    checkEachSeed(t, 1, (cluster) => {
      replaceHost(cluster, pickHost(cluster, role === 'leader'), findSpare(cluster));
    });
  });
}

test('two replaced hosts, then two lost disks: log survives', (t) => {
  checkEachSeed(t, 2, (cluster, seed) => {
    replaceHost(cluster, pickHost(cluster, false), findSpare(cluster));
    replaceHost(cluster, pickHost(cluster, seed % 2 === 0), findSpare(cluster, 1));
  });
});

test('two hosts replaced at once, then two lost disks: log survives', (t) => {
  checkEachSeed(t, 2, (cluster) => {
    cluster.kill(pickHost(cluster, false));
    startHost(cluster, findSpare(cluster));
    replaceHost(cluster, pickHost(cluster, false), findSpare(cluster, 1));
  });
});

test('replacement during a cut, then two lost disks: log survives', (t) => {
  checkEachSeed(t, 1, (cluster) => {
    const [one, two, three, four, fifth] = cluster.nodes;
    if (!one || !two || !three || !four || !fifth) throw new Error('too few hosts');
    for (const near of [one, two]) for (const far of [three, four]) cluster.cut(near, far);
    replaceHost(cluster, fifth, findSpare(cluster));
    cluster.join();
    runFor(cluster, CATCH_UP_MS);
  });
});

test('host cut off while another is replaced: successor and returned host vote', (t) => {
  checkEachSeed(t, 1, (cluster, seed) => {
    const gone = pickHost(cluster, false);
    cluster.kill(gone);
    const cutOff = pickHost(cluster, false);
    cluster.isolate(cutOff);
    replaceHost(cluster, gone, findSpare(cluster));
    cluster.join();
    runFor(cluster, CATCH_UP_MS);
    const voters = readVoters(cluster);
    t.false(voters.includes(gone.address), `seed ${seed}: the replaced host still votes`);
    t.true(voters.includes(cutOff.address), `seed ${seed}: the returned host has no vote`);
  });
});

/** Measures distribution with filters in virtual time, compared with the naive star. */
import { encodeMessage } from '../src/edge/link-codec.js';
import type { Address, HostId, Instant } from '../src/ids.js';
import type { SourceDistributionMessage } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';
import type { DistributionPolicyName } from '../src/distribution/index.js';
import { Overlay } from '../src/distribution/overlay.js';
import { FakeFleet } from './fake-fleet.js';
import type { FakeNode } from './fake-fleet.js';
import { VersionGenerator } from './generated-versions.js';
import { StarSourceFilter } from './naive-star.js';
import { findQuantile, formatRow } from './table.js';

/** The results of one fleet. */
export interface ScaleFigures {
  readonly proxies: number;
  readonly policy: DistributionPolicyName | 'star';
  /** Milliseconds from the commit of a version until a proxy serves it; one entry per proxy and version. */
  readonly delays: readonly number[];
  /** Bytes per version: in total, sent by the source, and between data centres. */
  readonly totalBytes: number;
  readonly sourceBytes: number;
  readonly crossDataCentreBytes: number;
  /** Messages that the source sent and received per version. */
  readonly sourceMessages: number;
  readonly sourceCpuMs: number;
  /** Mean processor time per proxy and version, and bytes sent per second and proxy when idle. */
  readonly proxyCpuMs: number;
  readonly idleBytesPerSecond: number;
  /**
   * Milliseconds until a third of the fleet, restarted at the same time, serves again; and the source's
   * messages in that time.
   */
  readonly massRestartMs: number | undefined;
  readonly massRestartSourceMessages: number;
}

/** Measures a fleet with one policy. */
export function measureScale(
  proxies: number,
  policy: DistributionPolicyName,
  versions: number,
): ScaleFigures {
  const fleet = new FakeFleet({ ...SHARED_PLAN, proxies, policy });
  const maker = new VersionGenerator(new SeededRandom(1), ROUTES);
  const [source] = fleet.sources;
  if (source === undefined) throw new Error('the plan has no source');
  fleet.startAll();
  fleet.run(SETTLE_MS);
  fleet.commit(source, maker.makeVersionWithRoutes(ROUTES));
  fleet.run(SETTLE_MS);
  const delays = recordDelays(fleet);
  const before = sumTraffic(fleet, source);
  for (let made = 0; made < versions; made += 1) {
    delays.committedAt = fleet.queue.now;
    fleet.commit(source, maker.makeNextVersion());
    fleet.run(VERSION_INTERVAL_MS);
  }
  const after = sumTraffic(fleet, source);
  fleet.run(IDLE_MS);
  const idle = sumTraffic(fleet, source);
  const massRestart = measureMassRestart(fleet, source, maker.newest);
  return {
    proxies,
    policy,
    delays: delays.list,
    totalBytes: (after.bytes - before.bytes) / versions,
    sourceBytes: (after.sourceBytes - before.sourceBytes) / versions,
    crossDataCentreBytes: (after.crossDataCentreBytes - before.crossDataCentreBytes) / versions,
    sourceMessages: (after.sourceMessages - before.sourceMessages) / versions,
    sourceCpuMs: (after.sourceCpuMs - before.sourceCpuMs) / versions,
    proxyCpuMs: (after.proxyCpuMs - before.proxyCpuMs) / versions / proxies,
    idleBytesPerSecond: ((idle.bytes - after.bytes) / proxies / IDLE_MS) * 1_000,
    ...massRestart,
  };
}

/** Measures bytes and processor time per version of the naive star's source. */
export function measureStar(proxies: number, versions: number): ScaleFigures {
  const filter = new StarSourceFilter();
  const maker = new VersionGenerator(new SeededRandom(1), ROUTES);
  const state = filter.createState();
  filter.decide(state, { kind: 'version', delta: maker.makeVersionWithRoutes(ROUTES).delta });
  for (let index = 0; index < proxies; index += 1) {
    state.proxies.add(`proxy-${index}` as Address);
  }
  const start = performance.now();
  let [bytes, messages] = [0, 0];
  for (let made = 0; made < versions; made += 1) {
    const { outputs } = filter.decide(state, {
      kind: 'version',
      delta: maker.makeNextVersion().delta,
    });
    for (const { body } of outputs) bytes += encodeMessage('spread', body).length;
    messages += outputs.length + proxies;
  }
  const sourceCpuMs = (performance.now() - start) / versions;
  const ackBytes = encodeMessage('source-spread', STAR_ACK).length * proxies;
  const sourceBytes = bytes / versions;
  return {
    proxies,
    policy: 'star',
    delays: [],
    totalBytes: sourceBytes + ackBytes,
    sourceBytes,
    crossDataCentreBytes: (sourceBytes * (SHARED_PLAN.dataCentres - 1)) / SHARED_PLAN.dataCentres,
    sourceMessages: messages / versions,
    sourceCpuMs,
    proxyCpuMs: 0,
    idleBytesPerSecond: 0,
    massRestartMs: undefined,
    massRestartSourceMessages: 0,
  };
}

/** The header of the table of {@link formatScale}. */
export const SCALE_HEAD = [
  formatRow([
    'proxies',
    'policy',
    'p50 ms',
    'p99 ms',
    'last ms',
    'total KB/change',
    'B/change a proxy',
    'source B/change',
    'cross B/change',
    'source messages/change',
    'source CPU ms/change',
    'proxy CPU ms/change',
    'idle B/s a proxy',
    'storm of a third ms',
    'source messages in storm',
  ]),
  formatRow(Array.from({ length: 15 }, () => '---')),
].join('\n');

/** Formats figures as one row. */
export function formatScale(figures: ScaleFigures): string {
  const { proxies, delays } = figures;
  return formatRow([
    proxies,
    figures.policy,
    findQuantile(delays, 0.5),
    findQuantile(delays, 0.99),
    findQuantile(delays, 1),
    figures.totalBytes / 1_024,
    figures.totalBytes / proxies,
    figures.sourceBytes,
    figures.crossDataCentreBytes,
    figures.sourceMessages,
    figures.sourceCpuMs,
    figures.proxyCpuMs,
    figures.idleBytesPerSecond,
    figures.massRestartMs,
    figures.massRestartSourceMessages,
  ]);
}

/**
 * Measures the cost of the overlay at one proxy: building it, one membership change with a look-up, and a
 * new epoch.
 */
export function reportView(members: number): string {
  const overlay = new Overlay({ fanOut: 8, rootCount: 2 });
  const hosts = Array.from({ length: members }, (_, index) => `host-${index}` as HostId);
  const heapBefore = readHeap();
  const start = performance.now();
  for (const [index, host] of hosts.entries()) {
    const dataCentre = `dc-${index % SHARED_PLAN.dataCentres}` as never;
    overlay.updateMember({ host, dataCentre, control: host as string as Address });
  }
  const builtAt = performance.now();
  const heapBytes = readHeap() - heapBefore;
  const changeStart = performance.now();
  for (const host of hosts.slice(0, VIEW_CHANGES)) {
    const member = overlay.findMember(host);
    overlay.forgetMember(host);
    if (member !== undefined) overlay.updateMember(member);
    overlay.findNeighbours(hosts[VIEW_CHANGES] ?? host);
  }
  const changedAt = performance.now();
  overlay.setEpoch(1);
  const epochSetAt = performance.now();
  return formatRow([
    members,
    builtAt - start,
    ((changedAt - changeStart) / VIEW_CHANGES) * 1_000,
    epochSetAt - changedAt,
    heapBytes / 1_024 / 1_024,
  ]);
}

/** The header of the table of {@link reportView}. */
export const VIEW_HEAD = [
  formatRow(['members', 'build ms', 'leave, join, look up µs', 'new epoch ms', 'heap MB']),
  formatRow(Array.from({ length: 5 }, () => '---')),
].join('\n');

// Internals.

const ROUTES = 60;
const SETTLE_MS = 3_000;
const VERSION_INTERVAL_MS = 3_200;
const IDLE_MS = 10_000;
const MASS_RESTART_LIMIT_MS = 60_000;
const FAILURE_DETECTION_MS = 2_000;
const VIEW_CHANGES = 1_000;

const SHARED_PLAN = {
  seed: 1,
  dataCentres: 7,
  sources: 1,
  keepsFloor: false,
  sharesOverlay: true,
  measuresBytes: true,
} as const;

const STAR_ACK: SourceDistributionMessage = {
  kind: 'ack',
  report: {
    own: 1 as never,
    groups: [{ version: 1 as never, count: 1, hosts: 1 as never }],
    stragglers: [],
  },
};

function readHeap(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function recordDelays(fleet: FakeFleet): { committedAt: Instant; list: number[] } {
  const delays = { committedAt: fleet.queue.now, list: [] as number[] };
  fleet.observeServed = () => {
    delays.list.push(fleet.queue.now - delays.committedAt);
  };
  return delays;
}

function sumTraffic(fleet: FakeFleet, source: FakeNode) {
  const sum = (read: (node: FakeNode) => number) =>
    fleet.proxies.reduce((total, node) => total + read(node), 0);
  const { sentBytes, sentMessages, receivedMessages, cpuMs } = source.traffic;
  return {
    bytes: sentBytes + sum((node) => node.traffic.sentBytes),
    sourceBytes: sentBytes,
    sourceMessages: sentMessages + receivedMessages,
    sourceCpuMs: cpuMs,
    crossDataCentreBytes: fleet.crossDataCentreBytes,
    proxyCpuMs: sum((node) => node.traffic.cpuMs),
  };
}

function measureMassRestart(fleet: FakeFleet, source: FakeNode, newest: number) {
  const restarted = fleet.proxies.filter((_node, index) => index % 3 === 0);
  fleet.observeServed = () => undefined;
  for (const node of restarted) fleet.kill(node, FAILURE_DETECTION_MS);
  fleet.run(FAILURE_DETECTION_MS / 4);
  const { sentMessages, receivedMessages } = source.traffic;
  for (const node of restarted) fleet.startProxy(node);
  const massRestartMs = fleet.runUntil(() => fleet.isServedByAll(newest), MASS_RESTART_LIMIT_MS);
  const messages = source.traffic.sentMessages + source.traffic.receivedMessages;
  return {
    massRestartMs,
    massRestartSourceMessages: messages - sentMessages - receivedMessages,
  };
}

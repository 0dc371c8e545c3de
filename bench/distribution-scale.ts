/** Measures distribution with the filters alone, in virtual time, against the naive star. */
import { encodeMessage } from '../src/edge/link-codec.js';
import type { Address, HostId, Instant } from '../src/ids.js';
import type { SourceSpreadMessage } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';
import type { SpreadPolicyName } from '../src/distribution/index.js';
import { Overlay } from '../src/distribution/overlay.js';
import { FakeFleet } from './fake-fleet.js';
import type { FakeNode } from './fake-fleet.js';
import { VersionMaker } from './generated-versions.js';
import { StarSourceFilter } from './naive-star.js';
import { findQuantile, formatRow } from './table.js';

/** What one fleet came to. */
export interface ScaleFigures {
  readonly proxies: number;
  readonly policy: SpreadPolicyName | 'star';
  /** Milliseconds from the commit until a proxy serves the version; one entry per proxy and version. */
  readonly delays: readonly number[];
  /** Bytes per version: everywhere, at the source, between data centres. */
  readonly totalBytes: number;
  readonly sourceBytes: number;
  readonly crossBytes: number;
  /** Messages that the source received and sent per version. */
  readonly sourceMessages: number;
  readonly sourceCpuMs: number;
  /** Processor time of the average proxy per version, and bytes that it sends a second when idle. */
  readonly proxyCpuMs: number;
  readonly idleBytesPerSecond: number;
  /** Until a third of the fleet, restarted at once, serves again; and the source's messages meanwhile. */
  readonly stormMs: number | undefined;
  readonly stormSourceMessages: number;
}

/** Measures one fleet under one policy. */
export function measureScale(
  proxies: number,
  policy: SpreadPolicyName,
  versions: number,
): ScaleFigures {
  const fleet = new FakeFleet({ ...SHARED_PLAN, proxies, policy });
  const maker = new VersionMaker(new SeededRandom(1), ROUTES);
  const [source] = fleet.sources;
  if (source === undefined) throw new Error('the plan has no source');
  fleet.startAll();
  fleet.run(SETTLE_MS);
  fleet.commit(source, maker.makeMany(ROUTES));
  fleet.run(SETTLE_MS);
  const delays = listenForDelays(fleet);
  const before = sumTraffic(fleet, source);
  for (let made = 0; made < versions; made += 1) {
    delays.committedAt = fleet.queue.now;
    fleet.commit(source, maker.makeNext());
    fleet.run(VERSION_INTERVAL_MS);
  }
  const after = sumTraffic(fleet, source);
  fleet.run(IDLE_MS);
  const idle = sumTraffic(fleet, source);
  const storm = measureStorm(fleet, source, maker.newest);
  return {
    proxies,
    policy,
    delays: delays.list,
    totalBytes: (after.bytes - before.bytes) / versions,
    sourceBytes: (after.sourceBytes - before.sourceBytes) / versions,
    crossBytes: (after.crossBytes - before.crossBytes) / versions,
    sourceMessages: (after.sourceMessages - before.sourceMessages) / versions,
    sourceCpuMs: (after.sourceCpuMs - before.sourceCpuMs) / versions,
    proxyCpuMs: (after.proxyCpuMs - before.proxyCpuMs) / versions / proxies,
    idleBytesPerSecond: ((idle.bytes - after.bytes) / proxies / IDLE_MS) * 1_000,
    ...storm,
  };
}

/** Measures the star: bytes and processor time of its source per version. */
export function measureStar(proxies: number, versions: number): ScaleFigures {
  const filter = new StarSourceFilter();
  const maker = new VersionMaker(new SeededRandom(1), ROUTES);
  const state = filter.createState();
  filter.decide(state, { kind: 'version', delta: maker.makeMany(ROUTES).delta });
  for (let index = 0; index < proxies; index += 1) {
    state.proxies.add(`proxy-${index}` as Address);
  }
  const start = performance.now();
  let [bytes, messages] = [0, 0];
  for (let made = 0; made < versions; made += 1) {
    const { outputs } = filter.decide(state, { kind: 'version', delta: maker.makeNext().delta });
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
    crossBytes: (sourceBytes * (SHARED_PLAN.dataCentres - 1)) / SHARED_PLAN.dataCentres,
    sourceMessages: messages / versions,
    sourceCpuMs,
    proxyCpuMs: 0,
    idleBytesPerSecond: 0,
    stormMs: undefined,
    stormSourceMessages: 0,
  };
}

/** The head of the table of {@link formatScale}. */
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

/** Writes figures as one row. */
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
    figures.crossBytes,
    figures.sourceMessages,
    figures.sourceCpuMs,
    figures.proxyCpuMs,
    figures.idleBytesPerSecond,
    figures.stormMs,
    figures.stormSourceMessages,
  ]);
}

/** Measures what the membership costs one proxy: building its view, one change, one look-up. */
export function reportView(members: number): string {
  const overlay = new Overlay({ fanOut: 8, firstCount: 2 });
  const hosts = Array.from({ length: members }, (_, index) => `host-${index}` as HostId);
  const heapBefore = readHeap();
  const start = performance.now();
  for (const [index, host] of hosts.entries()) {
    const dataCentre = `dc-${index % SHARED_PLAN.dataCentres}` as never;
    overlay.updateMember({ host, dataCentre, control: host as string as Address });
  }
  const built = performance.now();
  const heapBytes = readHeap() - heapBefore;
  const changeStart = performance.now();
  for (const host of hosts.slice(0, VIEW_CHANGES)) {
    const member = overlay.findMember(host);
    overlay.forgetMember(host);
    if (member !== undefined) overlay.updateMember(member);
    overlay.findNeighbours(hosts[VIEW_CHANGES] ?? host);
  }
  const changed = performance.now();
  overlay.setEpoch(1);
  const turned = performance.now();
  return formatRow([
    members,
    built - start,
    ((changed - changeStart) / VIEW_CHANGES) * 1_000,
    turned - changed,
    heapBytes / 1_024 / 1_024,
  ]);
}

/** The head of the table of {@link reportView}. */
export const VIEW_HEAD = [
  formatRow(['members', 'build ms', 'leave, join, look up µs', 'new epoch ms', 'heap MB']),
  formatRow(Array.from({ length: 5 }, () => '---')),
].join('\n');

// Internals.

const ROUTES = 60;
const SETTLE_MS = 3_000;
const VERSION_INTERVAL_MS = 3_200;
const IDLE_MS = 10_000;
const STORM_LIMIT_MS = 60_000;
const NOTICE_MS = 2_000;
const VIEW_CHANGES = 1_000;

const SHARED_PLAN = {
  seed: 1,
  dataCentres: 7,
  sources: 1,
  keepsFloor: false,
  sharesView: true,
  measuresBytes: true,
} as const;

const STAR_ACK: SourceSpreadMessage = {
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

function listenForDelays(fleet: FakeFleet): { committedAt: Instant; list: number[] } {
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
    crossBytes: fleet.crossBytes,
    proxyCpuMs: sum((node) => node.traffic.cpuMs),
  };
}

function measureStorm(fleet: FakeFleet, source: FakeNode, newest: number) {
  const herd = fleet.proxies.filter((_node, index) => index % 3 === 0);
  fleet.observeServed = () => undefined;
  for (const node of herd) fleet.kill(node, NOTICE_MS);
  fleet.run(NOTICE_MS / 4);
  const { sentMessages, receivedMessages } = source.traffic;
  for (const node of herd) fleet.startProxy(node);
  const stormMs = fleet.runUntil(() => fleet.hasServed(newest), STORM_LIMIT_MS);
  const messages = source.traffic.sentMessages + source.traffic.receivedMessages;
  return { stormMs, stormSourceMessages: messages - sentMessages - receivedMessages };
}

/**
 * Measures the membership: one filter with many members, fleets of filters in one process, and real
 * processes. Arguments: any of `table`, `fleet`, `processes`; all of them by default.
 */
import { readFileSync } from 'node:fs';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { addMs } from '../src/clock.js';
import { decodeProbe, encodeProbe } from '../src/edge/probe-codec.js';
import { encodeMessage } from '../src/edge/link-codec.js';
import { encodeSync } from '../src/edge/sync-codec.js';
import type { Address, Incarnation, Instant, ServiceName } from '../src/ids.js';
import type { MembersIn, MembersOut, MembersState } from '../src/members/index.js';
import { MembersFilter } from '../src/members/index.js';
import type {
  Announcement,
  Member,
  MemberUpdate,
  ProbeMessage,
  ServerState,
} from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';
import { MemberFleet } from './member-fleet.js';
import { stopProcess } from './mesh.js';
import { startSmallMesh } from './small-mesh.js';

const TARGET_MEMBERS = 19_000;
/**
 * Records published per second at the target size: twice the rate of 2,600 restarts a day with 8 changes
 * each.
 */
const TARGET_CHANGES_PER_S = 0.5;
const UDP_HEADER_BYTES = 28;
const TABLE_SIZES = [100, 1_000, 5_000, TARGET_MEMBERS];
const FLEET_SIZES = [60, 125, 250, 500];
const PROCESS_COUNTS = [8, 32];
/** Number of records in one message when a joining member fetches the table. */
const JOIN_BATCH = 500;
const PROXY_PASS_LENGTH = 12;
const SEED = 7;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

function buildRecord(index: number, incarnation: number, state: ServerState = 'ready'): Member {
  const member = MemberFleet.buildMember(index, 7);
  return {
    ...member,
    pass: 'x'.repeat(PROXY_PASS_LENGTH),
    incarnation: (1_764_835_200_000 + incarnation) as Incarnation,
    servers: [buildServer(member.control, index, state)],
  };
}

function buildServer(control: Address, index: number, state: ServerState): Announcement {
  return {
    service: `service-${index % 2_000}` as ServiceName,
    address: control.replace('7000', '8000') as Address,
    slots: 20,
    connections: 100,
    state,
    heartbeatDeadline: Number.POSITIVE_INFINITY as Instant,
  };
}

/** A single filter whose simulated peers answer every probe and forward every change. */
class SingleFilter {
  readonly #filter: MembersFilter;
  readonly #answers: ProbeMessage[] = [];
  state: MembersState;
  now = 1_764_835_200_000 as Instant;
  wakeAt = this.now;
  sentBytes = 0;
  receivedBytes = 0;

  constructor() {
    const self = MemberFleet.buildMember(0, 7);
    const random = new SeededRandom(SEED);
    this.#filter = new MembersFilter({ self, startedAt: this.now, seeds: [], random });
    this.state = this.#filter.createState();
  }

  post(message: MembersIn): void {
    const step = this.#filter.decide(this.state, message, this.now);
    this.state = step.state;
    for (const output of step.outputs) this.#handleOutput(output);
    for (const answer of this.#answers.splice(0)) this.receive(answer);
  }

  /** Encodes, counts, decodes and posts a datagram. */
  receive(message: ProbeMessage, from = MemberFleet.buildMember(1).control): void {
    const bytes = encodeProbe(message);
    this.receivedBytes += bytes.length + UDP_HEADER_BYTES;
    const decoded = decodeProbe(bytes, (reason) => {
      throw new Error(reason);
    });
    this.post({ kind: 'datagram', from, message: decoded });
  }

  runUntil(end: Instant): void {
    while (this.wakeAt <= end) {
      this.now = this.wakeAt;
      this.wakeAt = Number.POSITIVE_INFINITY as Instant;
      this.post({ kind: 'tick' });
    }
    this.now = end;
  }

  #handleOutput(output: MembersOut): void {
    if (output.kind === 'wake') this.wakeAt = Math.min(this.wakeAt, output.at) as Instant;
    if (output.kind !== 'datagram') return;
    this.sentBytes += encodeProbe(output.message).length + UDP_HEADER_BYTES;
    if (output.message.kind !== 'ping') return;
    const { to, sequence } = output.message;
    if (to === undefined) return;
    this.#answers.push({ kind: 'ack', from: to, sequence, updates: [] });
  }
}

function measureTable(size: number): void {
  collectGarbage();
  const heapBefore = process.memoryUsage().heapUsed;
  const single = new SingleFilter();
  single.post({ kind: 'tick' });
  const startedAt = performance.now();
  for (let index = 1; index < size; index += JOIN_BATCH) {
    const count = Math.min(JOIN_BATCH, size - index);
    const updates = Array.from({ length: count }, (_, offset): MemberUpdate => ({
      kind: 'record',
      member: buildRecord(index + offset, 0),
    }));
    const bytes = encodeMessage(
      'members',
      encodeSync({ kind: 'sync-updates', updates, wanted: [] }),
    );
    single.receivedBytes += bytes.length;
    single.post({
      kind: 'received',
      address: MemberFleet.buildMember(1).control,
      body: { kind: 'sync-updates', updates, wanted: [] },
    });
  }
  const applyUs = ((performance.now() - startedAt) * 1_000) / size;
  const joinBytes = single.receivedBytes / size;
  single.runUntil(addMs(single.now, 60_000));
  collectGarbage();
  const heapPerMember = (process.memoryUsage().heapUsed - heapBefore) / size;
  const { cpuShare, sent, received } = measureChurn(single, size);
  console.log(
    `| ${size} | ${heapPerMember.toFixed(0)} | ${joinBytes.toFixed(0)} | ${applyUs.toFixed(1)} | ` +
      `${(cpuShare * 100).toFixed(3)} | ${sent.toFixed(0)} | ${received.toFixed(0)} |`,
  );
}

/** Runs for ten minutes of virtual time with a rate of changes in proportion to the size. */
function measureChurn(single: SingleFilter, size: number) {
  const seconds = 600;
  const changesPerS = (TARGET_CHANGES_PER_S * size) / TARGET_MEMBERS;
  const copies = Math.ceil(1.5 * Math.log(size + 1));
  const random = new SeededRandom(SEED);
  single.sentBytes = 0;
  single.receivedBytes = 0;
  const cpuBefore = process.cpuUsage();
  let dueChanges = 0;
  for (let second = 0; second < seconds; second += 1) {
    for (dueChanges += changesPerS; dueChanges >= 1; dueChanges -= 1) {
      const record = buildRecord(1 + random.nextInt(size - 1), second + 1, 'draining');
      for (let copy = 0; copy < copies; copy += 1) {
        single.receive({
          kind: 'gossip',
          from: record.host,
          updates: [{ kind: 'record', member: record }],
        });
      }
    }
    const { host: from } = MemberFleet.buildMember(1 + random.nextInt(size - 1));
    single.receive({
      kind: 'ping',
      from,
      to: single.state.self.host,
      sequence: second,
      updates: [],
    });
    single.runUntil(addMs(single.now, 1_000));
  }
  const { user, system } = process.cpuUsage(cpuBefore);
  return {
    cpuShare: (user + system) / 1e6 / seconds,
    sent: single.sentBytes / seconds,
    received: single.receivedBytes / seconds,
  };
}

function measureFleet(size: number): void {
  const fleet = new MemberFleet(size, SEED, 7);
  let bytes = 0;
  fleet.network.countDatagram = (_, { message }) => {
    bytes += encodeProbe(message).length + UDP_HEADER_BYTES;
  };
  fleet.network.countSend = (_, { body }) => {
    bytes += encodeMessage('members', encodeSync(body)).length;
  };
  const joinedMs = fleet.runUntil(() => fleet.listMissingMembers().length === 0, 120_000, 1_000);
  const joinBytes = bytes / size;
  fleet.run(30_000);
  bytes = 0;
  fleet.run(20_000);
  const idleBytes = bytes / size / 20;
  const times = measureDrains(fleet);
  const crashMs = measureCrash(fleet);
  bytes = 0;
  const massRestartMs = measureMassRestart(fleet);
  const massRestartBytes = bytes / size;
  console.log(
    `| ${size} | ${joinedMs} | ${joinBytes.toFixed(0)} | ${idleBytes.toFixed(0)} | ` +
      `${times.half} | ${times.most} | ${times.all} | ${crashMs} | ${massRestartMs} | ${massRestartBytes.toFixed(0)} |`,
  );
}

/**
 * Drains servers one after the other under datagram loss; returns the longest times, in milliseconds,
 * until half, 99 % and all of the members show it.
 */
function measureDrains(fleet: MemberFleet): { half: number; most: number; all: number } {
  fleet.network.loss = 0.05;
  const worst = { half: 0, most: 0, all: 0 };
  for (const node of fleet.nodes.slice(10, 20)) {
    const announce = (state: ServerState): void => {
      const heartbeatDeadline = addMs(fleet.now, 3_600_000);
      const announcement = { ...buildServer(node.control, 1, state), heartbeatDeadline };
      fleet.post(node, { kind: 'announce', announcement });
    };
    announce('ready');
    fleet.run(10_000);
    announce('draining');
    const start = fleet.now;
    const count = (): number =>
      fleet.nodes.filter(({ view }) => view.get(node.host)?.servers[0]?.state === 'draining')
        .length;
    for (const [key, share] of [
      ['half', 0.5],
      ['most', 0.99],
      ['all', 1],
    ] as const) {
      fleet.runUntil(() => count() >= share * fleet.nodes.length, 120_000, 20);
      worst[key] = Math.max(worst[key], fleet.now - start);
    }
  }
  return worst;
}

/**
 * Kills processes one after the other under datagram loss; returns the longest time, in milliseconds,
 * until no view contains the process.
 */
function measureCrash(fleet: MemberFleet): number {
  let worst = 0;
  for (const node of fleet.nodes.slice(20, 23)) {
    fleet.kill(node);
    worst = Math.max(
      worst,
      fleet.runUntil(() => fleet.countViewsWith(node.host) === 0, 120_000),
    );
  }
  return worst;
}

/** Kills and restarts a third of the fleet; returns the milliseconds until every view is complete. */
function measureMassRestart(fleet: MemberFleet): number {
  const killed = fleet.nodes.filter(({ index }) => index % 3 === 1);
  for (const node of killed) fleet.kill(node);
  fleet.run(2_000);
  for (const node of killed) fleet.restart(node);
  return fleet.runUntil(() => fleet.listMissingMembers().length === 0, 300_000, 1_000);
}

interface ProcessReading {
  readonly cpuMs: number;
  readonly rssMb: number;
}

const CLOCK_TICK_MS = 10;
const SETTLE_MS = 10_000;
const OBSERVE_MS = 20_000;

function readProcess(pid: number): ProcessReading {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
  const cpuMs = (Number(stat[11]) + Number(stat[12])) * CLOCK_TICK_MS;
  const rss = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1];
  return { cpuMs, rssMb: Number(rss) / 1_024 };
}

async function measureProcesses(count: number): Promise<void> {
  const { mesh, processes } = await startSmallMesh(count, 0);
  const wait = (milliseconds: number) =>
    new Promise((resolve) => setTimeout(resolve, milliseconds));
  await wait(SETTLE_MS);
  const proxies = processes.slice(1);
  const read = () => proxies.map(({ child }) => readProcess(child.pid ?? 0));
  const before = read();
  await wait(OBSERVE_MS);
  const after = read();
  // Only the first one's member count is read: the others log theirs while all processes are leaving.
  const [first] = proxies;
  if (first !== undefined) await stopProcess(first);
  const members = readField(first?.output() ?? '', 'members');
  await mesh.stop();
  const shares = after.map(
    ({ cpuMs }, index) => (cpuMs - (before[index]?.cpuMs ?? 0)) / OBSERVE_MS,
  );
  const bytes = proxies.map(({ output }) => readBytesPerS(output()));
  console.log(
    `| ${count} | ${members} | ${formatMedianAndMax(
      shares.map((share) => share * 100),
      2,
    )} | ` +
      `${formatMedianAndMax(
        after.map(({ rssMb }) => rssMb),
        0,
      )} | ${formatMedianAndMax(bytes, 0)} |`,
  );
}

function readField(output: string, field: string): number {
  const line = output.split('\n').find((text) => text.includes('"event":"members-left"')) ?? '{}';
  return Number((JSON.parse(line) as Record<string, unknown>)[field]);
}

function readBytesPerS(output: string): number {
  const payload = readField(output, 'sentBytes') + readField(output, 'receivedBytes');
  const datagrams = readField(output, 'sent') + readField(output, 'received');
  const seconds = readField(output, 'uptimeMs') / 1_000;
  return (payload + datagrams * UDP_HEADER_BYTES) / seconds;
}

function formatMedianAndMax(values: readonly number[], digits: number): string {
  const sorted = values.toSorted((left, right) => left - right);
  const middle = sorted[Math.floor(sorted.length / 2)] ?? 0;
  return `${middle.toFixed(digits)} / ${(sorted.at(-1) ?? 0).toFixed(digits)}`;
}

const requestedParts = process.argv.slice(2);
const isRequested = (part: string): boolean =>
  requestedParts.length === 0 || requestedParts.includes(part);

if (isRequested('table')) {
  console.log(
    '| members | heap B/member | join B/member | apply µs/member | CPU % | sent B/s | received B/s |',
  );
  console.log('| --- | --- | --- | --- | --- | --- | --- |');
  measureTable(100);
  for (const size of TABLE_SIZES) measureTable(size);
}
if (isRequested('fleet')) {
  console.log(
    '| filters | joined ms | join B | idle B/s | drain 50 % ms | 99 % | all | crash gone ms | storm whole ms | storm B |',
  );
  console.log(`|${' --- |'.repeat(10)}`);
  for (const size of FLEET_SIZES) measureFleet(size);
}
if (isRequested('processes')) {
  console.log('| proxies | members seen | CPU % p50/max | RSS MB p50/max | UDP B/s p50/max |');
  console.log('| --- | --- | --- | --- | --- |');
  for (const count of PROCESS_COUNTS) await measureProcesses(count);
}

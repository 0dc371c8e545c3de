/** A simulated cluster of log replicas with in-memory links and disks, deterministic for a seed. */
import { addMs, NEVER } from '../src/clock.js';
import type { Address, HostId, Instant, ReplicaId, RequestId } from '../src/ids.js';
import type {
  LogIn,
  LogOut,
  LogRecord,
  LogState,
  LogWrite,
  ReplicaEvent,
  StoredLog,
} from '../src/log/index.js';
import { buildStoredLog, DEFAULT_SNAPSHOTS, DEFAULT_TIMING, LogFilter } from '../src/log/index.js';
import type { LogMessage, LogNotice, Membership } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';
import { LogChecker } from './log-checker.js';

/** One simulated process with its disk. */
export interface ClusterNode {
  readonly host: HostId;
  readonly address: Address;
  filter: LogFilter<string>;
  state: LogState<string>;
  running: boolean;
  paused: boolean;
  wakeAt: Instant;
  /** The synced records. */
  disk: LogRecord<string>[];
  /** The number of disks that this node has lost. */
  diskGeneration: number;
  /** Writes that are not yet reported as synced. */
  unsyncedWrites: LogWrite<string>[];
  /** The state machine: the commands applied so far. */
  applied: string[];
  /** What the node has reported since the start of the cluster. */
  readonly events: ReplicaEvent[];
  clockOffset: number;
}

interface Packet {
  readonly from: ClusterNode;
  readonly to: Address;
  readonly message: LogMessage<string>;
}

/** A packet that {@link LogCluster.settle} delivers once it has arrived. */
interface DelayedPacket {
  readonly packet: Packet;
  readonly arrivesAt: Instant;
}

/** The options of a cluster. */
export interface ClusterOptions {
  readonly seed: number;
  readonly replicas: number;
  /** The number of entries between two snapshots; no snapshots if absent or 0. */
  readonly snapshotEvery?: number;
  /** Replaces the filter, for example by a faulty one. */
  readonly makeFilter?: typeof makeFilter;
  readonly maxClockOffsetMs?: number;
  /** The bounds of the random delay of a message while {@link LogCluster.settle} runs; none if absent. */
  readonly delayMs?: readonly [min: number, max: number];
  /** Receives the notices that a node's log sends to its state machine. */
  readonly notify?: (node: ClusterNode, notice: LogNotice<string>) => void;
  /** Receives the commands that a node starts with: none, or those of a snapshot. */
  readonly restore?: (node: ClusterNode, commands: readonly string[]) => void;
}

/** A cluster that a test runs step by step. */
export class LogCluster {
  readonly checker = new LogChecker();
  readonly random: SeededRandom;
  readonly nodes: ClusterNode[];
  /** The notices of all nodes. */
  readonly notices: LogNotice<string>[] = [];
  now = 1_000_000 as Instant;
  /** The share of the messages that are lost while {@link LogCluster.settle} runs. */
  loss = 0;
  /** The number of messages sent so far, by kind. */
  readonly sentCounts = new Map<string, number>();
  readonly #options: ClusterOptions;
  #packets: Packet[] = [];
  #delayedPackets: DelayedPacket[] = [];
  #cutLinks = new Set<string>();
  #requests = 0;

  constructor(options: ClusterOptions) {
    this.#options = options;
    this.random = new SeededRandom(options.seed);
    const addresses = Array.from(
      { length: options.replicas },
      (_, index) => `10.0.0.${index + 1}:7000` as Address,
    );
    const make = options.makeFilter ?? makeFilter;
    this.nodes = addresses.map((address, index) => ({
      host: `h${index}` as HostId,
      address,
      filter: make(options, index, addresses),
      state: undefined,
      running: false,
      paused: false,
      wakeAt: NEVER,
      disk: [],
      diskGeneration: 0,
      unsyncedWrites: [],
      applied: [],
      events: [],
      clockOffset: this.random.nextInt(options.maxClockOffsetMs ?? 5_000),
    }));
    for (const node of this.nodes) this.start(node);
  }

  /** The node that leads the highest term. */
  get leader(): ClusterNode | undefined {
    const leaders = this.nodes.filter((node) => node.running && isLeader(node));
    return leaders.sort((left, right) => readTerm(right) - readTerm(left))[0];
  }

  /** Starts a node from its disk. */
  start(node: ClusterNode): void {
    node.running = true;
    node.paused = false;
    node.state = node.filter.createState();
    node.applied = [];
    this.#options.restore?.(node, []);
    const newReplicaId =
      `${node.host}-${node.diskGeneration}-${this.random.nextInt(1e9)}` as ReplicaId;
    this.feed(node, { kind: 'loaded', stored: buildStoredLog(node.disk), newReplicaId });
  }

  /** Kills a node. A random prefix of its unsynced writes reaches the disk. */
  kill(node: ClusterNode): void {
    const survivingCount = this.random.nextInt(node.unsyncedWrites.length + 1);
    for (const write of node.unsyncedWrites.slice(0, survivingCount)) writeDisk(node, write);
    node.unsyncedWrites = [];
    node.running = false;
    node.wakeAt = NEVER;
    node.state = undefined;
  }

  /** Kills a node and empties its disk. */
  loseDisk(node: ClusterNode): void {
    this.kill(node);
    node.disk = [];
    node.diskGeneration += 1;
  }

  /** Returns whether a quorum of every membership that may be in effect would keep its disks. */
  canLoseDisk(node: ClusterNode): boolean {
    const survivors = this.nodes.filter((one) => one !== node).map(readIdentity);
    const memberships = this.nodes.flatMap(listUsableMemberships(this.#findCommitted()));
    return memberships.every(
      ({ voters }) =>
        voters.filter(({ replica }) => survivors.includes(replica)).length > voters.length / 2,
    );
  }

  /** Cuts the links between two nodes, in both directions. */
  cut(one: ClusterNode, other: ClusterNode): void {
    this.#cutLinks.add(`${one.address}>${other.address}`).add(`${other.address}>${one.address}`);
  }

  /** Cuts a node off from all others. */
  isolate(node: ClusterNode): void {
    for (const other of this.nodes) if (other !== node) this.cut(node, other);
  }

  /** Restores every link. */
  join(): void {
    this.#cutLinks.clear();
  }

  /** Restores every link, resumes every paused node and starts every stopped one. */
  heal(): void {
    this.join();
    for (const node of this.nodes) {
      node.paused = false;
      if (!node.running) this.start(node);
    }
  }

  /** Proposes a command at a node. */
  propose(node: ClusterNode, command?: string, requestId?: RequestId): void {
    const id = requestId ?? this.#buildId('propose');
    const request = { kind: 'propose', id, command: command ?? `c-${id}` } as const;
    this.feed(node, { kind: 'request', request });
  }

  /** Requests a confirmed read from a node. */
  read(node: ClusterNode): void {
    const id = this.#buildId('read');
    this.checker.startRead(id);
    this.feed(node, { kind: 'request', request: { kind: 'confirm', id } });
  }

  /** Delivers one random message, with the given probabilities of loss and duplication. */
  deliver(loss = 0, duplication = 0): void {
    const position = this.random.nextInt(this.#packets.length);
    const packet = this.#packets[position];
    if (packet === undefined) return;
    const to = this.nodes.find(({ address }) => address === packet.to);
    if (to?.running === true && to.paused) return;
    if (this.random.next() >= duplication) this.#removePacket(position);
    if (to?.running !== true || this.random.next() < loss) return;
    if (this.#cutLinks.has(`${packet.from.address}>${packet.to}`)) return;
    const { host: from, address } = packet.from;
    this.feed(to, { kind: 'received', from, address, message: packet.message });
  }

  /** Syncs the oldest writes of a node. */
  sync(node: ClusterNode, count = node.unsyncedWrites.length): void {
    const writes = node.unsyncedWrites.splice(0, count);
    for (const write of writes) writeDisk(node, write);
    const writeNumber = writes.at(-1)?.writeNumber;
    if (writeNumber !== undefined) this.feed(node, { kind: 'synced', writeNumber });
  }

  /** Advances the time and sends the ticks that are due. */
  advance(milliseconds: number): void {
    this.now = addMs(this.now, milliseconds);
    for (const node of this.nodes) {
      if (!node.running || node.paused || node.wakeAt > this.now) continue;
      node.wakeAt = NEVER;
      this.feed(node, { kind: 'tick' });
    }
  }

  /** Runs without faults, except for lost and delayed messages, until `isDone`. Throws if this takes longer than the limit. */
  settle(isDone: () => boolean, limitMs = 30_000): void {
    const deadline = addMs(this.now, limitMs);
    while (!isDone()) {
      if (this.now > deadline) throw new Error('the condition was not met within the time limit');
      this.advance(5);
      for (const node of this.nodes) if (node.running) this.sync(node);
      this.#deliverArrived();
    }
  }

  /** Sends a message to the filter of a node, then the messages that its outputs lead to. */
  feed(node: ClusterNode, message: LogIn<string>): void {
    const queue: LogIn<string>[] = [message];
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
      this.#decide(node, next, queue);
    }
  }

  // Internals.

  #decide(node: ClusterNode, message: LogIn<string>, queue: LogIn<string>[]): void {
    const local = addMs(this.now, node.clockOffset);
    const step = node.filter.decide(node.state, message, local);
    node.state = step.state;
    for (const output of step.outputs) this.#handleOutput(node, output, queue);
    if (isLeader(node) && node.state !== undefined) {
      this.checker.checkLeader(node.state.replica.term, node.state.replica.id);
    }
  }

  /** Delivers the messages that have arrived, in random order. */
  #deliverArrived(): void {
    const delayed = this.#delayedPackets;
    this.#delayedPackets = delayed.filter(({ arrivesAt }) => arrivesAt > this.now);
    const arrived = delayed.filter(({ arrivesAt }) => arrivesAt <= this.now);
    this.#packets.push(...arrived.map(({ packet }) => packet));
    for (let count = this.#packets.length; count > 0; count -= 1) this.deliver(this.loss);
  }

  #addPacket(packet: Packet): void {
    const { kind } = packet.message.body;
    this.sentCounts.set(kind, (this.sentCounts.get(kind) ?? 0) + 1);
    const { delayMs } = this.#options;
    if (delayMs === undefined) {
      this.#packets.push(packet);
      return;
    }
    const [min, max] = delayMs;
    const arrivesAt = addMs(this.now, min + this.random.nextInt(max - min + 1));
    this.#delayedPackets.push({ packet, arrivesAt });
  }

  #removePacket(position: number): void {
    const last = this.#packets.pop();
    if (last !== undefined && position < this.#packets.length) this.#packets[position] = last;
  }

  #buildId(kind: string): RequestId {
    this.#requests += 1;
    return `${kind}-${this.#requests}` as RequestId;
  }

  #findCommitted(): number {
    return Math.max(...this.nodes.map((node) => node.state?.replica.committed ?? 0));
  }

  #handleOutput(node: ClusterNode, output: LogOut<string>, queue: LogIn<string>[]): void {
    switch (output.kind) {
      case 'append':
      case 'rewrite':
        node.unsyncedWrites.push(output);
        return;
      case 'send':
        this.checker.checkSent(output.message, `${node.host}/${node.diskGeneration}`);
        this.#addPacket({ from: node, to: output.to, message: output.message });
        return;
      case 'notice':
        this.#handleNotice(node, output.notice);
        return;
      case 'capture': {
        const bytes = Buffer.from(JSON.stringify(node.applied));
        queue.push({ kind: 'encoded', through: output.through, bytes });
        return;
      }
      case 'restore':
        node.applied = JSON.parse(Buffer.from(output.bytes).toString()) as string[];
        this.checker.checkRestored(node.applied);
        this.#options.restore?.(node, node.applied);
        return;
      case 'status':
      case 'voter-changed':
        return;
      case 'event':
        node.events.push(output.event);
        return;
      case 'wake':
        node.wakeAt = Math.min(node.wakeAt, output.at - node.clockOffset) as Instant;
        return;
    }
  }

  #handleNotice(node: ClusterNode, notice: LogNotice<string>): void {
    this.notices.push(notice);
    this.#options.notify?.(node, notice);
    if (notice.kind === 'committed') {
      this.checker.checkCommitted(node.applied.length, notice.index, notice.command);
      node.applied.push(notice.command);
      if (notice.id !== undefined) this.checker.accepted += 1;
    } else if (notice.kind === 'confirmed') {
      this.checker.checkRead(notice.id, node.applied.length, node.host);
    }
  }
}

/** Creates the filter of one node. */
export function makeFilter(
  options: ClusterOptions,
  index: number,
  replicas: readonly Address[],
): LogFilter<string> {
  const { seed, snapshotEvery } = options;
  const snapshots = snapshotEvery && {
    ...DEFAULT_SNAPSHOTS,
    everyEntries: snapshotEvery,
    retainedEntries: Math.floor(snapshotEvery / 2),
    chunkBytes: 64,
  };
  return new LogFilter<string>({
    host: `h${index}` as HostId,
    self: replicas[index] ?? ('' as Address),
    replicas,
    random: new SeededRandom(seed * 31 + index),
    timing: DEFAULT_TIMING,
    snapshots: snapshots === 0 ? undefined : snapshots,
  });
}

/** Returns whether a node is in the leader role. */
export function isLeader(node: ClusterNode): boolean {
  return node.state?.role.kind === 'leader';
}

// Internals.

function readTerm(node: ClusterNode): number {
  return node.state?.replica.term ?? 0;
}

function readIdentity(node: ClusterNode): ReplicaId | undefined {
  return buildStoredLog(node.disk).replica;
}

function writeDisk(node: ClusterNode, write: LogWrite<string>): void {
  if (write.kind === 'rewrite') node.disk = [...write.records];
  else node.disk.push(...write.records);
}

/** Lists the memberships of a node's log that may be in effect: the last committed one and all later ones. */
function listUsableMemberships(committed: number): (node: ClusterNode) => Membership[] {
  return (node) => {
    const { base, membership, entries } = node.state?.replica.entries
      ? readEntries(node.state.replica.entries)
      : buildStoredLog(node.disk);
    const all = entries.flatMap(({ index, content }) =>
      content.kind === 'membership' ? [{ index, membership: content.membership }] : [],
    );
    if (membership !== undefined) all.unshift({ index: base.index, membership });
    const inEffect = all.findLastIndex(({ index }) => index <= committed);
    return all.slice(Math.max(0, inEffect)).map((one) => one.membership);
  };
}

type Entries = NonNullable<LogState<string>>['replica']['entries'];

function readEntries(entries: Entries): Pick<StoredLog<string>, 'base' | 'membership' | 'entries'> {
  const { base, baseMembership: membership } = entries;
  return { base, membership, entries: entries.listAfter(base.index) };
}

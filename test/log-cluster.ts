/** Replicas of a log over links and disks in memory, which a seed disturbs. */
import { addMs, NEVER } from '../src/clock.js';
import type { Address, HostId, Instant, ReplicaId, RequestId } from '../src/ids.js';
import type { LogIn, LogOut, LogRecord, LogState, LogWrite, StoredLog } from '../src/log/index.js';
import { buildStoredLog, DEFAULT_TIMING, LogFilter } from '../src/log/index.js';
import type { LogMessage, LogNotice, Membership } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';
import { LogChecker } from './log-checker.js';

/** One process with its disk. */
export interface ClusterNode {
  readonly host: HostId;
  readonly address: Address;
  readonly filter: LogFilter<string>;
  state: LogState<string>;
  running: boolean;
  frozen: boolean;
  wakeAt: Instant;
  /** What is synced. */
  disk: LogRecord<string>[];
  /** Counts the disks that this node has had. */
  disks: number;
  /** Written, but not yet reported as synced. */
  writes: LogWrite<string>[];
  /** The user of the log: the commands that it was shown. */
  shown: string[];
  clockOffset: number;
}

interface Packet {
  readonly from: ClusterNode;
  readonly to: Address;
  readonly message: LogMessage<string>;
}

/** How a cluster is set up. */
export interface ClusterOptions {
  readonly seed: number;
  readonly replicas: number;
  /** Entries between two snapshots; none when absent. */
  readonly snapshotEvery?: number;
  /** Lets a test put a broken filter in. */
  readonly makeFilter?: typeof makeFilter;
  readonly maxClockOffsetMs?: number;
  /** Takes what the user of a node is told. */
  readonly notify?: (node: ClusterNode, notice: LogNotice<string>) => void;
  /** Takes the commands that a node starts from: none, or those of a snapshot. */
  readonly restore?: (node: ClusterNode, commands: readonly string[]) => void;
}

/** A cluster that is driven step by step. */
export class LogCluster {
  readonly checker = new LogChecker();
  readonly random: SeededRandom;
  readonly nodes: ClusterNode[];
  /** Everything that the users were told. */
  readonly notices: LogNotice<string>[] = [];
  now = 1_000_000 as Instant;
  readonly #options: ClusterOptions;
  #packets: Packet[] = [];
  #cuts = new Set<string>();
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
      frozen: false,
      wakeAt: NEVER,
      disk: [],
      disks: 0,
      writes: [],
      shown: [],
      clockOffset: this.random.nextInt(options.maxClockOffsetMs ?? 5_000),
    }));
    for (const node of this.nodes) this.start(node);
  }

  /** The node that leads the highest term. */
  get leader(): ClusterNode | undefined {
    const leaders = this.nodes.filter((node) => node.running && isLeader(node));
    return leaders.sort((left, right) => readTerm(right) - readTerm(left))[0];
  }

  /** Starts a node on what its disk holds. */
  start(node: ClusterNode): void {
    node.running = true;
    node.frozen = false;
    node.state = node.filter.createState();
    node.shown = [];
    this.#options.restore?.(node, []);
    const freshReplica = `${node.host}-${node.disks}-${this.random.nextInt(1e9)}` as ReplicaId;
    this.feed(node, { kind: 'loaded', stored: buildStoredLog(node.disk), freshReplica });
  }

  /** Kills a node between two steps of a write: any prefix of what was written may have lasted. */
  kill(node: ClusterNode): void {
    const lasting = this.random.nextInt(node.writes.length + 1);
    for (const write of node.writes.slice(0, lasting)) writeDisk(node, write);
    node.writes = [];
    node.running = false;
    node.wakeAt = NEVER;
    node.state = undefined;
  }

  /** Kills a node and empties its disk. */
  loseDisk(node: ClusterNode): void {
    this.kill(node);
    node.disk = [];
    node.disks += 1;
  }

  /** Whether a quorum of every membership that may be in effect would still have its disks. */
  canLoseDisk(node: ClusterNode): boolean {
    const lasting = this.nodes.filter((one) => one !== node).map(readIdentity);
    const memberships = this.nodes.flatMap(listLiveMemberships(this.#findCommitted()));
    return memberships.every(
      ({ voters }) =>
        voters.filter(({ replica }) => lasting.includes(replica)).length > voters.length / 2,
    );
  }

  /** Cuts the links between two nodes, or heals them. */
  cut(one: ClusterNode, other: ClusterNode): void {
    this.#cuts.add(`${one.address}>${other.address}`).add(`${other.address}>${one.address}`);
  }

  /** Cuts a node off from all others. */
  isolate(node: ClusterNode): void {
    for (const other of this.nodes) if (other !== node) this.cut(node, other);
  }

  /** Heals every link and wakes every node. */
  heal(): void {
    this.#cuts.clear();
    for (const node of this.nodes) {
      node.frozen = false;
      if (!node.running) this.start(node);
    }
  }

  /** Proposes a command at a node. */
  propose(node: ClusterNode, command?: string, requestId?: RequestId): void {
    const id = requestId ?? this.#formId('propose');
    const request = { kind: 'propose', id, command: command ?? `c-${id}` } as const;
    this.feed(node, { kind: 'request', request });
  }

  /** Asks a node for a confirmed read. */
  read(node: ClusterNode): void {
    const id = this.#formId('read');
    this.checker.startRead(id);
    this.feed(node, { kind: 'request', request: { kind: 'confirm', id } });
  }

  /** Delivers one message, chosen at random; some come twice and some are lost. */
  deliver(loss = 0, duplication = 0): void {
    const position = this.random.nextInt(this.#packets.length);
    const packet = this.#packets[position];
    if (packet === undefined) return;
    const to = this.nodes.find(({ address }) => address === packet.to);
    if (to?.running === true && to.frozen) return;
    if (this.random.next() >= duplication) this.#removePacket(position);
    if (to?.running !== true || this.random.next() < loss) return;
    if (this.#cuts.has(`${packet.from.address}>${packet.to}`)) return;
    const { host: from, address } = packet.from;
    this.feed(to, { kind: 'received', from, address, message: packet.message });
  }

  /** Syncs some of what a node has written. */
  sync(node: ClusterNode, count = node.writes.length): void {
    const writes = node.writes.splice(0, count);
    for (const write of writes) writeDisk(node, write);
    const ticket = writes.at(-1)?.ticket;
    if (ticket !== undefined) this.feed(node, { kind: 'synced', ticket });
  }

  /** Moves time and fires the ticks that are due. */
  advance(milliseconds: number): void {
    this.now = addMs(this.now, milliseconds);
    for (const node of this.nodes) {
      if (!node.running || node.frozen || node.wakeAt > this.now) continue;
      node.wakeAt = NEVER;
      this.feed(node, { kind: 'tick' });
    }
  }

  /** Runs without faults until `isDone`, and fails when that takes too long. */
  settle(isDone: () => boolean, limitMs = 30_000): void {
    const deadline = addMs(this.now, limitMs);
    while (!isDone()) {
      if (this.now > deadline) throw new Error('the replicas make no progress');
      this.advance(5);
      for (const node of this.nodes) if (node.running) this.sync(node);
      for (let count = this.#packets.length; count > 0; count -= 1) this.deliver();
    }
  }

  /** Hands a message to the filter of a node and acts on its outputs, then on what they led to. */
  feed(node: ClusterNode, message: LogIn<string>): void {
    const answers: LogIn<string>[] = [message];
    for (let next = answers.shift(); next !== undefined; next = answers.shift()) {
      this.#decide(node, next, answers);
    }
  }

  // Internals.

  #decide(node: ClusterNode, message: LogIn<string>, answers: LogIn<string>[]): void {
    const local = addMs(this.now, node.clockOffset);
    const step = node.filter.decide(node.state, message, local);
    node.state = step.state;
    for (const output of step.outputs) this.#obey(node, output, answers);
    if (isLeader(node) && node.state !== undefined) {
      this.checker.checkLeader(node.state.replica.term, node.state.replica.id);
    }
  }

  #removePacket(position: number): void {
    const last = this.#packets.pop();
    if (last !== undefined && position < this.#packets.length) this.#packets[position] = last;
  }

  #formId(kind: string): RequestId {
    this.#requests += 1;
    return `${kind}-${this.#requests}` as RequestId;
  }

  #findCommitted(): number {
    return Math.max(...this.nodes.map((node) => node.state?.replica.committed ?? 0));
  }

  #obey(node: ClusterNode, output: LogOut<string>, answers: LogIn<string>[]): void {
    switch (output.kind) {
      case 'append':
      case 'rewrite':
        node.writes.push(output);
        return;
      case 'send':
        this.checker.checkSent(output.message, `${node.host}/${node.disks}`);
        this.#packets.push({ from: node, to: output.to, message: output.message });
        return;
      case 'notice':
        this.#handleNotice(node, output.notice);
        return;
      case 'capture': {
        const bytes = Buffer.from(JSON.stringify(node.shown));
        answers.push({ kind: 'captured', through: output.through, bytes });
        return;
      }
      case 'restore':
        node.shown = JSON.parse(Buffer.from(output.bytes).toString()) as string[];
        this.checker.checkRestored(node.shown);
        this.#options.restore?.(node, node.shown);
        return;
      case 'status':
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
      this.checker.checkCommitted(node.shown.length, notice.index, notice.command);
      node.shown.push(notice.command);
      if (notice.id !== undefined) this.checker.accepted += 1;
    } else if (notice.kind === 'confirmed') {
      this.checker.checkRead(notice.id, node.shown.length, node.host);
    }
  }
}

/** Makes the filter of one node. */
export function makeFilter(
  options: ClusterOptions,
  index: number,
  replicas: readonly Address[],
): LogFilter<string> {
  const { seed, snapshotEvery } = options;
  const snapshots = snapshotEvery && {
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

/** Whether a node leads, as far as it knows. */
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

/** Lists the memberships that a node holds and that are not known to be outdated. */
function listLiveMemberships(committed: number): (node: ClusterNode) => Membership[] {
  return (node) => {
    const { base, membership, entries } = node.state?.replica.entries
      ? readMemory(node.state.replica.entries)
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

function readMemory(entries: Entries): Pick<StoredLog<string>, 'base' | 'membership' | 'entries'> {
  const { base, baseMembership: membership } = entries;
  return { base, membership, entries: entries.listAfter(base.index) };
}

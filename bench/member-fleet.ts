/** Runs the membership filters of a fleet in one process, over a simulated network and in virtual time. */
import { addMs, NEVER } from '../src/clock.js';
import type { Address, DataCentreId, HostId, Incarnation, Instant } from '../src/ids.js';
import { NO_VERSION } from '../src/ids.js';
import { DeadlineQueue } from '../src/members/deadline-queue.js';
import type { MembersIn, MembersOut, MembersState } from '../src/members/index.js';
import { MembersFilter } from '../src/members/index.js';
import type { BroadcastUpdate, CrashSeen, Member } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';

/**
 * Parameters of the simulated network; they may be changed while the fleet runs. `loss` and `duplication`
 * are probabilities per datagram.
 */
export interface FakeNetwork {
  loss: number;
  duplication: number;
  minDelayMs: number;
  maxDelayMs: number;
  /** Returns whether the second has a link to the first, and learns that it breaks when the first is killed. */
  isLinked: (node: FleetNode, peer: FleetNode) => boolean;
  /** Returns whether a partition drops everything between two nodes. */
  isCut: (from: FleetNode, to: FleetNode) => boolean;
  /** Called for every sent datagram. */
  countDatagram?: (from: FleetNode, output: Extract<MembersOut, { kind: 'datagram' }>) => void;
  /** Called for every message sent over a link. */
  countSend?: (from: FleetNode, output: Extract<MembersOut, { kind: 'send' }>) => void;
}

/** A simulated process of the fleet. */
export interface FleetNode {
  readonly index: number;
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  readonly control: Address;
  /** The seeds of its next start. */
  seeds: readonly Address[];
  startedAt: Instant;
  filter: MembersFilter;
  state: MembersState;
  isUp: boolean;
  frozenUntil: Instant;
  wakeAt: Instant;
  /** The members that the filter has reported to the other pipes of the process. */
  view: Map<HostId, Member>;
  broadcasts: CrashSeen[];
  /** What a source keeps on disk, also while its process is down; undefined if the process has no disk. */
  disk: BroadcastUpdate[] | undefined;
}

/** A message in flight, or a timer if `message` is undefined. */
interface QueuedDelivery {
  readonly node: FleetNode;
  readonly state: MembersState;
  readonly message: MembersIn | undefined;
}

/** Runs the filters of `size` processes, assigned to `dataCentres` data centres round robin. */
export class MemberFleet {
  readonly nodes: FleetNode[] = [];
  readonly network: FakeNetwork = {
    loss: 0,
    duplication: 0,
    minDelayMs: 0.2,
    maxDelayMs: 5,
    isLinked: () => false,
    isCut: () => false,
  };
  /** Updates that replaced a member by an older incarnation; a correct fleet has none. */
  readonly violations: string[] = [];
  readonly #random: SeededRandom;
  readonly #queue = new DeadlineQueue<QueuedDelivery>();
  readonly #byAddress = new Map<Address, FleetNode>();
  readonly #sources: ReadonlySet<number>;
  #now = START;

  /**
   * `seedsOf` lists the indexes of the processes that are the seeds of one process; `sources` are the indexes of the
   * sources, which have a disk.
   */
  constructor(
    size: number,
    seed: number,
    dataCentres = 1,
    seedsOf: (index: number) => readonly number[] = () => DEFAULT_SEEDS,
    sources: readonly number[] = [],
  ) {
    this.#random = new SeededRandom(seed);
    this.#sources = new Set(sources);
    for (let index = 0; index < size; index += 1)
      this.#addNode(index, dataCentres, MemberFleet.listControls(seedsOf(index)));
    for (const node of this.nodes) this.#startNode(node);
  }

  get now(): Instant {
    return this.#now;
  }

  /** Advances virtual time. */
  run(milliseconds: number): void {
    const end = addMs(this.#now, milliseconds);
    while (this.#queue.deadline <= end) {
      this.#now = Math.max(this.#now, this.#queue.deadline) as Instant;
      const delivery = this.#queue.removeDue(this.#now);
      if (delivery !== undefined) this.#deliver(delivery);
    }
    this.#now = end;
  }

  /**
   * Advances virtual time until a condition holds; returns the elapsed milliseconds, or `NEVER` after
   * `limitMs`.
   */
  runUntil(isDone: () => boolean, limitMs: number, stepMs = 100): number {
    const start = this.#now;
    while (!isDone()) {
      if (this.#now - start > limitMs) return NEVER;
      this.run(stepMs);
    }
    return this.#now - start;
  }

  /** Posts a message to a process that is up. */
  post(node: FleetNode, message: MembersIn): void {
    if (!node.isUp) return;
    const step = node.filter.decide(node.state, message, this.#now);
    node.state = step.state;
    for (const output of step.outputs) this.#handleOutput(node, output);
  }

  /** Kills a process, which sends nothing about it. */
  kill(node: FleetNode): void {
    node.isUp = false;
    const { host, control: address } = node;
    for (const peer of this.nodes) {
      if (peer === node || !this.network.isLinked(node, peer)) continue;
      this.post(peer, { kind: 'link-down', host, address });
    }
  }

  /** Opens a link between two processes, `delayMs` from now. */
  openLink(node: FleetNode, peer: FleetNode, delayMs: number): void {
    for (const [from, { host, control: address }] of [
      [node, peer],
      [peer, node],
    ] as const) {
      const message = { kind: 'link-up', host, address } as const;
      this.#queue.add(addMs(this.#now, delayMs), { node: from, state: from.state, message });
    }
  }

  /** Restarts a killed process with an empty view; `clockSetBackMs` puts the clock of its start back. */
  restart(node: FleetNode, clockSetBackMs = 0): void {
    node.isUp = true;
    node.view = new Map();
    node.broadcasts = [];
    this.#startNode(node, clockSetBackMs);
  }

  /** Changes the seeds of a process, also while it runs. */
  setSeeds(node: FleetNode, indexes: readonly number[]): void {
    node.seeds = MemberFleet.listControls(indexes);
    this.post(node, { kind: 'seeds', seeds: node.seeds });
  }

  /** Pauses a process; messages that arrive meanwhile are delivered afterwards. */
  freeze(node: FleetNode, milliseconds: number): void {
    node.frozenUntil = addMs(this.#now, milliseconds);
  }

  /** Lists the pairs of running processes in which the first has no entry for the second. */
  listMissingMembers(nodes: readonly FleetNode[] = this.nodes): string[] {
    const up = nodes.filter((node) => node.isUp);
    return up.flatMap((viewer) =>
      up
        .filter(({ host }) => !viewer.view.has(host))
        .map(({ host }) => `${viewer.host} lacks ${host}`),
    );
  }

  /** Lists the pairs of running processes in which the first has no record of the second's current run. */
  listOutdatedMembers(nodes: readonly FleetNode[] = this.nodes): string[] {
    const up = nodes.filter((node) => node.isUp);
    const isCurrent = (viewer: FleetNode, { host, startedAt }: FleetNode): boolean =>
      (viewer.view.get(host)?.incarnation ?? 0) >= startedAt;
    return up.flatMap((viewer) =>
      up
        .filter((node) => !isCurrent(viewer, node))
        .map(({ host }) => `${viewer.host} lacks ${host}`),
    );
  }

  /** Counts the running processes whose view contains `host`. */
  countViewsWith(host: HostId): number {
    return this.nodes.filter((node) => node.isUp && node.view.has(host)).length;
  }

  /** Lists the control addresses of processes. */
  static listControls(indexes: readonly number[]): Address[] {
    return indexes.map((index) => MemberFleet.buildMember(index).control);
  }

  /** Returns the member record that the process with this index publishes. */
  static buildMember(index: number, dataCentres = 1): Member {
    const control = `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:7000` as Address;
    const dataCentre = index % dataCentres;
    return {
      host: `host-${index}` as HostId,
      region: `region-${dataCentre % 3}` as Member['region'],
      dataCentre: `dc-${dataCentre}` as DataCentreId,
      control,
      calls: control.replace('7000', '7001') as Address,
      incarnation: 0 as Incarnation,
      pass: '',
      isSource: false,
      liveness: 'alive',
      version: NO_VERSION,
      servers: [],
    };
  }

  // Internals.

  #addNode(index: number, dataCentres: number, seeds: readonly Address[]): void {
    const { host, dataCentre, control } = MemberFleet.buildMember(index, dataCentres);
    const filter = this.#createFilter(index, dataCentres, seeds, this.#now);
    const node: FleetNode = {
      index,
      host,
      dataCentre,
      control,
      seeds,
      startedAt: this.#now,
      filter,
      state: filter.createState(),
      isUp: true,
      frozenUntil: START,
      wakeAt: NEVER,
      view: new Map(),
      broadcasts: [],
      disk: this.#sources.has(index) ? [] : undefined,
    };
    this.nodes.push(node);
    this.#byAddress.set(control, node);
  }

  #createFilter(
    index: number,
    dataCentres: number,
    seeds: readonly Address[],
    startedAt: Instant,
  ): MembersFilter {
    const random = new SeededRandom(this.#random.nextInt(2 ** 31));
    const isSource = this.#sources.has(index);
    const self = { ...MemberFleet.buildMember(index, dataCentres), isSource };
    return new MembersFilter({ self, startedAt, seeds, random });
  }

  #startNode(node: FleetNode, clockSetBackMs = 0): void {
    const dataCentres = new Set(this.nodes.map(({ dataCentre }) => dataCentre)).size;
    node.startedAt = addMs(this.#now, -clockSetBackMs);
    node.filter = this.#createFilter(node.index, dataCentres, node.seeds, node.startedAt);
    node.state = node.filter.createState();
    node.wakeAt = NEVER;
    if (node.disk !== undefined) this.post(node, { kind: 'remembered', updates: [...node.disk] });
    this.post(node, { kind: 'tick' });
  }

  #deliver({ node, state, message }: QueuedDelivery): void {
    if (!node.isUp || node.state !== state) return;
    if (node.frozenUntil > this.#now) {
      this.#queue.add(node.frozenUntil, { node, state, message });
      return;
    }
    if (message === undefined) {
      // An earlier timer has replaced this one.
      if (node.wakeAt > this.#now) return;
      node.wakeAt = NEVER;
    }
    this.post(node, message ?? { kind: 'tick' });
  }

  #handleOutput(node: FleetNode, output: MembersOut): void {
    switch (output.kind) {
      case 'wake':
        if (output.at >= node.wakeAt) return;
        node.wakeAt = output.at;
        this.#queue.add(output.at, { node, state: node.state, message: undefined });
        return;
      case 'member-up':
        this.#updateView(node, output.member);
        return;
      case 'member-gone':
        node.view.delete(output.host);
        return;
      case 'broadcast':
        node.broadcasts.push(output.item);
        return;
      case 'remember':
        node.disk?.push(output.update);
        return;
      case 'introduction-answered':
      case 'introduction-unanswered':
        return;
      case 'datagram':
        this.network.countDatagram?.(node, output);
        this.#sendDatagram(node, output);
        return;
      case 'send':
        this.network.countSend?.(node, output);
        this.#sendMessage(node, output.to, {
          kind: 'received',
          address: node.control,
          body: output.body,
        });
    }
  }

  #sendDatagram(node: FleetNode, { to, message }: Extract<MembersOut, { kind: 'datagram' }>): void {
    const copies = this.#random.next() < this.network.duplication ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      if (this.#random.next() < this.network.loss) continue;
      this.#sendMessage(node, to, { kind: 'datagram', from: node.control, message });
    }
  }

  #sendMessage(from: FleetNode, address: Address, message: MembersIn): void {
    const node = this.#byAddress.get(address);
    if (node === undefined || this.network.isCut(from, node)) return;
    const { minDelayMs, maxDelayMs } = this.network;
    const delay = minDelayMs + this.#random.next() * (maxDelayMs - minDelayMs);
    this.#queue.add(addMs(this.#now, delay), { node, state: node.state, message });
  }

  #updateView(node: FleetNode, member: Member): void {
    const before = node.view.get(member.host);
    if (before !== undefined && before.incarnation > member.incarnation) {
      this.violations.push(`${node.host} showed an older incarnation of ${member.host}`);
    }
    node.view.set(member.host, member);
  }
}

// Internals.

const DEFAULT_SEEDS = [0, 1, 2];
const START = 1_000_000_000 as Instant;

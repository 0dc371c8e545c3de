/** Membership filters of a whole fleet in one process, over a fake network on a fake clock. */
import { addMs, NEVER } from '../src/clock.js';
import type { Address, DataCentreId, HostId, Incarnation, Instant } from '../src/ids.js';
import { NO_VERSION } from '../src/ids.js';
import { DeadlineQueue } from '../src/members/deadline-queue.js';
import type { MembersIn, MembersOut, MembersState } from '../src/members/index.js';
import { MembersFilter } from '../src/members/index.js';
import type { Broadcast, Member } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';

/** Faults of the fake network. It may be changed while the fleet runs. */
export interface Network {
  loss: number;
  duplication: number;
  minDelayMs: number;
  maxDelayMs: number;
  /** Tells whether nothing passes between two nodes. */
  isCut: (from: FleetNode, to: FleetNode) => boolean;
  /** Called for every datagram that is sent. */
  countDatagram?: (from: FleetNode, output: Extract<MembersOut, { kind: 'datagram' }>) => void;
  /** Called for every message that is sent over a link. */
  countSend?: (from: FleetNode, output: Extract<MembersOut, { kind: 'send' }>) => void;
}

/** One process of the fleet. */
export interface FleetNode {
  readonly index: number;
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  readonly control: Address;
  filter: MembersFilter;
  state: MembersState;
  isUp: boolean;
  frozenUntil: Instant;
  wakeAt: Instant;
  /** What the other pipes of the process have been shown. */
  view: Map<HostId, Member>;
  broadcasts: Broadcast[];
}

/** A message on its way, or a wake-up when there is none. */
interface Delivery {
  readonly node: FleetNode;
  readonly state: MembersState;
  readonly message: MembersIn | undefined;
}

/** Runs the filters of `size` processes, spread over `dataCentres` in turn. */
export class MemberFleet {
  readonly nodes: FleetNode[] = [];
  readonly network: Network = {
    loss: 0,
    duplication: 0,
    minDelayMs: 0.2,
    maxDelayMs: 5,
    isCut: () => false,
  };
  /** Changes that took a view backward; a correct fleet has none. */
  readonly violations: string[] = [];
  readonly #random: SeededRandom;
  readonly #queue = new DeadlineQueue<Delivery>();
  readonly #byAddress = new Map<Address, FleetNode>();
  #now = START;

  constructor(size: number, seed: number, dataCentres = 1) {
    this.#random = new SeededRandom(seed);
    for (let index = 0; index < size; index += 1) this.#addNode(index, dataCentres);
    for (const node of this.nodes) this.#begin(node);
  }

  get now(): Instant {
    return this.#now;
  }

  /** Moves time forward. */
  run(milliseconds: number): void {
    const end = addMs(this.#now, milliseconds);
    while (this.#queue.deadline <= end) {
      this.#now = Math.max(this.#now, this.#queue.deadline) as Instant;
      const delivery = this.#queue.pickDue(this.#now);
      if (delivery !== undefined) this.#deliver(delivery);
    }
    this.#now = end;
  }

  /** Moves time forward until `check` holds; returns the milliseconds that it took. */
  runUntil(check: () => boolean, limitMs: number, stepMs = 100): number {
    const start = this.#now;
    while (!check()) {
      if (this.#now - start > limitMs) return NEVER;
      this.run(stepMs);
    }
    return this.#now - start;
  }

  /** Hands a message to one process. */
  post(node: FleetNode, message: MembersIn): void {
    if (!node.isUp) return;
    const step = node.filter.decide(node.state, message, this.#now);
    node.state = step.state;
    for (const output of step.outputs) this.#route(node, output);
  }

  /** Ends a process without a word. */
  kill(node: FleetNode): void {
    node.isUp = false;
  }

  /** Starts a new life of a process that has ended, with its clock set back by `setBackMs`. */
  restart(node: FleetNode, setBackMs = 0): void {
    node.isUp = true;
    node.view = new Map();
    node.broadcasts = [];
    this.#begin(node, setBackMs);
  }

  /** Stops a process for a while; datagrams wait in its socket. */
  freeze(node: FleetNode, milliseconds: number): void {
    node.frozenUntil = addMs(this.#now, milliseconds);
  }

  /** Lists the pairs in which a running process does not show another running one. */
  listMissing(nodes: readonly FleetNode[] = this.nodes): string[] {
    const up = nodes.filter((node) => node.isUp);
    return up.flatMap((viewer) =>
      up
        .filter(({ host }) => !viewer.view.has(host))
        .map(({ host }) => `${viewer.host} lacks ${host}`),
    );
  }

  /** Counts the running processes that still show `host`. */
  countShowing(host: HostId): number {
    return this.nodes.filter((node) => node.isUp && node.view.has(host)).length;
  }

  /** Forms a member as a process would publish it. */
  static formMember(index: number, dataCentres = 1): Member {
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

  #addNode(index: number, dataCentres: number): void {
    const { host, dataCentre, control } = MemberFleet.formMember(index, dataCentres);
    const filter = this.#createFilter(index, dataCentres);
    const node: FleetNode = {
      index,
      host,
      dataCentre,
      control,
      filter,
      state: filter.createState(),
      isUp: true,
      frozenUntil: START,
      wakeAt: NEVER,
      view: new Map(),
      broadcasts: [],
    };
    this.nodes.push(node);
    this.#byAddress.set(control, node);
  }

  #createFilter(index: number, dataCentres: number, setBackMs = 0): MembersFilter {
    const seeds = [0, 1, 2].map((seed) => MemberFleet.formMember(seed).control);
    const random = new SeededRandom(this.#random.nextInt(2 ** 31));
    const self = MemberFleet.formMember(index, dataCentres);
    const startedAt = addMs(this.#now, -setBackMs);
    return new MembersFilter({ self, startedAt, seeds, random });
  }

  #begin(node: FleetNode, setBackMs = 0): void {
    const dataCentres = new Set(this.nodes.map(({ dataCentre }) => dataCentre)).size;
    node.filter = this.#createFilter(node.index, dataCentres, setBackMs);
    node.state = node.filter.createState();
    node.wakeAt = NEVER;
    this.post(node, { kind: 'tick' });
  }

  #deliver({ node, state, message }: Delivery): void {
    if (!node.isUp || node.state !== state) return;
    if (node.frozenUntil > this.#now) {
      this.#queue.add(node.frozenUntil, { node, state, message });
      return;
    }
    if (message === undefined) {
      // An earlier wake-up has taken the place of this one.
      if (node.wakeAt > this.#now) return;
      node.wakeAt = NEVER;
    }
    this.post(node, message ?? { kind: 'tick' });
  }

  #route(node: FleetNode, output: MembersOut): void {
    switch (output.kind) {
      case 'wake':
        if (output.at >= node.wakeAt) return;
        node.wakeAt = output.at;
        this.#queue.add(output.at, { node, state: node.state, message: undefined });
        return;
      case 'member-up':
        this.#show(node, output.member);
        return;
      case 'member-gone':
        node.view.delete(output.host);
        return;
      case 'broadcast':
        node.broadcasts.push(output.item);
        return;
      case 'datagram':
        this.network.countDatagram?.(node, output);
        this.#sendDatagram(node, output);
        return;
      case 'send':
        this.network.countSend?.(node, output);
        this.#pass(node, output.to, { kind: 'received', address: node.control, body: output.body });
    }
  }

  #sendDatagram(node: FleetNode, { to, message }: Extract<MembersOut, { kind: 'datagram' }>): void {
    const copies = this.#random.next() < this.network.duplication ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      if (this.#random.next() < this.network.loss) continue;
      this.#pass(node, to, { kind: 'datagram', from: node.control, message });
    }
  }

  #pass(from: FleetNode, address: Address, message: MembersIn): void {
    const node = this.#byAddress.get(address);
    if (node === undefined || this.network.isCut(from, node)) return;
    const { minDelayMs, maxDelayMs } = this.network;
    const delay = minDelayMs + this.#random.next() * (maxDelayMs - minDelayMs);
    this.#queue.add(addMs(this.#now, delay), { node, state: node.state, message });
  }

  #show(node: FleetNode, member: Member): void {
    const before = node.view.get(member.host);
    if (before !== undefined && before.incarnation > member.incarnation) {
      this.violations.push(`${node.host} went back on ${member.host}`);
    }
    node.view.set(member.host, member);
  }
}

// Internals.

const START = 1_000_000_000 as Instant;

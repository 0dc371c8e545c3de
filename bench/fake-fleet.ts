/** The filters of a whole fleet over in-memory links, in one process and in virtual time. */
import { encodeMessage } from '../src/edge/link-codec.js';
import type { Address, DataCentreId, HostId } from '../src/ids.js';
import type { CoverageReport, Member, VersionMark } from '../src/messages/index.js';
import type { Whole } from '../src/notes/index.js';
import type { Random } from '../src/random.js';
import { SeededRandom } from '../src/random.js';
import type {
  ProxySpreadIn,
  ProxySpreadOut,
  ProxySpreadState,
  SourceSpreadIn,
  SourceSpreadOut,
  SourceSpreadState,
  SpreadPolicyName,
} from '../src/distribution/index.js';
import { makePolicy, ProxySpreadFilter, SourceSpreadFilter } from '../src/distribution/index.js';
import { Overlay } from '../src/distribution/overlay.js';
import { EventQueue } from './event-queue.js';
import type { MadeVersion } from './generated-versions.js';

/** The fleet to build. */
export interface FleetPlan {
  readonly seed: number;
  readonly dataCentres: number;
  readonly proxies: number;
  readonly sources: number;
  readonly policy: SpreadPolicyName;
  /** Whether proxies keep a version floor on disk. */
  readonly keepsFloor: boolean;
  /** One view of the membership for all, which saves memory in large fleets. */
  readonly sharesView: boolean;
  /** Whether the sizes of messages are measured. */
  readonly measuresBytes: boolean;
}

/** What a link does to one message: when each of its copies arrives, in milliseconds. */
export type LinkFault = (from: FakeNode, to: FakeNode, body: object) => readonly Arrival[];

/** One copy of a message. */
export interface Arrival {
  readonly delayMs: number;
  readonly body: object;
}

/** Bytes and messages that one node has sent and received. */
export interface Traffic {
  sentBytes: number;
  sentMessages: number;
  receivedBytes: number;
  receivedMessages: number;
  cpuMs: number;
}

/** One process of the fleet. */
export interface FakeNode {
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  readonly address: Address;
  readonly role: 'proxy' | 'source';
  readonly traffic: Traffic;
  isUp: boolean;
  isFrozen: boolean;
  /** Counts the lives of the process. */
  life: number;
  /** What waits while the process is frozen. */
  readonly backlog: (() => void)[];
  wakeAt: number;
  proxy: ProxySpreadState | undefined;
  source: SourceSpreadState | undefined;
  floor: VersionMark | undefined;
  served: Whole | undefined;
}

/** Drives the filters of proxies and sources, with the faults that a test asks for. */
export class FakeFleet {
  readonly queue = new EventQueue();
  readonly proxies: FakeNode[] = [];
  readonly sources: FakeNode[] = [];
  readonly random: Random;
  /** Decides what happens to each message. */
  linkFault: LinkFault = (from, to, body) => [{ delayMs: this.findDelay(from, to), body }];
  /** Told of every whole that a proxy holds or serves. */
  observeHeld: (node: FakeNode, whole: Whole) => void = () => undefined;
  observeServed: (node: FakeNode, whole: Whole) => void = () => undefined;
  observeRejected: (node: FakeNode, fault: string) => void = () => undefined;
  /** Whether the sources can confirm that they lead. */
  canConfirm = true;
  coverage: CoverageReport | undefined;
  /** Bytes between data centres. */
  crossBytes = 0;
  readonly #plan: FleetPlan;
  readonly #nodes = new Map<Address, FakeNode>();
  readonly #proxyFilters = new Map<FakeNode, ProxySpreadFilter>();
  readonly #sourceFilter: SourceSpreadFilter;
  readonly #view: Overlay | undefined;
  readonly #sizes = new WeakMap<object, number>();

  constructor(plan: FleetPlan) {
    this.#plan = plan;
    this.random = new SeededRandom(plan.seed);
    const policy = makePolicy(plan.policy);
    this.#view = plan.sharesView ? new Overlay(policy.shape) : undefined;
    for (let index = 0; index < plan.sources; index += 1) this.#addNode('source', index);
    for (let index = 0; index < plan.proxies; index += 1) this.#addNode('proxy', index);
    this.#sourceFilter = new SourceSpreadFilter({ policy });
    for (const node of this.proxies) this.#proxyFilters.set(node, this.#makeProxyFilter(node));
  }

  /** Starts every process; everybody learns of everybody. */
  startAll(): void {
    for (const node of this.proxies) this.#view?.updateMember(formMember(node));
    for (const node of this.sources) this.#startSource(node);
    for (const node of this.proxies) this.startProxy(node);
  }

  /** Starts a proxy, which holds nothing; the others learn of it within a short while. */
  startProxy(node: FakeNode): void {
    node.isUp = true;
    node.isFrozen = false;
    node.life += 1;
    node.served = undefined;
    node.wakeAt = Infinity;
    const state = this.#findFilter(node).createState();
    node.proxy = this.#view === undefined ? state : { ...state, overlay: this.#view };
    this.#postProxy(node, { kind: 'start', floor: node.floor });
    if (this.#view === undefined) this.#announce(node);
    else if (this.#view.updateMember(formMember(node))) this.#refreshViews();
  }

  /** Kills a process; the others learn of it after `noticeMs`. */
  kill(node: FakeNode, noticeMs: number): void {
    node.isUp = false;
    node.life += 1;
    node.backlog.length = 0;
    const life = node.life;
    if (this.#view === undefined) this.#announceGone(node, noticeMs);
    else {
      this.queue.addEvent(this.queue.now + noticeMs, () => {
        if (node.life === life && this.#view?.forgetMember(node.host)) this.#refreshViews();
      });
    }
    for (const other of this.#nodes.values()) {
      if (!other.isUp || !isLinked(other, node)) continue;
      this.#later(other, this.findDelay(node, other), () => {
        this.#post(other, { kind: 'link-down', address: node.address });
      });
    }
  }

  /** Stops a process from handling anything until it is thawed. Its links stay up. */
  freeze(node: FakeNode): void {
    node.isFrozen = true;
  }

  /** Lets a frozen process handle what has arrived. */
  thaw(node: FakeNode): void {
    node.isFrozen = false;
    for (const run of node.backlog.splice(0)) run();
  }

  /** Hands a committed version to one source. */
  commit(source: FakeNode, { delta }: MadeVersion): void {
    this.#postSource(source, { kind: 'version', delta });
  }

  /** Runs for a while. */
  run(milliseconds: number): void {
    this.queue.runUntil(this.queue.now + milliseconds);
  }

  /** Runs until a condition holds; returns the time that passed, or undefined after the limit. */
  runUntil(isDone: () => boolean, limitMs: number, stepMs = 5): number | undefined {
    const start = this.queue.now;
    while (!isDone()) {
      if (this.queue.now - start >= limitMs) return undefined;
      this.run(stepMs);
    }
    return this.queue.now - start;
  }

  /** Tells whether every proxy that runs serves a version. */
  hasServed(version: number): boolean {
    return this.proxies.every((node) => !node.isUp || node.served?.version === version);
  }

  /** The delay of a link without faults. */
  findDelay(from: FakeNode, to: FakeNode): number {
    const base = from.dataCentre === to.dataCentre ? LOCAL_DELAY_MS : CROSS_DELAY_MS;
    return base + this.random.next() * DELAY_SPREAD_MS;
  }

  /** Sends a message as if a process had. */
  send(from: FakeNode, to: Address, channel: 'spread' | 'source-spread', body: object): void {
    const target = this.#nodes.get(to);
    if (target === undefined) return;
    if (!target.isUp) {
      this.#later(from, LOCAL_DELAY_MS, () => {
        this.#post(from, { kind: 'link-down', address: to });
      });
      return;
    }
    this.#countSent(from, target, channel, body);
    const life = target.life;
    for (const { delayMs, body: copy } of this.linkFault(from, target, body)) {
      this.queue.addEvent(this.queue.now + delayMs, () => {
        if (target.life === life) this.#deliver(from, target, copy);
      });
    }
  }

  // Internals.

  #addNode(role: FakeNode['role'], index: number): void {
    const node: FakeNode = {
      host: `${role}-${index}` as HostId,
      dataCentre: `dc-${index % this.#plan.dataCentres}` as DataCentreId,
      address: `${role}-${index}` as Address,
      role,
      traffic: { sentBytes: 0, sentMessages: 0, receivedBytes: 0, receivedMessages: 0, cpuMs: 0 },
      isUp: false,
      isFrozen: false,
      life: 0,
      backlog: [],
      wakeAt: Infinity,
      proxy: undefined,
      source: undefined,
      floor: undefined,
      served: undefined,
    };
    this.#nodes.set(node.address, node);
    (role === 'proxy' ? this.proxies : this.sources).push(node);
  }

  #makeProxyFilter({ host, dataCentre, address }: FakeNode): ProxySpreadFilter {
    return new ProxySpreadFilter({
      host,
      dataCentre,
      control: address,
      sources: this.sources.map((node) => node.address),
      keepsFloor: this.#plan.keepsFloor,
      policy: makePolicy(this.#plan.policy),
      random: new SeededRandom(this.random.nextInt(MAX_SEED)),
    });
  }

  #findFilter(node: FakeNode): ProxySpreadFilter {
    const filter = this.#proxyFilters.get(node);
    if (filter === undefined) throw new Error(`${node.host} is no proxy of this fleet`);
    return filter;
  }

  #startSource(node: FakeNode): void {
    node.isUp = true;
    node.life += 1;
    const state = this.#sourceFilter.createState();
    node.source = this.#view === undefined ? state : { ...state, overlay: this.#view };
  }

  /** Tells everybody of a proxy that has started, and the proxy of everybody. */
  #announce(node: FakeNode): void {
    for (const other of this.#nodes.values()) {
      if (!other.isUp || other === node) continue;
      this.#later(other, this.random.next() * VIEW_DELAY_MS, () => {
        this.#post(other, { kind: 'member-up', member: formMember(node) });
      });
      if (other.role === 'source') continue;
      this.#later(node, this.random.next() * VIEW_DELAY_MS, () => {
        this.#post(node, { kind: 'member-up', member: formMember(other) });
      });
    }
  }

  #announceGone(node: FakeNode, noticeMs: number): void {
    const { life } = node;
    for (const other of this.#nodes.values()) {
      this.#later(other, noticeMs * (0.5 + this.random.next()), () => {
        if (node.life === life) this.#post(other, { kind: 'member-gone', host: node.host });
      });
    }
  }

  /** A shared view changes under its users, who must look up their neighbours again. */
  #refreshViews(): void {
    for (const node of this.proxies)
      if (node.proxy !== undefined) node.proxy.neighbours = undefined;
  }

  #deliver(from: FakeNode, to: FakeNode, body: object): void {
    this.#whenAwake(to, () => {
      to.traffic.receivedMessages += 1;
      to.traffic.receivedBytes += this.#sizes.get(body) ?? 0;
      const received = { kind: 'received', from: from.host, address: from.address, body };
      this.#post(to, received as ProxySpreadIn & SourceSpreadIn);
    });
  }

  #later(node: FakeNode, delayMs: number, run: () => void): void {
    const life = node.life;
    this.queue.addEvent(this.queue.now + delayMs, () => {
      if (node.isUp && node.life === life) this.#whenAwake(node, run);
    });
  }

  #whenAwake(node: FakeNode, run: () => void): void {
    if (!node.isUp) return;
    if (node.isFrozen) node.backlog.push(run);
    else run();
  }

  #post(node: FakeNode, message: ProxySpreadIn & SourceSpreadIn): void {
    if (node.role === 'proxy') this.#postProxy(node, message);
    else this.#postSource(node, message);
  }

  #postProxy(node: FakeNode, message: ProxySpreadIn): void {
    if (node.proxy === undefined) return;
    const start = performance.now();
    const step = this.#findFilter(node).decide(node.proxy, message, this.queue.now);
    node.traffic.cpuMs += performance.now() - start;
    for (const output of step.outputs) this.#passProxy(node, output);
  }

  #passProxy(node: FakeNode, output: ProxySpreadOut): void {
    switch (output.kind) {
      case 'send':
        this.send(node, output.to, 'spread', output.body);
        return;
      case 'send-source':
        this.send(node, output.to, 'source-spread', output.body);
        return;
      case 'keep':
        this.#later(node, LOCAL_DELAY_MS, () => {
          this.#postProxy(node, { kind: 'link-up', address: output.to });
        });
        return;
      case 'held':
        if (node.proxy !== undefined) this.observeHeld(node, node.proxy.store.whole);
        return;
      case 'save-floor':
        this.#later(node, SYNC_MS, () => {
          node.floor = output.mark;
          this.#postProxy(node, { kind: 'floor-saved', version: output.mark.version });
        });
        return;
      case 'whole':
        node.served = output.whole;
        this.observeServed(node, output.whole);
        return;
      case 'rejected':
        this.observeRejected(node, output.fault.kind);
        return;
      case 'wake':
        this.#wake(node, output.at);
        return;
      case 'drop':
        this.#drop(node, output.to);
        return;
    }
  }

  #drop(node: FakeNode, to: Address): void {
    const target = this.#nodes.get(to);
    if (target === undefined) return;
    this.#later(target, LOCAL_DELAY_MS, () => {
      this.#post(target, { kind: 'link-down', address: node.address });
    });
  }

  #postSource(node: FakeNode, message: SourceSpreadIn): void {
    if (node.source === undefined || !node.isUp) return;
    const start = performance.now();
    const step = this.#sourceFilter.decide(node.source, message, this.queue.now);
    node.traffic.cpuMs += performance.now() - start;
    for (const output of step.outputs) this.#passSource(node, output);
  }

  #passSource(node: FakeNode, output: SourceSpreadOut): void {
    switch (output.kind) {
      case 'send':
        this.send(node, output.to, 'spread', output.body);
        return;
      case 'coverage':
        if (node === this.sources[0]) this.coverage = output.report;
        return;
      case 'confirm':
        this.#later(node, LOCAL_DELAY_MS, () => {
          const notice = this.canConfirm
            ? ({ kind: 'confirmed', id: output.id } as const)
            : ({ kind: 'refused', id: output.id, refusal: { kind: 'outcome-unknown' } } as const);
          this.#postSource(node, { kind: 'log', notice });
        });
        return;
      case 'rejected':
        this.observeRejected(node, output.fault.kind);
        return;
      case 'wake':
        this.#wake(node, output.at);
        return;
    }
  }

  /** Keeps the earliest deadline, as the timer of a task does. */
  #wake(node: FakeNode, at: number): void {
    if (at >= node.wakeAt && node.wakeAt > this.queue.now) return;
    node.wakeAt = at;
    this.#later(node, at - this.queue.now, () => {
      if (node.wakeAt !== at) return;
      node.wakeAt = Infinity;
      this.#post(node, { kind: 'tick' });
    });
  }

  #countSent(
    from: FakeNode,
    to: FakeNode,
    channel: 'spread' | 'source-spread',
    body: object,
  ): void {
    from.traffic.sentMessages += 1;
    if (!this.#plan.measuresBytes) return;
    const start = performance.now();
    const isCached = from.role === 'proxy' && this.#sizes.has(body);
    const size = isCached ? (this.#sizes.get(body) ?? 0) : encodeMessage(channel, body).length;
    from.traffic.cpuMs += performance.now() - start;
    this.#sizes.set(body, size);
    from.traffic.sentBytes += size;
    if (from.dataCentre !== to.dataCentre) this.crossBytes += size;
  }
}

// Internals.

const LOCAL_DELAY_MS = 0.25;
const CROSS_DELAY_MS = 1;
const DELAY_SPREAD_MS = 0.5;
const VIEW_DELAY_MS = 100;
const SYNC_MS = 2;
const MAX_SEED = 2 ** 31;

/** Sources learn of every break, so that they forget proxies which are no members yet. */
function isLinked(node: FakeNode, other: FakeNode): boolean {
  return node.role === 'source' || (node.proxy?.linked.has(other.address) ?? false);
}

function formMember({ host, dataCentre, address }: FakeNode): Member {
  return { host, dataCentre, control: address, liveness: 'alive' } as Member;
}

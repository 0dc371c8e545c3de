/** Runs the distribution filters of a fleet in one process, over in-memory links and in virtual time. */
import { encodeMessage } from '../src/edge/link-codec.js';
import type { Address, DataCentreId, HostId } from '../src/ids.js';
import type { CoverageReport, Member, VersionMark } from '../src/messages/index.js';
import type { Configuration } from '../src/notes/index.js';
import type { Random } from '../src/random.js';
import { SeededRandom } from '../src/random.js';
import type {
  ProxyDistributionIn,
  ProxyDistributionOut,
  ProxyDistributionState,
  SourceDistributionIn,
  SourceDistributionOut,
  SourceDistributionState,
  DistributionPolicyName,
} from '../src/distribution/index.js';
import {
  makePolicy,
  ProxyDistributionFilter,
  SourceDistributionFilter,
} from '../src/distribution/index.js';
import { Overlay } from '../src/distribution/overlay.js';
import { EventQueue } from './event-queue.js';
import type { GeneratedVersion } from './generated-versions.js';

/** Describes a fleet to build. */
export interface FleetPlan {
  readonly seed: number;
  readonly dataCentres: number;
  readonly proxies: number;
  readonly sources: number;
  readonly policy: DistributionPolicyName;
  /** Whether proxies store their version floor on disk. */
  readonly keepsFloor: boolean;
  /** Whether all processes share one overlay of the membership, which saves memory in large fleets. */
  readonly sharesOverlay: boolean;
  /** Whether messages are encoded to count their bytes. */
  readonly measuresBytes: boolean;
  /** Whether the settings of the proxies name no sources; see {@link FakeFleet.addSources}. */
  readonly hidesSources?: boolean;
}

/** Returns the copies of a message that a link delivers, with their delays; none if the message is lost. */
export type DeliveryRule = (from: FakeNode, to: FakeNode, body: object) => readonly MessageCopy[];

/** A copy of a message to deliver. */
export interface MessageCopy {
  readonly delayMs: number;
  readonly body: object;
}

/** Bytes and messages that a node has sent and received, and the processor time that it has used. */
export interface Traffic {
  sentBytes: number;
  sentMessages: number;
  receivedBytes: number;
  receivedMessages: number;
  cpuMs: number;
}

/** A simulated process of the fleet. */
export interface FakeNode {
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  readonly address: Address;
  readonly role: 'proxy' | 'source';
  readonly traffic: Traffic;
  isUp: boolean;
  isFrozen: boolean;
  /** Number of starts and kills of the process; events of an earlier value are dropped. */
  life: number;
  /** Work that arrived while the process is frozen. */
  readonly pendingWork: (() => void)[];
  wakeAt: number;
  proxy: ProxyDistributionState | undefined;
  source: SourceDistributionState | undefined;
  floor: VersionMark | undefined;
  served: Configuration | undefined;
}

/** Runs the filters of proxies and sources, with the faults that a test injects. */
export class FakeFleet {
  readonly queue = new EventQueue();
  readonly proxies: FakeNode[] = [];
  readonly sources: FakeNode[] = [];
  readonly random: Random;
  /** Decides when each message arrives, and how often. Replace it to inject faults. */
  deliveryRule: DeliveryRule = (from, to, body) => [{ delayMs: this.pickDelay(from, to), body }];
  /** Called for every configuration that a proxy holds. */
  observeHeld: (node: FakeNode, configuration: Configuration) => void = () => undefined;
  /** Called for every configuration that a proxy serves. */
  observeServed: (node: FakeNode, configuration: Configuration) => void = () => undefined;
  /** Called with the kind of fault for every message that a filter rejects. */
  observeRejected: (node: FakeNode, fault: string) => void = () => undefined;
  /** Whether the sources can confirm that they lead the replicated log. */
  canConfirm = true;
  coverage: CoverageReport | undefined;
  /** Number of bytes sent between data centres. */
  crossDataCentreBytes = 0;
  /** How late timers run, in milliseconds. */
  timerDelayMs = 0;
  readonly #plan: FleetPlan;
  readonly #nodes = new Map<Address, FakeNode>();
  readonly #proxyFilters = new Map<FakeNode, ProxyDistributionFilter>();
  readonly #sourceFilter: SourceDistributionFilter;
  readonly #sharedOverlay: Overlay | undefined;
  readonly #messageBytes = new WeakMap<object, number>();

  constructor(plan: FleetPlan) {
    this.#plan = plan;
    this.random = new SeededRandom(plan.seed);
    const policy = makePolicy(plan.policy);
    this.#sharedOverlay = plan.sharesOverlay ? new Overlay(policy.shape) : undefined;
    for (let index = 0; index < plan.sources; index += 1) this.#addNode('source', index);
    for (let index = 0; index < plan.proxies; index += 1) this.#addNode('proxy', index);
    this.#sourceFilter = new SourceDistributionFilter({ policy });
    for (const node of this.proxies) this.#proxyFilters.set(node, this.#makeProxyFilter(node));
  }

  /** Starts every process and announces the members to each other. */
  startAll(): void {
    for (const node of this.proxies) this.#sharedOverlay?.updateMember(buildMember(node));
    for (const node of this.sources) this.#startSource(node);
    for (const node of this.proxies) this.startProxy(node);
  }

  /**
   * Starts a proxy without a configuration and announces it to the others within
   * {@link MAX_MEMBERSHIP_DELAY_MS}.
   */
  startProxy(node: FakeNode): void {
    node.isUp = true;
    node.isFrozen = false;
    node.life += 1;
    node.served = undefined;
    node.wakeAt = Infinity;
    const state = this.#findFilter(node).createState();
    node.proxy =
      this.#sharedOverlay === undefined ? state : { ...state, overlay: this.#sharedOverlay };
    this.#postProxy(node, { kind: 'start', floor: node.floor });
    if (this.#sharedOverlay === undefined) this.#postMemberUp(node);
    else if (this.#sharedOverlay.updateMember(buildMember(node))) this.#forgetNeighbours();
  }

  /**
   * Kills a process. Its membership entry is removed after `detectionMs`, or at each other process after 0.5 to
   * 1.5 times that if the overlay isn't shared.
   */
  kill(node: FakeNode, detectionMs: number): void {
    node.isUp = false;
    node.life += 1;
    node.pendingWork.length = 0;
    const life = node.life;
    if (this.#sharedOverlay === undefined) this.#postMemberGone(node, detectionMs);
    else {
      this.queue.addEvent(this.queue.now + detectionMs, () => {
        if (node.life === life && this.#sharedOverlay?.forgetMember(node.host))
          this.#forgetNeighbours();
      });
    }
    for (const other of this.#nodes.values()) {
      if (!other.isUp || !isLinked(other, node)) continue;
      this.#runLater(other, this.pickDelay(node, other), () => {
        this.#post(other, { kind: 'link-down', address: node.address });
      });
    }
  }

  /** Makes processes, by default all others, remove a running process from their membership, as after a false suspicion. */
  giveUp(node: FakeNode, by: Iterable<FakeNode> = this.#nodes.values()): void {
    for (const other of by) {
      if (other === node || !other.isUp) continue;
      this.#post(other, { kind: 'member-gone', host: node.host });
    }
  }

  /** Adds the sources to the membership of running proxies, by default all, within a short time. */
  addSources(proxies: Iterable<FakeNode> = this.proxies): void {
    for (const node of proxies) {
      for (const source of this.sources) {
        const member = { ...buildMember(source), isSource: true, calls: source.address };
        this.#runLater(node, this.random.next() * MAX_MEMBERSHIP_DELAY_MS, () => {
          this.#post(node, { kind: 'member-up', member });
        });
      }
    }
  }

  /** Pauses a process until {@link FakeFleet.thaw}. Its links stay up, and what arrives waits. */
  freeze(node: FakeNode): void {
    node.isFrozen = true;
  }

  /** Resumes a frozen process, which handles what has arrived since. */
  thaw(node: FakeNode): void {
    node.isFrozen = false;
    for (const run of node.pendingWork.splice(0)) run();
  }

  /** Tells a source that it leads the replicated log. The first source leads from its start. */
  lead(source: FakeNode): void {
    const notice = { kind: 'leading', leading: true, leader: source.host } as const;
    this.#postSource(source, { kind: 'log', notice });
  }

  /** Posts a committed version to one source. */
  commit(source: FakeNode, { delta }: GeneratedVersion): void {
    this.#postSource(source, { kind: 'version', delta });
  }

  /** Advances virtual time. */
  run(milliseconds: number): void {
    this.queue.runUntil(this.queue.now + milliseconds);
  }

  /**
   * Advances virtual time until a condition holds; returns the elapsed milliseconds, or `undefined` if
   * the limit is reached.
   */
  runUntil(isDone: () => boolean, limitMs: number, stepMs = 5): number | undefined {
    const start = this.queue.now;
    while (!isDone()) {
      if (this.queue.now - start >= limitMs) return undefined;
      this.run(stepMs);
    }
    return this.queue.now - start;
  }

  /** Returns whether every running proxy serves this version. */
  isServedByAll(version: number): boolean {
    return this.proxies.every((node) => !node.isUp || node.served?.version === version);
  }

  /** Returns the random delay of a link without faults, in milliseconds. */
  pickDelay(from: FakeNode, to: FakeNode): number {
    const base = from.dataCentre === to.dataCentre ? LOCAL_DELAY_MS : CROSS_DATA_CENTRE_DELAY_MS;
    return base + this.random.next() * MAX_JITTER_MS;
  }

  /** Sends a message in the name of a process. */
  send(from: FakeNode, to: Address, channel: 'spread' | 'source-spread', body: object): void {
    const target = this.#nodes.get(to);
    if (target === undefined) return;
    if (!target.isUp) {
      this.#runLater(from, LOCAL_DELAY_MS, () => {
        this.#post(from, { kind: 'link-down', address: to });
      });
      return;
    }
    this.#countSent(from, target, channel, body);
    const life = target.life;
    for (const { delayMs, body: copy } of this.deliveryRule(from, target, body)) {
      this.queue.addEvent(this.queue.now + delayMs, () => {
        if (target.life === life) this.#deliverMessage(from, target, copy);
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
      pendingWork: [],
      wakeAt: Infinity,
      proxy: undefined,
      source: undefined,
      floor: undefined,
      served: undefined,
    };
    this.#nodes.set(node.address, node);
    (role === 'proxy' ? this.proxies : this.sources).push(node);
  }

  #makeProxyFilter({ host, dataCentre, address }: FakeNode): ProxyDistributionFilter {
    return new ProxyDistributionFilter({
      host,
      dataCentre,
      control: address,
      sources: this.#plan.hidesSources === true ? [] : this.sources.map(({ address }) => address),
      keepsFloor: this.#plan.keepsFloor,
      policy: makePolicy(this.#plan.policy),
      random: new SeededRandom(this.random.nextInt(MAX_SEED)),
    });
  }

  #findFilter(node: FakeNode): ProxyDistributionFilter {
    const filter = this.#proxyFilters.get(node);
    if (filter === undefined) throw new Error(`${node.host} is not a proxy of this fleet`);
    return filter;
  }

  #startSource(node: FakeNode): void {
    node.isUp = true;
    node.life += 1;
    const state = this.#sourceFilter.createState();
    node.source =
      this.#sharedOverlay === undefined ? state : { ...state, overlay: this.#sharedOverlay };
    if (node === this.sources[0]) this.lead(node);
  }

  /** Announces a started proxy to the other running processes, and these to the proxy. */
  #postMemberUp(node: FakeNode): void {
    for (const other of this.#nodes.values()) {
      if (!other.isUp || other === node) continue;
      this.#runLater(other, this.random.next() * MAX_MEMBERSHIP_DELAY_MS, () => {
        this.#post(other, { kind: 'member-up', member: buildMember(node) });
      });
      if (other.role === 'source') continue;
      this.#runLater(node, this.random.next() * MAX_MEMBERSHIP_DELAY_MS, () => {
        this.#post(node, { kind: 'member-up', member: buildMember(other) });
      });
    }
  }

  #postMemberGone(node: FakeNode, detectionMs: number): void {
    const { life } = node;
    for (const other of this.#nodes.values()) {
      this.#runLater(other, detectionMs * (0.5 + this.random.next()), () => {
        if (node.life === life) this.#post(other, { kind: 'member-gone', host: node.host });
      });
    }
  }

  /** After a change of the shared overlay, makes every proxy look up its neighbours again. */
  #forgetNeighbours(): void {
    for (const node of this.proxies)
      if (node.proxy !== undefined) node.proxy.neighbours = undefined;
  }

  #deliverMessage(from: FakeNode, to: FakeNode, body: object): void {
    this.#runWhenThawed(to, () => {
      to.traffic.receivedMessages += 1;
      to.traffic.receivedBytes += this.#messageBytes.get(body) ?? 0;
      const received = { kind: 'received', from: from.host, address: from.address, body };
      this.#post(to, received as ProxyDistributionIn & SourceDistributionIn);
    });
  }

  #runLater(node: FakeNode, delayMs: number, run: () => void): void {
    const life = node.life;
    this.queue.addEvent(this.queue.now + delayMs, () => {
      if (node.isUp && node.life === life) this.#runWhenThawed(node, run);
    });
  }

  #runWhenThawed(node: FakeNode, run: () => void): void {
    if (!node.isUp) return;
    if (node.isFrozen) node.pendingWork.push(run);
    else run();
  }

  #post(node: FakeNode, message: ProxyDistributionIn & SourceDistributionIn): void {
    if (node.role === 'proxy') this.#postProxy(node, message);
    else this.#postSource(node, message);
  }

  #postProxy(node: FakeNode, message: ProxyDistributionIn): void {
    if (node.proxy === undefined) return;
    const start = performance.now();
    const step = this.#findFilter(node).decide(node.proxy, message, this.queue.now);
    node.traffic.cpuMs += performance.now() - start;
    for (const output of step.outputs) this.#handleProxyOutput(node, output);
  }

  #handleProxyOutput(node: FakeNode, output: ProxyDistributionOut): void {
    switch (output.kind) {
      case 'send':
        this.send(node, output.to, 'spread', output.body);
        return;
      case 'send-source':
        this.send(node, output.to, 'source-spread', output.body);
        return;
      case 'keep':
        this.#runLater(node, LOCAL_DELAY_MS, () => {
          this.#postProxy(node, { kind: 'link-up', address: output.to });
        });
        return;
      case 'held':
        if (node.proxy !== undefined) this.observeHeld(node, node.proxy.store.whole);
        return;
      case 'save-floor':
        this.#runLater(node, DISK_SYNC_MS, () => {
          node.floor = output.mark;
          this.#postProxy(node, { kind: 'floor-saved', version: output.mark.version });
        });
        return;
      case 'whole':
        node.served = output.configuration;
        this.observeServed(node, output.configuration);
        return;
      case 'rejected':
        this.observeRejected(node, output.fault.kind);
        return;
      case 'wake':
        this.#startTimer(node, output.at);
        return;
      case 'drop':
        this.#closeLink(node, output.to);
        return;
    }
  }

  #closeLink(node: FakeNode, to: Address): void {
    const target = this.#nodes.get(to);
    if (target === undefined) return;
    this.#runLater(target, LOCAL_DELAY_MS, () => {
      this.#post(target, { kind: 'link-down', address: node.address });
    });
  }

  #postSource(node: FakeNode, message: SourceDistributionIn): void {
    if (node.source === undefined || !node.isUp) return;
    const start = performance.now();
    const step = this.#sourceFilter.decide(node.source, message, this.queue.now);
    node.traffic.cpuMs += performance.now() - start;
    for (const output of step.outputs) this.#handleSourceOutput(node, output);
  }

  #handleSourceOutput(node: FakeNode, output: SourceDistributionOut): void {
    switch (output.kind) {
      case 'send':
        this.send(node, output.to, 'spread', output.body);
        return;
      case 'coverage':
        if (node === this.sources[0]) this.coverage = output.report;
        return;
      case 'confirm':
        this.#runLater(node, LOCAL_DELAY_MS, () => {
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
        this.#startTimer(node, output.at);
        return;
    }
  }

  /** Starts a timer that replaces a later pending one, as the timer of a task does. */
  #startTimer(node: FakeNode, at: number): void {
    if (at >= node.wakeAt && node.wakeAt > this.queue.now) return;
    node.wakeAt = at;
    this.#runLater(node, at - this.queue.now + this.timerDelayMs, () => {
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
    const isCached = from.role === 'proxy' && this.#messageBytes.has(body);
    const size = isCached
      ? (this.#messageBytes.get(body) ?? 0)
      : encodeMessage(channel, body).length;
    from.traffic.cpuMs += performance.now() - start;
    this.#messageBytes.set(body, size);
    from.traffic.sentBytes += size;
    if (from.dataCentre !== to.dataCentre) this.crossDataCentreBytes += size;
  }
}

// Internals.

const LOCAL_DELAY_MS = 0.25;
const CROSS_DATA_CENTRE_DELAY_MS = 1;
const MAX_JITTER_MS = 0.5;
const MAX_MEMBERSHIP_DELAY_MS = 100;
const DISK_SYNC_MS = 2;
const MAX_SEED = 2 ** 31;

/** Sources get every broken link reported, so that they forget proxies that are not members yet. */
function isLinked(node: FakeNode, other: FakeNode): boolean {
  return node.role === 'source' || (node.proxy?.linked.has(other.address) ?? false);
}

function buildMember({ host, dataCentre, address }: FakeNode): Member {
  return { host, dataCentre, control: address, liveness: 'alive' } as Member;
}

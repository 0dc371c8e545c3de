/** Distribution on a proxy: applies versions atomically, in increasing order, and relays them. */
import { addMs, NEVER } from '../clock.js';
import type { Address, HostId, Instant, Version } from '../ids.js';
import type {
  DeltaSpan,
  Member,
  SnapshotChunk,
  DistributionMessage,
  VersionMark,
} from '../messages/index.js';
import { Filter } from '../pipe/index.js';
import type { Step } from '../pipe/index.js';
import { findEpoch } from './overlay.js';
import { isRelay } from './member-order.js';
import type { OverlayMember } from './member-order.js';
import { buildAdvertisement, ProxyPuller } from './proxy-puller.js';
import { ProxyReporter } from './proxy-reporter.js';
import { ProxyConfirmer } from './proxy-confirmer.js';
import { createProxyState } from './proxy-distribution-state.js';
import type {
  ProxyDistributionIn,
  ProxyDistributionOptions,
  ProxyDistributionOut,
  ProxyDistributionState,
  DistributionFault,
} from './proxy-distribution-state.js';
import { findNeighbours } from './proxy-neighbours.js';

/** Decides which versions a proxy applies, serves and relays. */
export class ProxyDistributionFilter extends Filter<
  ProxyDistributionState,
  ProxyDistributionIn,
  ProxyDistributionOut
> {
  readonly #options: ProxyDistributionOptions;
  readonly #reporter: ProxyReporter;
  readonly #confirmer: ProxyConfirmer;
  readonly #puller: ProxyPuller;

  constructor(options: ProxyDistributionOptions) {
    super();
    this.#options = options;
    this.#reporter = new ProxyReporter(options);
    this.#confirmer = new ProxyConfirmer(options);
    this.#puller = new ProxyPuller(options);
  }

  override createState(): ProxyDistributionState {
    return createProxyState(this.#options);
  }

  override decide(
    state: ProxyDistributionState,
    message: ProxyDistributionIn,
    now: Instant,
  ): Step<ProxyDistributionState, ProxyDistributionOut> {
    const { needsConfirmation } = state.served;
    const outputs = this.#handle(state, message, now);
    const confirmed = needsConfirmation ? buildConfirmed(state) : [];
    const known = state.newestKnown.decide(state.store.mark.version, now);
    return { state, outputs: [...confirmed, ...outputs, ...known, ...updateWake(state)] };
  }

  // Internals.

  #handle(
    state: ProxyDistributionState,
    message: ProxyDistributionIn,
    now: Instant,
  ): ProxyDistributionOut[] {
    switch (message.kind) {
      case 'start':
        return this.#start(state, message.floor, now);
      case 'link-up':
        return this.#handleLinkUp(state, message.address, now);
      case 'link-down':
        state.linked.delete(message.address);
        state.pullScheduler.closeBroken(message.address, now);
        return [];
      case 'received':
        state.linked.add(message.address);
        return this.#handleReceived(state, message, now);
      case 'malformed':
        return this.#reject(state, message.address, { kind: 'malformed' }, now);
      case 'floor-saved':
        return [...state.served.handleSaved(message.version)];
      case 'sources':
        state.namedSources = message.sources;
        return this.#updateSources(state);
      case 'member-up':
        return this.#handleMember(state, message.member, now);
      case 'member-gone':
        return this.#forgetMember(state, message.host, now);
      case 'tick':
        state.deadlines.wake = NEVER;
        return this.#handleTick(state, now);
    }
  }

  #handleReceived(
    state: ProxyDistributionState,
    message: Extract<ProxyDistributionIn, { kind: 'received' }>,
    now: Instant,
  ): ProxyDistributionOut[] {
    const outputs = this.#handleBody(state, message, now);
    state.newestKnown.handleMessage(message.address, message.body, state.store, now);
    return outputs;
  }

  #handleBody(
    state: ProxyDistributionState,
    { from, address, body }: Extract<ProxyDistributionIn, { kind: 'received' }>,
    now: Instant,
  ): ProxyDistributionOut[] {
    switch (body.kind) {
      case 'push':
        return this.#handlePush(state, address, body, now);
      case 'advertise':
        return this.#handleAdvertisement(state, address, body.held, now);
      case 'pull':
        return this.#answerPull(state, address, body.held, now);
      case 'chunk':
        return this.#handleChunk(state, address, body.chunk, now);
      case 'retry-at':
        state.pullScheduler.closeRefused(address, body.at, now);
        return [];
      case 'ack':
        this.#reporter.updateReport(state, from, body.report, now);
        this.#addClaim(state, address, body.report.own, now);
        return [];
      case 'ask-vouch':
      case 'vouch':
      case 'ask-served':
      case 'served':
        return [...this.#confirmer.handle(state, address, body, now), ...this.#serve(state)];
    }
  }

  #start(
    state: ProxyDistributionState,
    floor: VersionMark | undefined,
    now: Instant,
  ): ProxyDistributionOut[] {
    const { random, policy } = this.#options;
    state.served.loadFloor(floor);
    state.appliedAt = now;
    state.deadlines.settle = addMs(now, SETTLE_MS);
    state.deadlines.compare = addMs(now, random.next() * (policy.decideCompare(now) - now));
    state.deadlines.refresh = addMs(now, random.next() * (policy.decideRefresh(now) - now));
    return this.#updateMember(state, this.#options, now);
  }

  /** Starts to pull versions once the membership has had time to arrive. */
  #settle(state: ProxyDistributionState, now: Instant): ProxyDistributionOut[] {
    if (state.deadlines.settle > now) return [];
    state.deadlines.settle = NEVER;
    state.isSettled = true;
    state.pullScheduler.requestAttempt(addMs(now, this.#options.random.next() * START_JITTER_MS));
    if (state.served.needsConfirmation) state.confirmRelay.addOwnRequest(now);
    return this.#updateSources(state);
  }

  #handleLinkUp(
    state: ProxyDistributionState,
    address: Address,
    now: Instant,
  ): ProxyDistributionOut[] {
    state.linked.add(address);
    if (!this.#receivesReports(state, address)) return [];
    this.#reporter.handleReminder(state, now);
    if (state.sources.has(address)) state.pullScheduler.requestAttempt(now);
    return [];
  }

  #handleMember(
    state: ProxyDistributionState,
    member: Member,
    now: Instant,
  ): ProxyDistributionOut[] {
    const isAlive = member.isSource && member.liveness !== 'dead';
    if (isAlive) state.sourceHosts.set(member.host, member.control);
    else state.sourceHosts.delete(member.host);
    const updated = isRelay(member)
      ? this.#updateMember(state, member, now)
      : this.#forgetRelay(state, member.host, now);
    return [...updated, ...this.#updateSources(state)];
  }

  #updateMember(
    state: ProxyDistributionState,
    member: OverlayMember,
    now: Instant,
  ): ProxyDistributionOut[] {
    if (!state.overlay.updateMember(member)) return [];
    this.#reporter.handleNeighbours(state, now);
    return this.#updateSources(state);
  }

  #forgetMember(state: ProxyDistributionState, host: HostId, now: Instant): ProxyDistributionOut[] {
    state.sourceHosts.delete(host);
    return [...this.#forgetRelay(state, host, now), ...this.#updateSources(state)];
  }

  #forgetRelay(state: ProxyDistributionState, host: HostId, now: Instant): ProxyDistributionOut[] {
    if (host === this.#options.host || !state.overlay.forgetMember(host)) return [];
    this.#reporter.handleNeighbours(state, now);
    return this.#updateSources(state);
  }

  /** Keeps links to the sources only while this proxy is a root. */
  #updateSources(state: ProxyDistributionState): ProxyDistributionOut[] {
    state.sources.clear();
    for (const address of state.namedSources) state.sources.add(address);
    for (const address of state.sourceHosts.values()) state.sources.add(address);
    if (!state.isSettled) return [];
    const { isRoot } = findNeighbours(state, this.#options);
    const wanted = isRoot ? state.sources : NO_SOURCES;
    return [...addMissing(state.keptSources, wanted), ...removeOthers(state.keptSources, wanted)];
  }

  #handlePush(
    state: ProxyDistributionState,
    address: Address,
    { spans, newest }: Extract<DistributionMessage, { kind: 'push' }>,
    now: Instant,
  ): ProxyDistributionOut[] {
    if (state.sources.has(address)) this.#reporter.handleSource(state, address, now);
    const isAnswer = state.pullScheduler.isAsking(address);
    const { applied, fault, conflict } = state.store.applySpans(spans);
    const relayed = isAnswer && !isShort(applied) ? [] : applied;
    const outputs = this.#handleApplied(state, address, relayed, applied.length, now);
    if (conflict !== undefined) {
      outputs.push(...this.#reject(state, address, { kind: 'conflict', offered: conflict }, now));
    } else if (fault !== undefined) {
      outputs.push(...this.#handleFault(state, address, fault, newest, now));
    } else if (applied.length === 0) {
      state.pullScheduler.closeEmpty(address, state.store.mark.version, now);
    }
    const isValid = fault === undefined && conflict === undefined;
    if (isValid) outputs.push(...this.#checkClaim(state, address, newest, now));
    return outputs;
  }

  /** Pulls a missing version from the sender; rejects any other fault and excludes the sender. */
  #handleFault(
    state: ProxyDistributionState,
    address: Address,
    fault: DistributionFault,
    newest: VersionMark,
    now: Instant,
  ): ProxyDistributionOut[] {
    const isAnswer = state.pullScheduler.isAsking(address);
    const outputs: ProxyDistributionOut[] =
      fault.kind === 'not-next' ? [] : this.#reject(state, address, fault, now);
    if (isAnswer) state.pullScheduler.closeFailed(address, now);
    else state.pullScheduler.addHolder(address, newest.version, now);
    return outputs;
  }

  #handleChunk(
    state: ProxyDistributionState,
    address: Address,
    chunk: SnapshotChunk,
    now: Instant,
  ): ProxyDistributionOut[] {
    if (!state.pullScheduler.extendPull(address, now)) return [];
    const snapshot = state.incomingSnapshots.add(address, chunk);
    if (snapshot === undefined) return [];
    const fault = state.store.applySnapshot(snapshot);
    if (fault === undefined) return this.#handleApplied(state, address, [], 1, now);
    if (fault.kind !== 'not-next') return this.#reject(state, address, fault, now);
    state.pullScheduler.closeEmpty(address, state.store.mark.version, now);
    return [];
  }

  #handleAdvertisement(
    state: ProxyDistributionState,
    address: Address,
    held: VersionMark,
    now: Instant,
  ): ProxyDistributionOut[] {
    if (state.sources.has(address)) this.#reporter.handleSource(state, address, now);
    if (held.version < state.store.mark.version && !state.store.hasConflict(held)) {
      return state.sources.has(address) ? [] : [buildAdvertisement(state, address)];
    }
    const isUpward = this.#receivesReports(state, address);
    if (held.version === state.store.mark.version && isUpward) {
      this.#reporter.handleReminder(state, now);
    }
    if (held.version > state.store.mark.version && isUpward) {
      state.pullScheduler.addHolder(address, held.version, now);
      return [];
    }
    return this.#checkClaim(state, address, held, now);
  }

  /** Schedules a pull for a higher version; rejects a mark that conflicts with the held history. */
  #checkClaim(
    state: ProxyDistributionState,
    address: Address,
    claimed: VersionMark,
    now: Instant,
  ): ProxyDistributionOut[] {
    if (claimed.version > state.store.mark.version) {
      state.pullScheduler.addClaim(address, claimed.version, now);
      return [];
    }
    if (!state.store.hasConflict(claimed)) return [];
    return this.#reject(state, address, { kind: 'conflict', offered: claimed }, now);
  }

  #answerPull(
    state: ProxyDistributionState,
    address: Address,
    held: VersionMark,
    now: Instant,
  ): ProxyDistributionOut[] {
    if (state.store.hasConflict(held)) {
      return this.#reject(state, address, { kind: 'conflict', offered: held }, now);
    }
    this.#addClaim(state, address, held.version, now);
    const answers = state.store.buildAnswer(held, state.rateLimiter, now);
    return answers.map((body) => ({ kind: 'send', to: address, body }));
  }

  /** Schedules a pull from a peer that names a higher version than the held one. */
  #addClaim(state: ProxyDistributionState, address: Address, claimed: Version, now: Instant): void {
    if (claimed > state.store.mark.version) state.pullScheduler.addClaim(address, claimed, now);
  }

  /** Relays what was applied: pushed and short spans are pushed to the children, anything else is advertised. */
  #handleApplied(
    state: ProxyDistributionState,
    sender: Address,
    pushed: readonly DeltaSpan[],
    appliedCount: number,
    now: Instant,
  ): ProxyDistributionOut[] {
    if (appliedCount === 0) return [];
    const { store, overlay, deadlines } = state;
    const { policy } = this.#options;
    state.appliedAt = now;
    state.incomingSnapshots.forgetAll();
    state.pullScheduler.closeApplied(sender, store.mark.version, now);
    const { children } = findNeighbours(state, this.#options);
    const targets = [...children, ...this.#reporter.listStandIns(state, now)];
    state.sentVersions.add(store.mark.version, pushed, now);
    const body: DistributionMessage =
      pushed.length > 0
        ? { kind: 'push', spans: pushed, newest: store.mark }
        : { kind: 'advertise', held: store.mark };
    const outputs = targets.flatMap(({ control }): ProxyDistributionOut[] =>
      control === sender ? [] : [{ kind: 'send', to: control, body }],
    );
    deadlines.advertise = Math.min(deadlines.advertise, policy.decideAdvertise(now)) as Instant;
    this.#reporter.handleApplied(state, now);
    if (overlay.setEpoch(findEpoch(store.mark.version))) {
      this.#reporter.handleNeighbours(state, now);
    }
    return [
      { kind: 'held', mark: store.mark },
      ...this.#serve(state),
      ...outputs,
      ...this.#updateSources(state),
    ];
  }

  #serve(state: ProxyDistributionState): ProxyDistributionOut[] {
    return [...state.served.decide(state.store.whole)];
  }

  #reject(
    state: ProxyDistributionState,
    address: Address,
    fault: DistributionFault,
    now: Instant,
  ): ProxyDistributionOut[] {
    state.pullScheduler.closeFailed(address, now);
    const count = (state.rejections.get(fault.kind) ?? 0) + 1;
    state.rejections.set(fault.kind, count);
    return [{ kind: 'rejected', address, fault, count }];
  }

  #handleTick(state: ProxyDistributionState, now: Instant): ProxyDistributionOut[] {
    return [
      ...this.#settle(state, now),
      ...this.#puller.decide(state, now),
      ...this.#reporter.decide(state, now),
      ...this.#confirmer.decide(state, now),
      ...this.#serve(state),
    ];
  }

  /** Whether this proxy sends its reports to `address`. */
  #receivesReports(state: ProxyDistributionState, address: Address): boolean {
    const { isRoot, parent } = findNeighbours(state, this.#options);
    return isRoot ? state.sources.has(address) : parent?.control === address;
  }
}

// Internals.

const NO_SOURCES: ReadonlySet<Address> = new Set();
const SETTLE_MS = 300;
const START_JITTER_MS = 100;
/** About 2 KB. */
const MAX_SHORT_CHANGES = 16;

/** Whether spans are about as cheap to push as the messages by which a child would pull them. */
function isShort(spans: readonly DeltaSpan[]): boolean {
  return spans.reduce((sum, { changes }) => sum + changes.length, 0) <= MAX_SHORT_CHANGES;
}

function buildConfirmed({
  served: { confirmedMark, confirmedBy },
}: ProxyDistributionState): ProxyDistributionOut[] {
  if (confirmedMark === undefined || confirmedBy === undefined) return [];
  return [{ kind: 'vouched', mark: confirmedMark, by: confirmedBy }];
}

function addMissing(kept: Set<Address>, wanted: ReadonlySet<Address>): ProxyDistributionOut[] {
  const missing = [...wanted].filter((address) => !kept.has(address));
  for (const address of missing) kept.add(address);
  return missing.map((to) => ({ kind: 'keep', to }));
}

function removeOthers(kept: Set<Address>, wanted: ReadonlySet<Address>): ProxyDistributionOut[] {
  const others = [...kept].filter((address) => !wanted.has(address));
  for (const address of others) kept.delete(address);
  return others.map((to) => ({ kind: 'drop', to }));
}

/** Requests a wake-up when the earliest deadline has become earlier. */
function updateWake({
  deadlines,
  pullScheduler,
  confirmRelay,
  poll,
  sentVersions,
  newestKnown,
}: ProxyDistributionState): ProxyDistributionOut[] {
  const { settle, advertise, compare, report, refresh, remind } = deadlines;
  const others = [
    pullScheduler.deadline,
    confirmRelay.deadline,
    poll.deadline,
    sentVersions.deadline,
    newestKnown.deadline,
  ];
  const earliest = Math.min(
    settle,
    advertise,
    compare,
    report,
    refresh,
    remind,
    ...others,
  ) as Instant;
  if (earliest >= deadlines.wake) return [];
  deadlines.wake = earliest;
  return [{ kind: 'wake', at: earliest }];
}

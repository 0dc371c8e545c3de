/** The proxy's side of distribution: takes versions whole and only upward, and passes them on. */
import { addMs, NEVER } from '../clock.js';
import type { Address, HostId, Instant } from '../ids.js';
import type {
  DeltaSpan,
  Member,
  SnapshotChunk,
  SpreadMessage,
  VersionMark,
} from '../messages/index.js';
import { Filter } from '../pipe/index.js';
import type { Step } from '../pipe/index.js';
import { findEpoch } from './overlay.js';
import { isRelay } from './member-order.js';
import type { OverlayMember } from './member-order.js';
import { formAdvertisement, ProxyPuller } from './proxy-puller.js';
import { ProxyReporter } from './proxy-reporter.js';
import { ProxyVoucher } from './proxy-confirmer.js';
import { createProxyState } from './proxy-distribution-state.js';
import type {
  ProxySpreadIn,
  ProxySpreadOptions,
  ProxySpreadOut,
  ProxySpreadState,
  SpreadFault,
} from './proxy-distribution-state.js';
import { findNeighbours } from './proxy-neighbours.js';

/** Decides which versions a proxy takes, serves and passes on. */
export class ProxySpreadFilter extends Filter<ProxySpreadState, ProxySpreadIn, ProxySpreadOut> {
  readonly #options: ProxySpreadOptions;
  readonly #reporter: ProxyReporter;
  readonly #voucher: ProxyVoucher;
  readonly #puller: ProxyPuller;

  constructor(options: ProxySpreadOptions) {
    super();
    this.#options = options;
    this.#reporter = new ProxyReporter(options);
    this.#voucher = new ProxyVoucher(options);
    this.#puller = new ProxyPuller(options);
  }

  override createState(): ProxySpreadState {
    return createProxyState(this.#options);
  }

  override decide(
    state: ProxySpreadState,
    message: ProxySpreadIn,
    now: Instant,
  ): Step<ProxySpreadState, ProxySpreadOut> {
    const { needsVouch } = state.served;
    const outputs = this.#handle(state, message, now);
    const vouched = needsVouch ? formVouched(state) : [];
    return { state, outputs: [...vouched, ...outputs, ...updateWake(state)] };
  }

  // Internals.

  #handle(state: ProxySpreadState, message: ProxySpreadIn, now: Instant): ProxySpreadOut[] {
    switch (message.kind) {
      case 'start':
        return this.#start(state, message.floor, now);
      case 'link-up':
        return this.#handleLinkUp(state, message.address, now);
      case 'link-down':
        state.linked.delete(message.address);
        state.catchUp.closeBroken(message.address, now);
        return [];
      case 'received':
        state.linked.add(message.address);
        return this.#handleBody(state, message, now);
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

  #handleBody(
    state: ProxySpreadState,
    { from, address, body }: Extract<ProxySpreadIn, { kind: 'received' }>,
    now: Instant,
  ): ProxySpreadOut[] {
    switch (body.kind) {
      case 'push':
        return this.#takePush(state, address, body, now);
      case 'advertise':
        return this.#takeAdvertisement(state, address, body.held, now);
      case 'pull':
        return this.#answerPull(state, address, body.held, now);
      case 'chunk':
        return this.#takeChunk(state, address, body.chunk, now);
      case 'retry-at':
        state.catchUp.closeRefused(address, body.at, now);
        return [];
      case 'ack':
        this.#reporter.updateReport(state, from, body.report, now);
        return [];
      case 'ask-vouch':
      case 'vouch':
      case 'ask-served':
      case 'served':
        return [...this.#voucher.handle(state, address, body, now), ...this.#serve(state)];
    }
  }

  #start(state: ProxySpreadState, floor: VersionMark | undefined, now: Instant): ProxySpreadOut[] {
    const { random, policy } = this.#options;
    state.served.loadFloor(floor);
    state.appliedAt = now;
    state.deadlines.settle = addMs(now, SETTLE_MS);
    state.deadlines.compare = addMs(now, random.next() * (policy.decideCompare(now) - now));
    state.deadlines.refresh = addMs(now, random.next() * (policy.decideRefresh(now) - now));
    return this.#updateMember(state, this.#options, now);
  }

  /** Begins to ask for versions, now that the membership has had time to arrive. */
  #settle(state: ProxySpreadState, now: Instant): ProxySpreadOut[] {
    if (state.deadlines.settle > now) return [];
    state.deadlines.settle = NEVER;
    state.isSettled = true;
    state.catchUp.requestAttempt(addMs(now, this.#options.random.next() * START_SPREAD_MS));
    if (state.served.needsVouch) state.vouches.addOwnAsk(now);
    return this.#updateSources(state);
  }

  #handleLinkUp(state: ProxySpreadState, address: Address, now: Instant): ProxySpreadOut[] {
    state.linked.add(address);
    if (!this.#isUpward(state, address)) return [];
    this.#reporter.handleReminder(state, now);
    if (state.sources.has(address)) state.catchUp.requestAttempt(now);
    return [];
  }

  #handleMember(state: ProxySpreadState, member: Member, now: Instant): ProxySpreadOut[] {
    const isAlive = member.isSource && member.liveness !== 'dead';
    if (isAlive) state.sourceHosts.set(member.host, member.control);
    else state.sourceHosts.delete(member.host);
    const updated = isRelay(member)
      ? this.#updateMember(state, member, now)
      : this.#forgetRelay(state, member.host, now);
    return [...updated, ...this.#updateSources(state)];
  }

  #updateMember(state: ProxySpreadState, member: OverlayMember, now: Instant): ProxySpreadOut[] {
    if (!state.overlay.updateMember(member)) return [];
    this.#reporter.handleNeighbours(state, now);
    return this.#updateSources(state);
  }

  #forgetMember(state: ProxySpreadState, host: HostId, now: Instant): ProxySpreadOut[] {
    state.sourceHosts.delete(host);
    return [...this.#forgetRelay(state, host, now), ...this.#updateSources(state)];
  }

  #forgetRelay(state: ProxySpreadState, host: HostId, now: Instant): ProxySpreadOut[] {
    if (host === this.#options.host || !state.overlay.forgetMember(host)) return [];
    this.#reporter.handleNeighbours(state, now);
    return this.#updateSources(state);
  }

  /** Keeps links to the sources exactly while this proxy is a root. */
  #updateSources(state: ProxySpreadState): ProxySpreadOut[] {
    state.sources.clear();
    for (const address of state.namedSources) state.sources.add(address);
    for (const address of state.sourceHosts.values()) state.sources.add(address);
    if (!state.isSettled) return [];
    const { isFirst } = findNeighbours(state, this.#options);
    const wanted = isFirst ? state.sources : NO_SOURCES;
    return [...addMissing(state.keptSources, wanted), ...removeOthers(state.keptSources, wanted)];
  }

  #takePush(
    state: ProxySpreadState,
    address: Address,
    { spans, newest }: Extract<SpreadMessage, { kind: 'push' }>,
    now: Instant,
  ): ProxySpreadOut[] {
    const isAnswer = state.catchUp.isAsking(address);
    const { applied, fault, conflict } = state.store.applySpans(spans);
    const outputs = this.#handleApplied(
      state,
      address,
      isAnswer ? [] : applied,
      applied.length,
      now,
    );
    if (conflict !== undefined) {
      outputs.push(...this.#reject(state, address, { kind: 'conflict', offered: conflict }, now));
    } else if (fault !== undefined) {
      outputs.push(...this.#handleFault(state, address, fault, newest, now));
    } else if (applied.length === 0) {
      state.catchUp.closeEmpty(address, state.store.mark.version, now);
    }
    const isSound = fault === undefined && conflict === undefined;
    if (isSound) outputs.push(...this.#checkClaim(state, address, newest, now));
    return outputs;
  }

  /** A gap is pulled from the sender; anything else counts against it. */
  #handleFault(
    state: ProxySpreadState,
    address: Address,
    fault: SpreadFault,
    newest: VersionMark,
    now: Instant,
  ): ProxySpreadOut[] {
    const isAnswer = state.catchUp.isAsking(address);
    const outputs: ProxySpreadOut[] =
      fault.kind === 'not-next' ? [] : this.#reject(state, address, fault, now);
    if (isAnswer) state.catchUp.closeFailed(address, now);
    else state.catchUp.addHolder(address, newest.version, now);
    return outputs;
  }

  #takeChunk(
    state: ProxySpreadState,
    address: Address,
    chunk: SnapshotChunk,
    now: Instant,
  ): ProxySpreadOut[] {
    if (!state.catchUp.extendPull(address, now)) return [];
    const snapshot = state.parts.add(address, chunk);
    if (snapshot === undefined) return [];
    const fault = state.store.applySnapshot(snapshot);
    if (fault === undefined) return this.#handleApplied(state, address, [], 1, now);
    if (fault.kind !== 'not-next') return this.#reject(state, address, fault, now);
    state.catchUp.closeEmpty(address, state.store.mark.version, now);
    return [];
  }

  #takeAdvertisement(
    state: ProxySpreadState,
    address: Address,
    held: VersionMark,
    now: Instant,
  ): ProxySpreadOut[] {
    if (held.version < state.store.mark.version && !state.store.hasConflict(held)) {
      return state.sources.has(address) ? [] : [formAdvertisement(state, address)];
    }
    const isUpward = this.#isUpward(state, address);
    if (held.version === state.store.mark.version && isUpward) {
      this.#reporter.handleReminder(state, now);
    }
    if (held.version > state.store.mark.version && isUpward) {
      state.catchUp.addHolder(address, held.version, now);
      return [];
    }
    return this.#checkClaim(state, address, held, now);
  }

  /** Remembers a claim to a higher version, and reports one that contradicts what is held. */
  #checkClaim(
    state: ProxySpreadState,
    address: Address,
    claimed: VersionMark,
    now: Instant,
  ): ProxySpreadOut[] {
    if (claimed.version > state.store.mark.version) {
      state.catchUp.addClaim(address, claimed.version, now);
      return [];
    }
    if (!state.store.hasConflict(claimed)) return [];
    return this.#reject(state, address, { kind: 'conflict', offered: claimed }, now);
  }

  #answerPull(
    state: ProxySpreadState,
    address: Address,
    held: VersionMark,
    now: Instant,
  ): ProxySpreadOut[] {
    if (state.store.hasConflict(held)) {
      return this.#reject(state, address, { kind: 'conflict', offered: held }, now);
    }
    const answers = state.store.formAnswer(held, state.admission, now);
    return answers.map((body) => ({ kind: 'send', to: address, body }));
  }

  /** Passes on what was applied: spans that were pushed are pushed, anything else is advertised. */
  #handleApplied(
    state: ProxySpreadState,
    sender: Address,
    pushed: readonly DeltaSpan[],
    appliedCount: number,
    now: Instant,
  ): ProxySpreadOut[] {
    if (appliedCount === 0) return [];
    const { store, overlay, deadlines } = state;
    const { policy } = this.#options;
    state.appliedAt = now;
    state.parts.forgetAll();
    state.catchUp.closeApplied(sender, store.mark.version, now);
    const { children } = findNeighbours(state, this.#options);
    const body: SpreadMessage =
      pushed.length > 0
        ? { kind: 'push', spans: pushed, newest: store.mark }
        : { kind: 'advertise', held: store.mark };
    const outputs = children.flatMap(({ control }): ProxySpreadOut[] =>
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

  #serve(state: ProxySpreadState): ProxySpreadOut[] {
    return [...state.served.decide(state.store.whole)];
  }

  #reject(
    state: ProxySpreadState,
    address: Address,
    fault: SpreadFault,
    now: Instant,
  ): ProxySpreadOut[] {
    state.catchUp.closeFailed(address, now);
    const count = (state.rejections.get(fault.kind) ?? 0) + 1;
    state.rejections.set(fault.kind, count);
    return [{ kind: 'rejected', address, fault, count }];
  }

  #handleTick(state: ProxySpreadState, now: Instant): ProxySpreadOut[] {
    return [
      ...this.#settle(state, now),
      ...this.#puller.decide(state, now),
      ...this.#reporter.decide(state, now),
      ...this.#voucher.decide(state, now),
      ...this.#serve(state),
    ];
  }

  /** Tells whether reports go to this address. */
  #isUpward(state: ProxySpreadState, address: Address): boolean {
    const { isFirst, parent } = findNeighbours(state, this.#options);
    return isFirst ? state.sources.has(address) : parent?.control === address;
  }
}

// Internals.

const NO_SOURCES: ReadonlySet<Address> = new Set();
const SETTLE_MS = 300;
const START_SPREAD_MS = 100;

function formVouched({ served: { vouched, vouchedBy } }: ProxySpreadState): ProxySpreadOut[] {
  if (vouched === undefined || vouchedBy === undefined) return [];
  return [{ kind: 'vouched', mark: vouched, by: vouchedBy }];
}

function addMissing(kept: Set<Address>, wanted: ReadonlySet<Address>): ProxySpreadOut[] {
  const missing = [...wanted].filter((address) => !kept.has(address));
  for (const address of missing) kept.add(address);
  return missing.map((to) => ({ kind: 'keep', to }));
}

function removeOthers(kept: Set<Address>, wanted: ReadonlySet<Address>): ProxySpreadOut[] {
  const others = [...kept].filter((address) => !wanted.has(address));
  for (const address of others) kept.delete(address);
  return others.map((to) => ({ kind: 'drop', to }));
}

/** Asks to be woken when the earliest deadline has moved forward. */
function updateWake({ deadlines, catchUp, vouches, poll }: ProxySpreadState): ProxySpreadOut[] {
  const { settle, advertise, compare, report, refresh, remind } = deadlines;
  const parts = [catchUp.deadline, vouches.deadline, poll.deadline];
  const earliest = Math.min(
    settle,
    advertise,
    compare,
    report,
    refresh,
    remind,
    ...parts,
  ) as Instant;
  if (earliest >= deadlines.wake) return [];
  deadlines.wake = earliest;
  return [{ kind: 'wake', at: earliest }];
}

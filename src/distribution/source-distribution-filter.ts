/** Distribution on the source: a constant number of messages per version for any size of the fleet. */
import { addMs, NEVER } from '../clock.js';
import type { Address, HostId, Instant, RequestId, Version } from '../ids.js';
import type {
  CoverageReport,
  DeltaSpan,
  LogNotice,
  Member,
  MemberEvent,
  SourceDistributionMessage,
  DistributionMessage,
  VersionDelta,
  VersionMark,
  ConfigurationSnapshot,
} from '../messages/index.js';
import type { ConfigurationFault } from '../notes/index.js';
import { Filter } from '../pipe/index.js';
import type { Step, Tick, WakeRequest } from '../pipe/index.js';
import { PullRateLimiter } from './pull-rate-limiter.js';
import { buildMergedSpan, buildSpan } from './delta-span.js';
import { FleetCoverage } from './fleet-coverage.js';
import { isRelay } from './member-order.js';
import type { OverlayMember } from './member-order.js';
import { findEpoch, Overlay } from './overlay.js';
import { REPORT_TIMEOUT_MS, SentVersions } from './sent-versions.js';
import { StandIns } from './stand-ins.js';
import type { DistributionPolicy } from './distribution-policy.js';
import { VersionStore } from './version-store.js';
import { SourceConfirmer } from './source-confirmer.js';

/** Options of distribution on the source. */
export interface SourceDistributionOptions {
  readonly policy: DistributionPolicy;
}

/** The input messages of distribution on the source. */
export type SourceDistributionIn =
  /** A version was committed. */
  | { readonly kind: 'version'; readonly delta: VersionDelta }
  /** The notes were restored from a snapshot, which replaces the held configuration. */
  | { readonly kind: 'restored'; readonly configuration: ConfigurationSnapshot }
  | {
      readonly kind: 'received';
      readonly from: HostId;
      readonly address: Address;
      readonly body: SourceDistributionMessage;
    }
  | { readonly kind: 'malformed'; readonly address: Address }
  | { readonly kind: 'link-down'; readonly address: Address }
  /** A notice of the log about a requested confirmation, or about the leadership of this replica. */
  | { readonly kind: 'log'; readonly notice: DistributionLogNotice }
  | MemberEvent
  | Tick;

/** The notices of the log that distribution handles. */
export type DistributionLogNotice = Exclude<LogNotice<never>, { readonly kind: 'committed' }>;

/** Why a message of a proxy or a committed version was rejected. */
export type SourceDistributionFault =
  | ConfigurationFault
  | { readonly kind: 'malformed' }
  | { readonly kind: 'conflict'; offered: VersionMark };

/** The output messages of distribution on the source. */
export type SourceDistributionOut =
  | { readonly kind: 'send'; readonly to: Address; readonly body: DistributionMessage }
  | { readonly kind: 'coverage'; readonly report: CoverageReport }
  /** Requests a read index from the log: a quorum confirms that this replica still leads. */
  | { readonly kind: 'confirm'; readonly id: RequestId }
  | {
      readonly kind: 'rejected';
      readonly address: Address;
      readonly fault: SourceDistributionFault;
    }
  | WakeRequest;

/** A proxy that has pulled from this source but is not a member yet. */
interface DirectProxy extends OverlayMember {
  readonly lastSeenAt: Instant;
}

/** The state of distribution on the source. Its members are updated in place. */
export interface SourceDistributionState {
  readonly store: VersionStore;
  readonly overlay: Overlay;
  readonly rateLimiter: PullRateLimiter;
  readonly coverage: FleetCoverage;
  readonly confirmer: SourceConfirmer;
  readonly directProxies: Map<HostId, DirectProxy>;
  readonly sentVersions: SentVersions;
  readonly standIns: StandIns;
  /** When the versions whose reports are overdue are advertised past the roots that do not report. */
  bypassAt: Instant;
  /** The versions that have not been pushed yet. */
  waiting: DeltaSpan[];
  pushAt: Instant;
  /** When the roots that have not reported the newest version get another advertisement. */
  remindAt: Instant;
  /** The number of reminders since the last push. */
  reminders: number;
  wakeAt: Instant;
  /** Whether this replica does not lead: it pushes no versions, but reminds roots of them and answers pulls. */
  isFollower: boolean;
}

/** Decides what the source pushes and answers, and counts the proxies that hold each version. */
export class SourceDistributionFilter extends Filter<
  SourceDistributionState,
  SourceDistributionIn,
  SourceDistributionOut
> {
  readonly #options: SourceDistributionOptions;

  constructor(options: SourceDistributionOptions) {
    super();
    this.#options = options;
  }

  override createState(): SourceDistributionState {
    return {
      store: new VersionStore(),
      overlay: new Overlay(this.#options.policy.shape),
      rateLimiter: new PullRateLimiter(SOURCE_RATE),
      coverage: new FleetCoverage(),
      confirmer: new SourceConfirmer(),
      directProxies: new Map(),
      sentVersions: new SentVersions(),
      standIns: new StandIns(),
      bypassAt: NEVER,
      waiting: [],
      pushAt: NEVER,
      remindAt: NEVER,
      reminders: 0,
      wakeAt: NEVER,
      isFollower: true,
    };
  }

  override decide(
    state: SourceDistributionState,
    message: SourceDistributionIn,
    now: Instant,
  ): Step<SourceDistributionState, SourceDistributionOut> {
    const outputs = this.#handle(state, message, now);
    return { state, outputs: [...outputs, ...updateWake(state)] };
  }

  // Internals.

  #handle(
    state: SourceDistributionState,
    message: SourceDistributionIn,
    now: Instant,
  ): SourceDistributionOut[] {
    switch (message.kind) {
      case 'version':
        return this.#applyVersion(state, message.delta, now);
      case 'restored':
        return this.#restoreSnapshot(state, message.configuration, now);
      case 'received':
        return this.#handleBody(state, message, now);
      case 'malformed':
        return [{ kind: 'rejected', address: message.address, fault: { kind: 'malformed' } }];
      case 'link-down':
        return this.#forgetDirectProxies(state, message.address, now);
      case 'log':
        return this.#handleNotice(state, message.notice, now);
      case 'member-up':
        return this.#updateMember(state, message.member, now);
      case 'member-gone':
        return this.#forgetMember(state, message.host, now);
      case 'tick':
        state.wakeAt = NEVER;
        return [
          ...this.#push(state, now),
          ...this.#remind(state, now),
          ...this.#bypassSilent(state, now),
        ];
    }
  }

  #applyVersion(
    state: SourceDistributionState,
    delta: VersionDelta,
    now: Instant,
  ): SourceDistributionOut[] {
    const { applied } = state.store.applySpans([buildSpan(delta)]);
    state.overlay.setEpoch(findEpoch(state.store.mark.version));
    if (state.isFollower) {
      this.#handleSent(state, applied, this.#options.policy.decideAdvertise(now), now);
      return [this.#buildCoverage(state, now)];
    }
    state.waiting.push(...applied);
    state.pushAt = earliestOf(state.pushAt, this.#options.policy.decidePush(now));
    return [...this.#push(state, now), this.#buildCoverage(state, now)];
  }

  /** Handles versions that were sent, by this replica or the leader: the roots must report them in time. */
  #handleSent(
    state: SourceDistributionState,
    spans: readonly DeltaSpan[],
    remindAt: Instant,
    now: Instant,
  ): void {
    state.reminders = 0;
    // A storm of versions must not postpone the reminder.
    state.remindAt = earliestOf(state.remindAt, remindAt);
    state.sentVersions.add(state.store.mark.version, spans, now);
    state.bypassAt = earliestOf(state.bypassAt, state.sentVersions.deadline);
  }

  #restoreSnapshot(
    state: SourceDistributionState,
    snapshot: ConfigurationSnapshot,
    now: Instant,
  ): SourceDistributionOut[] {
    state.store.applySnapshot(snapshot);
    state.overlay.setEpoch(findEpoch(state.store.mark.version));
    return [this.#buildCoverage(state, now)];
  }

  #push(state: SourceDistributionState, now: Instant): SourceDistributionOut[] {
    if (state.pushAt > now) return [];
    state.pushAt = NEVER;
    const waiting = state.waiting;
    state.waiting = [];
    const body = this.#buildUpdate(state, waiting);
    const standIns = this.#listStandIns(state, now);
    this.#handleSent(state, waiting, this.#options.policy.decideRemind(now, 0), now);
    const targets = [...this.#listTargets(state), ...standIns];
    return targets.map(({ control }) => ({ kind: 'send', to: control, body }));
  }

  /** Advertises the newest version past the roots that have not reported a version in time. */
  #bypassSilent(state: SourceDistributionState, now: Instant): SourceDistributionOut[] {
    if (state.bypassAt > now) return [];
    const standIns = this.#listStandIns(state, now);
    const isDue = standIns.length > 0;
    state.bypassAt = isDue ? addMs(now, REPORT_TIMEOUT_MS) : state.sentVersions.deadline;
    const held = state.store.mark;
    return buildAdvertisements(
      state,
      standIns.filter(({ host }) => state.coverage.findOwnVersion(host) < held.version),
    );
  }

  #listStandIns(state: SourceDistributionState, now: Instant): OverlayMember[] {
    const { standIns, overlay, sentVersions, coverage } = state;
    const findOwn = (host: HostId): Version => coverage.findOwnVersion(host);
    return standIns.list(overlay, sentVersions.findOverdue(now), findOwn, now);
  }

  /** Advertises the newest version to the roots that have not reported it. */
  #remind(state: SourceDistributionState, now: Instant): SourceDistributionOut[] {
    if (state.remindAt > now || state.waiting.length > 0) return [];
    this.#expireDirectProxies(state, now);
    state.reminders += 1;
    state.remindAt = this.#options.policy.decideRemind(now, state.reminders);
    const held = state.store.mark;
    const lagging = this.#listTargets(state).filter(
      ({ host }) => state.coverage.findReportedVersion(host) < held.version,
    );
    return buildAdvertisements(state, lagging);
  }

  #buildUpdate(state: SourceDistributionState, waiting: readonly DeltaSpan[]): DistributionMessage {
    const newest = state.store.mark;
    if (waiting.length === 0) return { kind: 'advertise', held: newest };
    const merges = this.#options.policy.mergesVersions;
    return { kind: 'push', spans: merges ? [buildMergedSpan(waiting)] : waiting, newest };
  }

  /** Lists the roots of every data centre and a bounded number of proxies that are not members yet. */
  #listTargets(state: SourceDistributionState): OverlayMember[] {
    const others = [...state.directProxies.values()].slice(0, MAX_DIRECT_TARGETS);
    const targets = [...others, ...state.overlay.listAllRoots()];
    return [...new Map(targets.map((target) => [target.host, target])).values()];
  }

  #expireDirectProxies(state: SourceDistributionState, now: Instant): void {
    for (const { host, lastSeenAt } of state.directProxies.values()) {
      if (now < addMs(lastSeenAt, DIRECT_PROXY_RETENTION_MS)) continue;
      state.directProxies.delete(host);
      state.coverage.forgetDirectProxy(host);
    }
  }

  #handleBody(
    state: SourceDistributionState,
    { from, address, body }: Extract<SourceDistributionIn, { kind: 'received' }>,
    now: Instant,
  ): SourceDistributionOut[] {
    switch (body.kind) {
      case 'pull':
        this.#addDirectProxy(
          state,
          { host: from, dataCentre: body.dataCentre, control: address },
          now,
        );
        return this.#answerPull(state, address, body.held, now);
      case 'ack':
        this.#refreshDirectProxy(state, from, now);
        state.coverage.updateReport(from, body.report);
        return [this.#buildCoverage(state, now)];
      case 'ask-vouch':
        return state.confirmer.addRequest({ address, id: body.id }, now);
    }
  }

  #answerPull(
    state: SourceDistributionState,
    address: Address,
    held: VersionMark,
    now: Instant,
  ): SourceDistributionOut[] {
    if (state.store.hasConflict(held)) {
      return [{ kind: 'rejected', address, fault: { kind: 'conflict', offered: held } }];
    }
    const answers = state.store.buildAnswer(held, state.rateLimiter, now);
    return answers.map((body) => ({ kind: 'send', to: address, body }));
  }

  #handleNotice(
    state: SourceDistributionState,
    notice: DistributionLogNotice,
    now: Instant,
  ): SourceDistributionOut[] {
    switch (notice.kind) {
      case 'leading':
        state.isFollower = !notice.leading;
        return notice.leading ? state.confirmer.handleLeading(now) : [];
      case 'confirmed':
        return state.confirmer.handleConfirmed(notice.id, state.store.mark, now);
      case 'refused':
        return state.confirmer.handleRefused(notice.id, now);
    }
  }

  #updateMember(
    state: SourceDistributionState,
    member: Member,
    now: Instant,
  ): SourceDistributionOut[] {
    if (!isRelay(member)) return this.#forgetMember(state, member.host, now);
    state.coverage.addMember(member.host);
    state.coverage.forgetDirectProxy(member.host);
    state.directProxies.delete(member.host);
    if (!state.overlay.updateMember(member)) return [];
    return this.#handleNewRoots(state, now);
  }

  #forgetMember(
    state: SourceDistributionState,
    host: HostId,
    now: Instant,
  ): SourceDistributionOut[] {
    if (!state.overlay.forgetMember(host)) return [];
    state.directProxies.delete(host);
    state.coverage.forgetMember(host, now);
    return this.#handleNewRoots(state, now);
  }

  /** Handles a change of the membership: roots without a current report get an advertisement after a short delay. */
  #handleNewRoots(state: SourceDistributionState, now: Instant): SourceDistributionOut[] {
    state.reminders = 0;
    state.remindAt = earliestOf(state.remindAt, addMs(now, NEW_ROOTS_DELAY_MS));
    return [this.#buildCoverage(state, now)];
  }

  /** Adds a proxy unless it is a member: members are already part of the forest. */
  #addDirectProxy(
    state: SourceDistributionState,
    member: OverlayMember,
    lastSeenAt: Instant,
  ): void {
    if (state.overlay.findMember(member.host) !== undefined) return;
    state.directProxies.set(member.host, { ...member, lastSeenAt });
    state.coverage.addDirectProxy(member.host);
  }

  #refreshDirectProxy(state: SourceDistributionState, host: HostId, lastSeenAt: Instant): void {
    const known = state.directProxies.get(host);
    if (known !== undefined) state.directProxies.set(host, { ...known, lastSeenAt });
  }

  #forgetDirectProxies(
    state: SourceDistributionState,
    address: Address,
    now: Instant,
  ): SourceDistributionOut[] {
    const departed = [...state.directProxies.values()].filter(({ control }) => control === address);
    for (const { host } of departed) {
      state.directProxies.delete(host);
      state.coverage.forgetDirectProxy(host);
    }
    return departed.length === 0 ? [] : [this.#buildCoverage(state, now)];
  }

  #buildCoverage(state: SourceDistributionState, now: Instant): SourceDistributionOut {
    const roots = state.overlay.listAllRoots().map((member) => member.host);
    const reporting = new Set([...roots, ...state.directProxies.keys()]);
    const report = state.coverage.buildReport(state.store.mark.version, reporting, now);
    return { kind: 'coverage', report };
  }
}

// Internals.

const SOURCE_RATE = { bytesPerSecond: 1024 * 1024, burstBytes: 2 * 1024 * 1024 };
const DIRECT_PROXY_RETENTION_MS = 180_000;
const MAX_DIRECT_TARGETS = 64;
const NEW_ROOTS_DELAY_MS = 100;

function buildAdvertisements(
  { store }: SourceDistributionState,
  targets: readonly OverlayMember[],
): SourceDistributionOut[] {
  const body: DistributionMessage = { kind: 'advertise', held: store.mark };
  return targets.map(({ control }) => ({ kind: 'send', to: control, body }));
}

function earliestOf(left: Instant, right: Instant): Instant {
  return Math.min(left, right) as Instant;
}

function updateWake(state: SourceDistributionState): SourceDistributionOut[] {
  const remindAt = state.waiting.length > 0 ? NEVER : state.remindAt;
  const earliest = earliestOf(state.pushAt, earliestOf(remindAt, state.bypassAt));
  if (earliest >= state.wakeAt) return [];
  state.wakeAt = earliest;
  return [{ kind: 'wake', at: earliest }];
}

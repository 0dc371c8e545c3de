/** The source's side of distribution: a constant number of messages per version, whatever the fleet. */
import { addMs, NEVER } from '../clock.js';
import type { Address, HostId, Instant, RequestId } from '../ids.js';
import type {
  CoverageReport,
  DeltaSpan,
  LogNotice,
  Member,
  MemberEvent,
  SourceSpreadMessage,
  SpreadMessage,
  VersionDelta,
  VersionMark,
  WholeSnapshot,
} from '../messages/index.js';
import type { ApplyFault } from '../notes/index.js';
import { Filter } from '../pipe/index.js';
import type { Step, Tick, Wake } from '../pipe/index.js';
import { Admission } from './pull-rate-limiter.js';
import { formJoinedSpan, formSpan } from './delta-span.js';
import { FleetCoverage } from './fleet-coverage.js';
import { isRelay } from './member-order.js';
import type { OverlayMember } from './member-order.js';
import { findEpoch, Overlay } from './overlay.js';
import type { SpreadPolicy } from './distribution-policy.js';
import { VersionStore } from './version-store.js';
import { VouchDesk } from './source-confirmer.js';

/** What the source's spread pipe needs to know. */
export interface SourceSpreadOptions {
  readonly policy: SpreadPolicy;
}

/** What the source's spread pipe is told. */
export type SourceSpreadIn =
  /** A version was committed. */
  | { readonly kind: 'version'; readonly delta: VersionDelta }
  /** The notes were restored from a snapshot, which replaces what was held. */
  | { readonly kind: 'restored'; readonly whole: WholeSnapshot }
  | {
      readonly kind: 'received';
      readonly from: HostId;
      readonly address: Address;
      readonly body: SourceSpreadMessage;
    }
  | { readonly kind: 'malformed'; readonly address: Address }
  | { readonly kind: 'link-down'; readonly address: Address }
  /** What the log said of a confirmation that this pipe asked for, or of its leadership. */
  | { readonly kind: 'log'; readonly notice: SpreadLogNotice }
  | MemberEvent
  | Tick;

/** The notices of the log that concern distribution. */
export type SpreadLogNotice = Exclude<LogNotice<never>, { readonly kind: 'committed' }>;

/** Why something that a proxy sent, or a committed version, was left out. */
export type SourceSpreadFault =
  ApplyFault | { readonly kind: 'malformed' } | { readonly kind: 'conflict'; offered: VersionMark };

/** What the source's spread pipe sends on. */
export type SourceSpreadOut =
  | { readonly kind: 'send'; readonly to: Address; readonly body: SpreadMessage }
  | { readonly kind: 'coverage'; readonly report: CoverageReport }
  /** Asks the log to confirm with a quorum that this replica still leads. */
  | { readonly kind: 'confirm'; readonly id: RequestId }
  | { readonly kind: 'rejected'; readonly address: Address; readonly fault: SourceSpreadFault }
  | Wake;

/** A proxy that has pulled from this source, but is no member yet. */
interface DirectProxy extends OverlayMember {
  readonly heardAt: Instant;
}

/** The state of the source's spread pipe. Its parts are updated in place. */
export interface SourceSpreadState {
  readonly store: VersionStore;
  readonly overlay: Overlay;
  readonly admission: Admission;
  readonly coverage: FleetCoverage;
  readonly vouches: VouchDesk;
  readonly direct: Map<HostId, DirectProxy>;
  /** Versions that wait to be pushed. */
  waiting: DeltaSpan[];
  pushAt: Instant;
  /** When the roots that have not reported the newest version are told of it again. */
  remindAt: Instant;
  /** Counts the reminders since the last version was pushed. */
  reminders: number;
  wakeAt: Instant;
  /** A replica that follows lets the leader push, and answers pulls. */
  isFollower: boolean;
}

/** Decides what the source pushes and answers, and how far each version has spread. */
export class SourceSpreadFilter extends Filter<SourceSpreadState, SourceSpreadIn, SourceSpreadOut> {
  readonly #options: SourceSpreadOptions;

  constructor(options: SourceSpreadOptions) {
    super();
    this.#options = options;
  }

  override createState(): SourceSpreadState {
    return {
      store: new VersionStore(),
      overlay: new Overlay(this.#options.policy.shape),
      admission: new Admission(SOURCE_RATE),
      coverage: new FleetCoverage(),
      vouches: new VouchDesk(),
      direct: new Map(),
      waiting: [],
      pushAt: NEVER,
      remindAt: NEVER,
      reminders: 0,
      wakeAt: NEVER,
      isFollower: false,
    };
  }

  override decide(
    state: SourceSpreadState,
    message: SourceSpreadIn,
    now: Instant,
  ): Step<SourceSpreadState, SourceSpreadOut> {
    const outputs = this.#handle(state, message, now);
    return { state, outputs: [...outputs, ...updateWake(state)] };
  }

  // Internals.

  #handle(state: SourceSpreadState, message: SourceSpreadIn, now: Instant): SourceSpreadOut[] {
    switch (message.kind) {
      case 'version':
        return this.#takeVersion(state, message.delta, now);
      case 'restored':
        return this.#restoreWhole(state, message.whole, now);
      case 'received':
        return this.#handleBody(state, message, now);
      case 'malformed':
        return [{ kind: 'rejected', address: message.address, fault: { kind: 'malformed' } }];
      case 'link-down':
        return this.#forgetDirect(state, message.address, now);
      case 'log':
        return this.#handleNotice(state, message.notice, now);
      case 'member-up':
        return this.#updateMember(state, message.member, now);
      case 'member-gone':
        return this.#forgetMember(state, message.host, now);
      case 'tick':
        state.wakeAt = NEVER;
        return [...this.#push(state, now), ...this.#remind(state, now)];
    }
  }

  #takeVersion(state: SourceSpreadState, delta: VersionDelta, now: Instant): SourceSpreadOut[] {
    const { applied } = state.store.applySpans([formSpan(delta)]);
    state.waiting.push(...applied);
    state.overlay.setEpoch(findEpoch(state.store.mark.version));
    state.pushAt = Math.min(state.pushAt, this.#options.policy.decidePush(now)) as Instant;
    return [...this.#push(state, now), this.#formCoverage(state, now)];
  }

  #restoreWhole(
    state: SourceSpreadState,
    snapshot: WholeSnapshot,
    now: Instant,
  ): SourceSpreadOut[] {
    state.store.applySnapshot(snapshot);
    state.overlay.setEpoch(findEpoch(state.store.mark.version));
    return [this.#formCoverage(state, now)];
  }

  #push(state: SourceSpreadState, now: Instant): SourceSpreadOut[] {
    if (state.pushAt > now) return [];
    state.pushAt = NEVER;
    const waiting = state.waiting;
    state.waiting = [];
    state.reminders = 0;
    state.remindAt = this.#options.policy.decideRemind(now, 0);
    const body = this.#formNews(state, waiting);
    return this.#listTargets(state).map(({ control }) => ({ kind: 'send', to: control, body }));
  }

  /** Tells the roots that have not reported the newest version of it again. */
  #remind(state: SourceSpreadState, now: Instant): SourceSpreadOut[] {
    if (state.remindAt > now || state.waiting.length > 0) return [];
    this.#expireDirect(state, now);
    state.reminders += 1;
    state.remindAt = this.#options.policy.decideRemind(now, state.reminders);
    const held = state.store.mark;
    const behind = this.#listTargets(state).filter(
      ({ host }) => state.coverage.findReported(host) < held.version,
    );
    return behind.map(({ control }) => ({
      kind: 'send',
      to: control,
      body: { kind: 'advertise', held },
    }));
  }

  #formNews(state: SourceSpreadState, waiting: readonly DeltaSpan[]): SpreadMessage {
    const newest = state.store.mark;
    if (state.isFollower || waiting.length === 0) return { kind: 'advertise', held: newest };
    const joins = this.#options.policy.joinsVersions;
    return { kind: 'push', spans: joins ? [formJoinedSpan(waiting)] : waiting, newest };
  }

  /** The roots of every data centre, and a bounded number of proxies that are no members yet. */
  #listTargets(state: SourceSpreadState): OverlayMember[] {
    const others = [...state.direct.values()].slice(0, MAX_DIRECT);
    const targets = [...others, ...state.overlay.listAllFirst()];
    return [...new Map(targets.map((target) => [target.host, target])).values()];
  }

  #expireDirect(state: SourceSpreadState, now: Instant): void {
    for (const { host, heardAt } of state.direct.values()) {
      if (now < addMs(heardAt, DIRECT_RETENTION_MS)) continue;
      state.direct.delete(host);
      state.coverage.forgetDirect(host);
    }
  }

  #handleBody(
    state: SourceSpreadState,
    { from, address, body }: Extract<SourceSpreadIn, { kind: 'received' }>,
    now: Instant,
  ): SourceSpreadOut[] {
    switch (body.kind) {
      case 'pull':
        this.#addDirect(state, { host: from, dataCentre: body.dataCentre, control: address }, now);
        return this.#answerPull(state, address, body.held, now);
      case 'ack':
        this.#refreshDirect(state, from, now);
        state.coverage.updateReport(from, body.report);
        return [this.#formCoverage(state, now)];
      case 'ask-vouch':
        return state.vouches.addAsk({ address, id: body.id }, now);
    }
  }

  #answerPull(
    state: SourceSpreadState,
    address: Address,
    held: VersionMark,
    now: Instant,
  ): SourceSpreadOut[] {
    if (state.store.hasConflict(held)) {
      return [{ kind: 'rejected', address, fault: { kind: 'conflict', offered: held } }];
    }
    const answers = state.store.formAnswer(held, state.admission, now);
    return answers.map((body) => ({ kind: 'send', to: address, body }));
  }

  #handleNotice(
    state: SourceSpreadState,
    notice: SpreadLogNotice,
    now: Instant,
  ): SourceSpreadOut[] {
    switch (notice.kind) {
      case 'leading':
        state.isFollower = !notice.leading;
        return notice.leading ? state.vouches.handleLeading(now) : [];
      case 'confirmed':
        return state.vouches.handleConfirmed(notice.id, state.store.mark, now);
      case 'refused':
        return state.vouches.handleRefused(notice.id, now);
    }
  }

  #updateMember(state: SourceSpreadState, member: Member, now: Instant): SourceSpreadOut[] {
    if (!isRelay(member)) return this.#forgetMember(state, member.host, now);
    state.coverage.addMember(member.host);
    state.coverage.forgetDirect(member.host);
    state.direct.delete(member.host);
    if (!state.overlay.updateMember(member)) return [];
    return this.#handleNewRoots(state, now);
  }

  #forgetMember(state: SourceSpreadState, host: HostId, now: Instant): SourceSpreadOut[] {
    if (!state.overlay.forgetMember(host)) return [];
    state.direct.delete(host);
    state.coverage.forgetMember(host, now);
    return this.#handleNewRoots(state, now);
  }

  /** The membership has changed: roots that have not reported are told of the newest version soon. */
  #handleNewRoots(state: SourceSpreadState, now: Instant): SourceSpreadOut[] {
    state.reminders = 0;
    state.remindAt = Math.min(state.remindAt, addMs(now, NEW_ROOTS_DELAY_MS)) as Instant;
    return [this.#formCoverage(state, now)];
  }

  /** A member has its place in the forest; only proxies that are not members yet are kept apart. */
  #addDirect(state: SourceSpreadState, member: OverlayMember, heardAt: Instant): void {
    if (state.overlay.findMember(member.host) !== undefined) return;
    state.direct.set(member.host, { ...member, heardAt });
    state.coverage.addDirect(member.host);
  }

  #refreshDirect(state: SourceSpreadState, host: HostId, heardAt: Instant): void {
    const known = state.direct.get(host);
    if (known !== undefined) state.direct.set(host, { ...known, heardAt });
  }

  #forgetDirect(state: SourceSpreadState, address: Address, now: Instant): SourceSpreadOut[] {
    const gone = [...state.direct.values()].filter(({ control }) => control === address);
    for (const { host } of gone) {
      state.direct.delete(host);
      state.coverage.forgetDirect(host);
    }
    return gone.length === 0 ? [] : [this.#formCoverage(state, now)];
  }

  #formCoverage(state: SourceSpreadState, now: Instant): SourceSpreadOut {
    const roots = state.overlay.listAllFirst().map((member) => member.host);
    const reporting = new Set([...roots, ...state.direct.keys()]);
    const report = state.coverage.formReport(state.store.mark.version, reporting, now);
    return { kind: 'coverage', report };
  }
}

// Internals.

const SOURCE_RATE = { bytesPerSecond: 1024 * 1024, burstBytes: 2 * 1024 * 1024 };
const DIRECT_RETENTION_MS = 180_000;
const MAX_DIRECT = 64;
const NEW_ROOTS_DELAY_MS = 100;

function updateWake(state: SourceSpreadState): SourceSpreadOut[] {
  const remindAt = state.waiting.length > 0 ? NEVER : state.remindAt;
  const earliest = Math.min(state.pushAt, remindAt) as Instant;
  if (earliest >= state.wakeAt) return [];
  state.wakeAt = earliest;
  return [{ kind: 'wake', at: earliest }];
}

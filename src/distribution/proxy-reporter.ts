/** Reports to the parent which versions a proxy and its subtree hold. */
import { addMs, NEVER } from '../clock.js';
import type { Address, HostId, Instant } from '../ids.js';
import type { VersionReport, VersionMark } from '../messages/index.js';
import type { OverlayMember } from './member-order.js';
import { findNeighbours } from './proxy-neighbours.js';
import type {
  ProxyDistributionOptions,
  ProxyDistributionOut,
  ProxyDistributionState,
} from './proxy-distribution-state.js';

/** Sends a report once the whole subtree holds a version, or at a deadline. */
export class ProxyReporter {
  readonly #options: ProxyDistributionOptions;

  constructor(options: ProxyDistributionOptions) {
    this.#options = options;
  }

  /** Updates the report of a child; ignores reports of other proxies. */
  updateReport(
    state: ProxyDistributionState,
    host: HostId,
    report: VersionReport,
    now: Instant,
  ): void {
    const { children } = findNeighbours(state, this.#options);
    if (!children.some((child) => child.host === host)) return;
    state.reports.updateReport(host, report, now);
    this.#schedule(state, now);
  }

  /** Handles a version that was applied. */
  handleApplied(state: ProxyDistributionState, now: Instant): void {
    state.reminders = 0;
    // A storm of versions must not postpone the reminder.
    const at = this.#options.policy.decideRemind(now, 0);
    state.deadlines.remind = Math.min(state.deadlines.remind, at) as Instant;
    this.#schedule(state, now);
  }

  /** Lists the children of the children that have not reported a version in time. */
  listStandIns(state: ProxyDistributionState, now: Instant): OverlayMember[] {
    const { children } = findNeighbours(state, this.#options);
    const overdue = state.sentVersions.findOverdue(now);
    return state.overlay.listChildren(state.reports.listSilent(children, overdue));
  }

  /** Handles a change of the overlay: a new parent needs a report, and new children need a reminder. */
  handleNeighbours(state: ProxyDistributionState, now: Instant): void {
    const { deadlines } = state;
    const { policy } = this.#options;
    state.neighbours = undefined;
    state.reminders = 0;
    deadlines.report = Math.min(deadlines.report, policy.decideReport(now)) as Instant;
    deadlines.remind = Math.min(deadlines.remind, policy.decideRemind(now, 0)) as Instant;
  }

  /** Handles a parent or source that lacks the report of this proxy: sends it even if it is unchanged. */
  handleReminder(state: ProxyDistributionState, now: Instant): void {
    state.reported = '';
    state.deadlines.report = now;
  }

  /** Handles a version from a source that may stand in for the parent: it gets reports for a limited time. */
  handleSource(state: ProxyDistributionState, source: Address, now: Instant): void {
    if (findNeighbours(state, this.#options).isRoot) return;
    state.standInSources.set(source, addMs(now, STAND_IN_MS));
    const at = this.#options.policy.decideReport(now);
    state.deadlines.report = Math.min(state.deadlines.report, at) as Instant;
  }

  /** Returns the messages that are due: the report, and reminders to children. */
  decide(state: ProxyDistributionState, now: Instant): ProxyDistributionOut[] {
    return [
      ...this.#report(state, now),
      ...this.#remind(state, now),
      ...this.#advertiseOverdue(state, now),
    ];
  }

  // Internals.

  /** Advertises the held version to the children of silent children once a version is overdue. */
  #advertiseOverdue(state: ProxyDistributionState, now: Instant): ProxyDistributionOut[] {
    if (state.sentVersions.deadline > now) return [];
    const standIns = this.listStandIns(state, now);
    return standIns.map(({ control }) => buildAdvertisement(control, state.store.mark));
  }

  #remind(state: ProxyDistributionState, now: Instant): ProxyDistributionOut[] {
    if (state.deadlines.remind > now) return [];
    const { children } = findNeighbours(state, this.#options);
    const held = state.store.mark;
    const lagging = state.reports.listLagging(children, held.version);
    state.reminders += 1;
    state.deadlines.remind =
      lagging.length === 0 ? NEVER : this.#options.policy.decideRemind(now, state.reminders);
    const targets = [...lagging, ...this.listStandIns(state, now)];
    return targets.map(({ control }) => buildAdvertisement(control, held));
  }

  #report(state: ProxyDistributionState, now: Instant): ProxyDistributionOut[] {
    const { deadlines } = state;
    const needsRefresh = deadlines.refresh <= now;
    if (!needsRefresh && deadlines.report > now) return [];
    deadlines.report = NEVER;
    if (needsRefresh) deadlines.refresh = this.#options.policy.decideRefresh(now);
    const report = this.#buildReport(state, now);
    const outputs = this.#buildAcks(state, report, now);
    const text = JSON.stringify(outputs);
    if (!needsRefresh && text === state.reported) return [];
    state.reported = text;
    return outputs;
  }

  #schedule(state: ProxyDistributionState, now: Instant): void {
    const { children } = findNeighbours(state, this.#options);
    const isComplete = state.reports.listLagging(children, state.store.mark.version).length === 0;
    const at = isComplete ? now : this.#options.policy.decideReport(now);
    state.deadlines.report = Math.min(state.deadlines.report, at) as Instant;
  }

  #buildReport(state: ProxyDistributionState, now: Instant): VersionReport {
    const { children } = findNeighbours(state, this.#options);
    const { linked, appliedAt, store } = state;
    const { host } = this.#options;
    const held = store.mark.version;
    return state.reports.buildReport({ host, held, appliedAt, children, linked }, now);
  }

  #buildAcks(
    state: ProxyDistributionState,
    report: VersionReport,
    now: Instant,
  ): ProxyDistributionOut[] {
    const { isRoot, parent } = findNeighbours(state, this.#options);
    if (isRoot) return [...state.sources].map((to) => buildSourceAck(to, report));
    for (const [source, until] of state.standInSources) {
      if (until <= now) state.standInSources.delete(source);
    }
    const acks = [...state.standInSources.keys()].map((to) => buildSourceAck(to, report));
    if (parent === undefined) return acks;
    return [{ kind: 'send', to: parent.control, body: { kind: 'ack', report } }, ...acks];
  }
}

// Internals.

/** How long a source that stood in for the parent gets reports after its last message. */
const STAND_IN_MS = 5_000;

function buildAdvertisement(to: Address, held: VersionMark): ProxyDistributionOut {
  return { kind: 'send', to, body: { kind: 'advertise', held } };
}

function buildSourceAck(to: Address, report: VersionReport): ProxyDistributionOut {
  return { kind: 'send-source', to, body: { kind: 'ack', report } };
}

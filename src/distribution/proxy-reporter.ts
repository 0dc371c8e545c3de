/** Reports up the tree which versions a proxy and the proxies below it hold. */
import { NEVER } from '../clock.js';
import type { Address, HostId, Instant } from '../ids.js';
import type { HeldReport, VersionMark } from '../messages/index.js';
import { findNeighbours } from './proxy-neighbours.js';
import type {
  ProxySpreadOptions,
  ProxySpreadOut,
  ProxySpreadState,
} from './proxy-distribution-state.js';

/** Decides when a report goes up: once the whole subtree has a version, or at a deadline. */
export class ProxyReporter {
  readonly #options: ProxySpreadOptions;

  constructor(options: ProxySpreadOptions) {
    this.#options = options;
  }

  /** Takes in the report of a child; reports of others are ignored. */
  updateReport(state: ProxySpreadState, host: HostId, report: HeldReport, now: Instant): void {
    const { children } = findNeighbours(state, this.#options);
    if (!children.some((child) => child.host === host)) return;
    state.reports.updateReport(host, report, now);
    this.#schedule(state, now);
  }

  /** A version was applied. */
  handleApplied(state: ProxySpreadState, now: Instant): void {
    state.reminders = 0;
    state.deadlines.remind = this.#options.policy.decideRemind(now, 0);
    this.#schedule(state, now);
  }

  /** The neighbours may have changed: a new parent needs a report, and new children a reminder. */
  handleNeighbours(state: ProxySpreadState, now: Instant): void {
    const { deadlines } = state;
    const { policy } = this.#options;
    state.neighbours = undefined;
    state.reminders = 0;
    deadlines.report = Math.min(deadlines.report, policy.decideReport(now)) as Instant;
    deadlines.remind = Math.min(deadlines.remind, policy.decideRemind(now, 0)) as Instant;
  }

  /** The parent or a source does not know what this proxy holds: reports even if nothing changed. */
  handleReminder(state: ProxySpreadState, now: Instant): void {
    state.reported = '';
    state.deadlines.report = now;
  }

  /** Sends what is due: the report, and reminders to children. */
  decide(state: ProxySpreadState, now: Instant): ProxySpreadOut[] {
    return [...this.#report(state, now), ...this.#remind(state, now)];
  }

  // Internals.

  #remind(state: ProxySpreadState, now: Instant): ProxySpreadOut[] {
    if (state.deadlines.remind > now) return [];
    const { children } = findNeighbours(state, this.#options);
    const held = state.store.mark;
    const behind = state.reports.listBehind(children, held.version);
    state.reminders += 1;
    state.deadlines.remind =
      behind.length === 0 ? NEVER : this.#options.policy.decideRemind(now, state.reminders);
    return behind.map(({ control }) => formAdvertisement(control, held));
  }

  #report(state: ProxySpreadState, now: Instant): ProxySpreadOut[] {
    const { deadlines } = state;
    const needsRefresh = deadlines.refresh <= now;
    if (!needsRefresh && deadlines.report > now) return [];
    deadlines.report = NEVER;
    if (needsRefresh) deadlines.refresh = this.#options.policy.decideRefresh(now);
    const report = this.#formReport(state, now);
    const outputs = this.#formAcks(state, report);
    const text = JSON.stringify(outputs);
    if (!needsRefresh && text === state.reported) return [];
    state.reported = text;
    return outputs;
  }

  #schedule(state: ProxySpreadState, now: Instant): void {
    const { children } = findNeighbours(state, this.#options);
    const isComplete = state.reports.listBehind(children, state.store.mark.version).length === 0;
    const at = isComplete ? now : this.#options.policy.decideReport(now);
    state.deadlines.report = Math.min(state.deadlines.report, at) as Instant;
  }

  #formReport(state: ProxySpreadState, now: Instant): HeldReport {
    const { children } = findNeighbours(state, this.#options);
    const { linked, appliedAt, store } = state;
    const { host } = this.#options;
    const held = store.mark.version;
    return state.reports.formReport({ host, held, appliedAt, children, linked }, now);
  }

  #formAcks(state: ProxySpreadState, report: HeldReport): ProxySpreadOut[] {
    const { isFirst, parent } = findNeighbours(state, this.#options);
    if (isFirst) return [...state.sources].map((to) => formSourceAck(to, report));
    if (parent === undefined) return [];
    return [{ kind: 'send', to: parent.control, body: { kind: 'ack', report } }];
  }
}

// Internals.

function formAdvertisement(to: Address, held: VersionMark): ProxySpreadOut {
  return { kind: 'send', to, body: { kind: 'advertise', held } };
}

function formSourceAck(to: Address, report: HeldReport): ProxySpreadOut {
  return { kind: 'send-source', to, body: { kind: 'ack', report } };
}

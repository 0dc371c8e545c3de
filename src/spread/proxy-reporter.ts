/** Reports up the tree which versions a proxy and the proxies below it hold. */
import { NEVER } from '../clock.js';
import type { Address, HostId, Instant } from '../ids.js';
import type { HeldReport } from '../messages/index.js';
import { findNeighbours } from './proxy-neighbours.js';
import type { ProxySpreadOptions, ProxySpreadOut, ProxySpreadState } from './proxy-spread-state.js';

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
    this.#schedule(state, now);
  }

  /** Sends the report that is due, if any. */
  decide(state: ProxySpreadState, now: Instant): ProxySpreadOut[] {
    const { deadlines } = state;
    const needsRefresh = deadlines.refresh <= now;
    if (!needsRefresh && deadlines.report > now) return [];
    deadlines.report = NEVER;
    if (needsRefresh) deadlines.refresh = this.#options.policy.decideRefresh(now);
    const report = this.#formReport(state, now);
    const text = JSON.stringify(report);
    if (!needsRefresh && text === state.reported) return [];
    state.reported = text;
    return this.#send(state, report);
  }

  // Internals.

  #schedule(state: ProxySpreadState, now: Instant): void {
    const { children } = findNeighbours(state, this.#options);
    const isComplete = state.reports.hasReached(children, state.store.mark.version);
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

  #send(state: ProxySpreadState, report: HeldReport): ProxySpreadOut[] {
    const { isFirst, parent } = findNeighbours(state, this.#options);
    if (isFirst) return this.#options.sources.map((to) => formSourceAck(to, report));
    if (parent === undefined) return [];
    return [{ kind: 'send', to: parent.control, body: { kind: 'ack', report } }];
  }
}

// Internals.

function formSourceAck(to: Address, report: HeldReport): ProxySpreadOut {
  return { kind: 'send-source', to, body: { kind: 'ack', report } };
}

/** The version reports of the children of a proxy, and the children that lag. */
import { addMs } from '../clock.js';
import type { Address, HostId, Instant, Version } from '../ids.js';
import { NO_VERSION } from '../ids.js';
import type { VersionReport, Straggler } from '../messages/index.js';
import {
  findLowestVersion,
  buildMergedReport,
  buildOwnReport,
  REPORT_BOUNDS,
} from './version-report.js';
import type { OverlayMember } from './member-order.js';

/** The reporting proxy and its view of its children. */
export interface ReportingProxy {
  readonly host: HostId;
  readonly held: Version;
  /** When the proxy applied the version that it holds. */
  readonly appliedAt: Instant;
  readonly children: readonly OverlayMember[];
  /** The addresses of the open links. */
  readonly linked: ReadonlySet<Address>;
}

/** Keeps the last report of each child and aggregates them for the whole subtree. */
export class ChildReports {
  readonly #reports = new Map<HostId, { report: VersionReport; receivedAt: Instant }>();

  /** Replaces the report of one child. */
  updateReport(host: HostId, report: VersionReport, now: Instant): void {
    this.#reports.set(host, { report, receivedAt: now });
  }

  /** Forgets the reports of hosts that are no longer children. */
  forgetOthers(children: readonly OverlayMember[]): void {
    const childHosts = new Set(children.map((child) => child.host));
    for (const host of this.#reports.keys()) {
      if (!childHosts.has(host)) this.#reports.delete(host);
    }
  }

  /** Lists the children whose subtree has not completely reported `version`. */
  listLagging(children: readonly OverlayMember[], version: Version): OverlayMember[] {
    return children.filter((child) => {
      const report = this.#reports.get(child.host)?.report;
      return report === undefined || (findLowestVersion(report) ?? NO_VERSION) < version;
    });
  }

  /** Lists the children that have not reported `version` for themselves. */
  listSilent(children: readonly OverlayMember[], version: Version): OverlayMember[] {
    return children.filter(
      ({ host }) => (this.#reports.get(host)?.report.own ?? NO_VERSION) < version,
    );
  }

  /** Builds the report of a proxy and its subtree. */
  buildReport(proxy: ReportingProxy, now: Instant): VersionReport {
    const { host, held, children } = proxy;
    const laggingHosts = children.flatMap((child) => this.#findLagging(child, proxy, now) ?? []);
    const reports = children.flatMap((child) => this.#reports.get(child.host)?.report ?? []);
    const own = { ...buildOwnReport(host, held), stragglers: laggingHosts };
    return buildMergedReport(held, [own, ...reports], REPORT_BOUNDS);
  }

  // Internals.

  #findLagging(
    { host, control }: OverlayMember,
    { held, appliedAt, linked }: ReportingProxy,
    now: Instant,
  ): Straggler | undefined {
    const child = this.#reports.get(host);
    const version = child?.report.own ?? NO_VERSION;
    if (child !== undefined && version >= held) return undefined;
    const since = child?.receivedAt ?? appliedAt;
    if (!linked.has(control)) return { host, version, reason: 'unreachable', since };
    const isStale = now > addMs(appliedAt, STALE_AFTER_MS);
    return { host, version, reason: isStale ? 'stale' : 'catching-up', since };
  }
}

// Internals.

const STALE_AFTER_MS = 10_000;

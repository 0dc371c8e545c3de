/** What the children of a proxy have reported, and who among them is behind. */
import { addMs } from '../clock.js';
import type { Address, HostId, Instant, Version } from '../ids.js';
import { NO_VERSION } from '../ids.js';
import type { HeldReport, Straggler } from '../messages/index.js';
import { findLowest, formMergedReport, formOwnReport, REPORT_BOUNDS } from './version-report.js';
import type { OverlayMember } from './member-order.js';

/** The reporting proxy and what it sees of its children. */
export interface ReportingProxy {
  readonly host: HostId;
  readonly held: Version;
  /** When it applied the version that it holds. */
  readonly appliedAt: Instant;
  readonly children: readonly OverlayMember[];
  /** The addresses to which links are up. */
  readonly linked: ReadonlySet<Address>;
}

/** Keeps the last report of each child and forms the report of the whole subtree. */
export class ChildReports {
  readonly #reports = new Map<HostId, { report: HeldReport; heardAt: Instant }>();

  /** Takes in the report of one child. */
  updateReport(host: HostId, report: HeldReport, now: Instant): void {
    this.#reports.set(host, { report, heardAt: now });
  }

  /** Forgets the reports of hosts that are no longer children. */
  forgetOthers(children: readonly OverlayMember[]): void {
    const kept = new Set(children.map((child) => child.host));
    for (const host of this.#reports.keys()) {
      if (!kept.has(host)) this.#reports.delete(host);
    }
  }

  /** Lists the children that have not reported a version for themselves and everybody below. */
  listBehind(children: readonly OverlayMember[], version: Version): OverlayMember[] {
    return children.filter((child) => {
      const report = this.#reports.get(child.host)?.report;
      return report === undefined || (findLowest(report) ?? NO_VERSION) < version;
    });
  }

  /** Forms the report of a proxy and everything below it. */
  formReport(proxy: ReportingProxy, now: Instant): HeldReport {
    const { host, held, children } = proxy;
    const stragglers = children.flatMap((child) => this.#findStraggler(child, proxy, now) ?? []);
    const reports = children.flatMap((child) => this.#reports.get(child.host)?.report ?? []);
    const own = { ...formOwnReport(host, held), stragglers };
    return formMergedReport(held, [own, ...reports], REPORT_BOUNDS);
  }

  // Internals.

  #findStraggler(
    { host, control }: OverlayMember,
    { held, appliedAt, linked }: ReportingProxy,
    now: Instant,
  ): Straggler | undefined {
    const child = this.#reports.get(host);
    const version = child?.report.own ?? NO_VERSION;
    if (child !== undefined && version >= held) return undefined;
    const since = child?.heardAt ?? appliedAt;
    if (!linked.has(control)) return { host, version, reason: 'unreachable', since };
    const isStale = now > addMs(appliedAt, STALE_AFTER_MS);
    return { host, version, reason: isStale ? 'stale' : 'catching-up', since };
  }
}

// Internals.

const STALE_AFTER_MS = 10_000;

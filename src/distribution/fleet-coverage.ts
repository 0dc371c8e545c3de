/** How many proxies of the fleet hold each version, aggregated from the reports of the roots. */
import { addMs } from '../clock.js';
import type { HostId, Instant, Version } from '../ids.js';
import { NO_VERSION } from '../ids.js';
import type {
  CoverageReport,
  VersionGroup,
  VersionReport,
  HostSum,
  Straggler,
} from '../messages/index.js';
import {
  addHost,
  addSums,
  countHosts,
  findLowestVersion,
  buildMergedReport,
  NO_HOSTS,
  removeHost,
} from './version-report.js';

/**
 * Counts the known proxies that hold each version.
 *
 * Known proxies are the members and the proxies that pulled from this source directly. Each group of a
 * report carries a checksum of its hosts. A version counts as held by the whole fleet only if the
 * checksum of its holders equals that of all known proxies, so that a proxy that two relays report
 * cannot hide one that no relay reports. Departed members are not known proxies; they are listed as
 * unreachable for a limited time.
 */
export class FleetCoverage {
  readonly #reports = new Map<HostId, VersionReport>();
  readonly #members = new Set<HostId>();
  readonly #directProxies = new Set<HostId>();
  readonly #departed = new Map<HostId, Instant>();
  #knownSum: HostSum = NO_HOSTS;

  /** Adds a member of the fleet. */
  addMember(host: HostId): void {
    this.#departed.delete(host);
    if (!this.#isKnown(host)) this.#knownSum = addHost(this.#knownSum, host);
    this.#members.add(host);
  }

  /** Removes a member; reports list it as unreachable for a limited time. */
  forgetMember(host: HostId, now: Instant): void {
    const wasKnown = this.#isKnown(host);
    this.#members.delete(host);
    this.#directProxies.delete(host);
    this.#reports.delete(host);
    if (wasKnown) this.#knownSum = removeHost(this.#knownSum, host);
    this.#departed.set(host, now);
    if (this.#departed.size > MAX_DEPARTED) this.#forgetOldestDeparted();
  }

  /** Adds a proxy that pulled from this source directly. */
  addDirectProxy(host: HostId): void {
    if (!this.#isKnown(host)) this.#knownSum = addHost(this.#knownSum, host);
    this.#directProxies.add(host);
  }

  /** Removes a proxy that pulled from this source directly; a member stays known. */
  forgetDirectProxy(host: HostId): void {
    this.#directProxies.delete(host);
    if (!this.#isKnown(host)) this.#knownSum = removeHost(this.#knownSum, host);
  }

  /** Replaces the report of a root. */
  updateReport(host: HostId, report: VersionReport): void {
    this.#reports.set(host, report);
  }

  /** Returns the lowest version that a root reported for itself and its subtree. */
  findReportedVersion(host: HostId): Version {
    const report = this.#reports.get(host);
    return (report && findLowestVersion(report)) ?? NO_VERSION;
  }

  /** Finds the version that a root has reported for itself. */
  findOwnVersion(host: HostId): Version {
    return this.#reports.get(host)?.own ?? NO_VERSION;
  }

  /**
   * Builds the report for operators.
   *
   * @param roots the proxies that currently report to this source; other reports are removed.
   */
  buildReport(newest: Version, roots: ReadonlySet<HostId>, now: Instant): CoverageReport {
    for (const host of this.#reports.keys()) if (!roots.has(host)) this.#reports.delete(host);
    const reports = [...this.#reports.values()];
    const merged = buildMergedReport(newest, reports, BOUNDS);
    const known = this.#countKnown();
    const held = this.#countHeld(merged.groups, known);
    const laggingHosts = merged.stragglers.filter((host) => host.version < newest);
    return { known, held, stragglers: this.#addDeparted(laggingHosts, now) };
  }

  // Internals.

  #isKnown(host: HostId): boolean {
    return this.#members.has(host) || this.#directProxies.has(host);
  }

  #countKnown(): number {
    let count = this.#members.size;
    for (const host of this.#directProxies) if (!this.#members.has(host)) count += 1;
    return count;
  }

  /** Counts proxies by version; proxies missing from the reports count at version 0. */
  #countHeld(groups: readonly VersionGroup[], known: number): CoverageReport['held'] {
    const total = groups.reduce((sum, group) => addSums(sum, group.hosts), NO_HOSTS);
    const counted = countHosts(groups);
    if (counted === known && total === this.#knownSum) return groups.map(buildCount);
    return buildConservativeCounts(groups, known);
  }

  #addDeparted(laggingHosts: readonly Straggler[], now: Instant): Straggler[] {
    const recent = [...this.#departed].filter(
      ([, since]) => addMs(since, DEPARTED_RETENTION_MS) > now,
    );
    const departed = recent.map(([host, since]): Straggler => ({
      host,
      version: NO_VERSION,
      reason: 'unreachable',
      since,
    }));
    return [...laggingHosts, ...departed].slice(0, MAX_LAGGING_HOSTS);
  }

  #forgetOldestDeparted(): void {
    const [oldest] = this.#departed.keys();
    if (oldest !== undefined) this.#departed.delete(oldest);
  }
}

// Internals.

const MAX_LAGGING_HOSTS = 64;
const MAX_DEPARTED = 16;
const DEPARTED_RETENTION_MS = 600_000;
const BOUNDS = { maxGroups: 16, maxLaggingHosts: MAX_LAGGING_HOSTS };

function buildCount({ version, count }: VersionGroup): { version: Version; count: number } {
  return { version, count };
}

/** Counts when the reports do not match the membership: at least one known proxy is missing. */
function buildConservativeCounts(
  groups: readonly VersionGroup[],
  known: number,
): CoverageReport['held'] {
  let remaining = Math.max(0, known - 1);
  const counts: { version: Version; count: number }[] = [];
  for (const { version, count } of groups.toReversed()) {
    const counted = Math.min(count, remaining);
    remaining -= counted;
    if (counted > 0) counts.push({ version, count: counted });
  }
  const held = counts.reduce((sum, group) => sum + group.count, 0);
  counts.push({ version: NO_VERSION, count: known - held });
  return counts.toReversed();
}

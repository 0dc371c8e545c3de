/** How far versions have spread over the whole fleet, from the reports of the roots. */
import { addMs } from '../clock.js';
import type { HostId, Instant, Version } from '../ids.js';
import { NO_VERSION } from '../ids.js';
import type {
  CoverageReport,
  HeldGroup,
  HeldReport,
  HostSum,
  Straggler,
} from '../messages/index.js';
import {
  addHost,
  addSums,
  countHosts,
  findLowest,
  formMergedReport,
  NO_HOSTS,
  removeHost,
} from './version-report.js';

/**
 * Counts which versions the known proxies hold.
 *
 * Known are the members, and the proxies that have pulled from this source directly. Each group of a
 * report carries the sum of its hosts. A version counts as held everywhere only if the sum of those who
 * hold it equals the sum of all known hosts, so that a proxy that two relays report at once cannot stand
 * in for one that nobody reports. Members that have gone are named for a while, but no longer known.
 */
export class FleetCoverage {
  readonly #reports = new Map<HostId, HeldReport>();
  readonly #members = new Set<HostId>();
  readonly #direct = new Set<HostId>();
  readonly #gone = new Map<HostId, Instant>();
  #known: HostSum = NO_HOSTS;

  /** Adds a member of the fleet. */
  addMember(host: HostId): void {
    this.#gone.delete(host);
    if (!this.#isKnown(host)) this.#known = addHost(this.#known, host);
    this.#members.add(host);
  }

  /** Removes a member; it is still named as unreachable for a while. */
  forgetMember(host: HostId, now: Instant): void {
    const wasKnown = this.#isKnown(host);
    this.#members.delete(host);
    this.#direct.delete(host);
    this.#reports.delete(host);
    if (wasKnown) this.#known = removeHost(this.#known, host);
    this.#gone.set(host, now);
    if (this.#gone.size > MAX_GONE) this.#forgetOldestGone();
  }

  /** Adds a proxy that has pulled from this source. */
  addDirect(host: HostId): void {
    if (!this.#isKnown(host)) this.#known = addHost(this.#known, host);
    this.#direct.add(host);
  }

  /** A proxy that pulled from this source is no longer linked; a member stays known. */
  forgetDirect(host: HostId): void {
    this.#direct.delete(host);
    if (!this.#isKnown(host)) this.#known = removeHost(this.#known, host);
  }

  /** Takes in the report of a root. */
  updateReport(host: HostId, report: HeldReport): void {
    this.#reports.set(host, report);
  }

  /** Finds the lowest version that a root has reported for itself and everybody below. */
  findReported(host: HostId): Version {
    const report = this.#reports.get(host);
    return (report && findLowest(report)) ?? NO_VERSION;
  }

  /**
   * Forms the report for the operators.
   *
   * @param roots the proxies that report to this source at present; other reports are forgotten.
   */
  formReport(newest: Version, roots: ReadonlySet<HostId>, now: Instant): CoverageReport {
    for (const host of this.#reports.keys()) if (!roots.has(host)) this.#reports.delete(host);
    const reports = [...this.#reports.values()];
    const merged = formMergedReport(newest, reports, BOUNDS);
    const known = this.#countKnown();
    const held = this.#countHeld(merged.groups, known);
    const stragglers = merged.stragglers.filter((straggler) => straggler.version < newest);
    return { known, held, stragglers: this.#addGone(stragglers, now) };
  }

  // Internals.

  #isKnown(host: HostId): boolean {
    return this.#members.has(host) || this.#direct.has(host);
  }

  #countKnown(): number {
    let count = this.#members.size;
    for (const host of this.#direct) if (!this.#members.has(host)) count += 1;
    return count;
  }

  /** Counts per version; what the reports do not account for counts as holding nothing. */
  #countHeld(groups: readonly HeldGroup[], known: number): CoverageReport['held'] {
    const total = groups.reduce((sum, group) => addSums(sum, group.hosts), NO_HOSTS);
    const counted = countHosts(groups);
    if (counted === known && total === this.#known) return groups.map(formCount);
    return formDoubtfulCounts(groups, known);
  }

  #addGone(stragglers: readonly Straggler[], now: Instant): Straggler[] {
    const recent = [...this.#gone].filter(([, since]) => addMs(since, GONE_RETENTION_MS) > now);
    const gone = recent.map(([host, since]): Straggler => ({
      host,
      version: NO_VERSION,
      reason: 'unreachable',
      since,
    }));
    return [...stragglers, ...gone].slice(0, MAX_STRAGGLERS);
  }

  #forgetOldestGone(): void {
    const [oldest] = this.#gone.keys();
    if (oldest !== undefined) this.#gone.delete(oldest);
  }
}

// Internals.

const MAX_STRAGGLERS = 64;
const MAX_GONE = 16;
const GONE_RETENTION_MS = 600_000;
const BOUNDS = { maxGroups: 16, maxStragglers: MAX_STRAGGLERS };

function formCount({ version, count }: HeldGroup): { version: Version; count: number } {
  return { version, count };
}

/** The reports do not match the membership: at least one known host is not accounted for. */
function formDoubtfulCounts(groups: readonly HeldGroup[], known: number): CoverageReport['held'] {
  let left = Math.max(0, known - 1);
  const counts: { version: Version; count: number }[] = [];
  for (const { version, count } of groups.toReversed()) {
    const taken = Math.min(count, left);
    left -= taken;
    if (taken > 0) counts.push({ version, count: taken });
  }
  const held = counts.reduce((sum, group) => sum + group.count, 0);
  counts.push({ version: NO_VERSION, count: known - held });
  return counts.toReversed();
}

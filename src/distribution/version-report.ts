/** Reports of held versions: forming and merging them, with bounded size. */
import type { HostId, Version } from '../ids.js';
import type { HeldGroup, HeldReport, HostSum, Straggler } from '../messages/index.js';
import { formRank } from './member-order.js';

/** The sum of no hosts. */
export const NO_HOSTS = 0 as HostSum;

/** Adds one host to a sum. */
export function addHost(sum: HostSum, host: HostId): HostSum {
  return addSums(sum, hashHost(host));
}

/** Takes one host out of a sum. */
export function removeHost(sum: HostSum, host: HostId): HostSum {
  return ((sum + SUM_MODULUS - hashHost(host)) % SUM_MODULUS) as HostSum;
}

/** Adds two sums. */
export function addSums(left: HostSum, right: HostSum): HostSum {
  return ((left + right) % SUM_MODULUS) as HostSum;
}

/** Forms the report of a single host. */
export function formOwnReport(host: HostId, version: Version): HeldReport {
  return { own: version, groups: [{ version, count: 1, hosts: hashHost(host) }], stragglers: [] };
}

/**
 * Merges reports of disjoint sets of hosts.
 *
 * Beyond the bounds, the highest groups are kept apart and the others counted at the lower version, so
 * that a merged report never claims more than its parts; of the stragglers, the lowest are kept.
 */
export function formMergedReport(
  own: Version,
  reports: readonly HeldReport[],
  bounds: ReportBounds,
): HeldReport {
  const groups = mergeGroups(reports.flatMap((report) => report.groups));
  const stragglers = reports.flatMap((report) => report.stragglers);
  return {
    own,
    groups: limitGroups(groups, bounds.maxGroups),
    stragglers: limitStragglers(stragglers, bounds.maxStragglers),
  };
}

/** The most that a report may hold. */
export interface ReportBounds {
  readonly maxGroups: number;
  readonly maxStragglers: number;
}

/** Bounds of the reports that travel up the tree. */
export const REPORT_BOUNDS: ReportBounds = { maxGroups: 8, maxStragglers: 16 };

/** Finds the lowest version in a report. */
export function findLowest(report: HeldReport): Version | undefined {
  return report.groups[0]?.version;
}

/** Counts the hosts of a report. */
export function countHosts(groups: readonly HeldGroup[]): number {
  return groups.reduce((count, group) => count + group.count, 0);
}

// Internals.

const SUM_MODULUS = 2 ** 48;
const LOW_MODULUS = 2 ** 16;
const HIGH_HASH_EPOCH = 0x5eed;

function hashHost(host: HostId): HostSum {
  const high = formRank(host, HIGH_HASH_EPOCH);
  const low = formRank(host, HIGH_HASH_EPOCH + 1) % LOW_MODULUS;
  return (high * LOW_MODULUS + low) as HostSum;
}

function mergeGroups(groups: readonly HeldGroup[]): HeldGroup[] {
  const merged = new Map<Version, HeldGroup>();
  for (const group of groups) {
    const former = merged.get(group.version);
    merged.set(group.version, former === undefined ? group : joinGroups(former, group));
  }
  return [...merged.values()].sort((left, right) => left.version - right.version);
}

function joinGroups(lower: HeldGroup, other: HeldGroup): HeldGroup {
  return {
    version: lower.version,
    count: lower.count + other.count,
    hosts: addSums(lower.hosts, other.hosts),
  };
}

function limitGroups(groups: readonly HeldGroup[], maxGroups: number): HeldGroup[] {
  const excess = groups.length - maxGroups;
  if (excess <= 0) return [...groups];
  const [lowest, ...rest] = groups.slice(0, excess + 1);
  if (lowest === undefined) return [];
  return [rest.reduce(joinGroups, lowest), ...groups.slice(excess + 1)];
}

function limitStragglers(stragglers: Straggler[], maxStragglers: number): Straggler[] {
  stragglers.sort((left, right) => left.version - right.version);
  return stragglers.slice(0, maxStragglers);
}

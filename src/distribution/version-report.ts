/** Reports of the versions that proxies hold: building and merging them, with bounded size. */
import type { HostId, Version } from '../ids.js';
import type { VersionGroup, VersionReport, HostSum, Straggler } from '../messages/index.js';
import { buildRank } from './member-order.js';

/** The checksum of an empty set of hosts. */
export const NO_HOSTS = 0 as HostSum;

/** Adds one host to a checksum. */
export function addHost(sum: HostSum, host: HostId): HostSum {
  return addSums(sum, hashHost(host));
}

/** Removes one host from a checksum. */
export function removeHost(sum: HostSum, host: HostId): HostSum {
  return ((sum + SUM_MODULUS - hashHost(host)) % SUM_MODULUS) as HostSum;
}

/** Combines the checksums of two disjoint sets of hosts. */
export function addSums(left: HostSum, right: HostSum): HostSum {
  return ((left + right) % SUM_MODULUS) as HostSum;
}

/** Builds the report of a single host. */
export function buildOwnReport(host: HostId, version: Version): VersionReport {
  return { own: version, groups: [{ version, count: 1, hosts: hashHost(host) }], stragglers: [] };
}

/**
 * Merges reports of disjoint sets of hosts.
 *
 * Beyond the bounds, the lowest groups are merged and counted at the lowest version, so that a merged
 * report never claims more than its parts; of the lagging hosts, those with the lowest versions are kept.
 */
export function buildMergedReport(
  own: Version,
  reports: readonly VersionReport[],
  bounds: ReportBounds,
): VersionReport {
  const groups = mergeGroups(reports.flatMap((report) => report.groups));
  const laggingHosts = reports.flatMap((report) => report.stragglers);
  return {
    own,
    groups: limitGroups(groups, bounds.maxGroups),
    stragglers: limitLaggingHosts(laggingHosts, bounds.maxLaggingHosts),
  };
}

/** Upper bounds on the size of a report. */
export interface ReportBounds {
  readonly maxGroups: number;
  readonly maxLaggingHosts: number;
}

/** Bounds of the reports that proxies send to their parents. */
export const REPORT_BOUNDS: ReportBounds = { maxGroups: 8, maxLaggingHosts: 16 };

/** Returns the lowest version in a report. */
export function findLowestVersion(report: VersionReport): Version | undefined {
  return report.groups[0]?.version;
}

/** Counts the hosts in the groups of a report. */
export function countHosts(groups: readonly VersionGroup[]): number {
  return groups.reduce((count, group) => count + group.count, 0);
}

// Internals.

const SUM_MODULUS = 2 ** 48;
const LOW_MODULUS = 2 ** 16;
const HIGH_HASH_EPOCH = 0x5eed;

function hashHost(host: HostId): HostSum {
  const high = buildRank(host, HIGH_HASH_EPOCH);
  const low = buildRank(host, HIGH_HASH_EPOCH + 1) % LOW_MODULUS;
  return (high * LOW_MODULUS + low) as HostSum;
}

function mergeGroups(groups: readonly VersionGroup[]): VersionGroup[] {
  const merged = new Map<Version, VersionGroup>();
  for (const group of groups) {
    const former = merged.get(group.version);
    merged.set(group.version, former === undefined ? group : mergeGroupPair(former, group));
  }
  return [...merged.values()].sort((left, right) => left.version - right.version);
}

function mergeGroupPair(lower: VersionGroup, other: VersionGroup): VersionGroup {
  return {
    version: lower.version,
    count: lower.count + other.count,
    hosts: addSums(lower.hosts, other.hosts),
  };
}

function limitGroups(groups: readonly VersionGroup[], maxGroups: number): VersionGroup[] {
  const excess = groups.length - maxGroups;
  if (excess <= 0) return [...groups];
  const [lowest, ...rest] = groups.slice(0, excess + 1);
  if (lowest === undefined) return [];
  return [rest.reduce(mergeGroupPair, lowest), ...groups.slice(excess + 1)];
}

function limitLaggingHosts(laggingHosts: Straggler[], maxLaggingHosts: number): Straggler[] {
  laggingHosts.sort((left, right) => left.version - right.version);
  return laggingHosts.slice(0, maxLaggingHosts);
}

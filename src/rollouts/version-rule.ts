/** Which backend servers of a service the calls of each version go to. */
import type { ServerVersion, ServiceName } from '../ids.js';
import type { RolloutResource } from '../messages/index.js';

/** The servers that a call may go to: of every version, of the version in use, or of the ordered version. */
export type VersionSide = 'any' | 'in-use' | 'ordered';

/**
 * Tells the servers of the ordered version from those of the version in use. All other versions get no calls,
 * because no order has named them. A server that announces no version counts as one of the version in use.
 */
export class VersionRule {
  readonly rollout: RolloutResource;

  constructor(rollout: RolloutResource) {
    this.rollout = rollout;
  }

  get service(): ServiceName {
    return this.rollout.name;
  }

  get isRunning(): boolean {
    return this.rollout.state === 'running';
  }

  /** The share of the calls for the ordered version; 0 unless the roll-out runs. */
  get share(): number {
    return this.isRunning ? this.rollout.share : 0;
  }

  /** Whether a call for the ordered version may go to the version in use if the ordered one has no room. */
  get mayFallBack(): boolean {
    return this.share < 1;
  }

  /** Returns whether a server of this version may get the calls of a side. */
  matches(side: VersionSide, version: ServerVersion | undefined): boolean {
    if (side === 'any') return true;
    const { state, from, to } = this.rollout;
    const isOrdered = version === to;
    if (side === 'ordered') return this.isRunning && isOrdered;
    if (version === undefined) return true;
    if (state === 'initial' || state === 'completed') return isOrdered;
    return from === undefined ? !isOrdered : version === from;
  }
}

/** Finds the version that most servers have; undefined if none announces a version. */
export function findCommonVersion(
  versions: readonly (ServerVersion | undefined)[],
): ServerVersion | undefined {
  const counts = new Map<ServerVersion, number>();
  for (const version of versions) {
    if (version !== undefined) counts.set(version, (counts.get(version) ?? 0) + 1);
  }
  let common: ServerVersion | undefined;
  for (const [version, count] of counts) {
    const most = common === undefined ? 0 : (counts.get(common) ?? 0);
    const isFirst = common === undefined || version < common;
    if (count > most || (count === most && isFirst)) common = version;
  }
  return common;
}

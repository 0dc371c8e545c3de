/** The members of one data centre, in an order that is the same on every proxy. */
import type { Address, DataCentreId, HostId } from '../ids.js';
import type { Member } from '../messages/index.js';

/** The fields of a member that distribution uses. */
export interface OverlayMember {
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  readonly control: Address;
}

/** Whether a member relays versions: it is not dead and has the proxy role, so it accepts calls. */
export function isRelay({ liveness, calls, control }: Member): boolean {
  return liveness !== 'dead' && calls !== control;
}

/** A member and its rank. */
interface RankedMember {
  readonly rank: number;
  readonly member: OverlayMember;
}

/** Hashes a host and an epoch to 32 bits (FNV-1a with a final mix), so that each epoch has its own order. */
export function buildRank(host: HostId, epoch: number): number {
  let hash = FNV_OFFSET ^ Math.imul(epoch + 1, EPOCH_FACTOR);
  for (let index = 0; index < host.length; index += 1) {
    hash = Math.imul(hash ^ host.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), MIX_FACTOR_1);
  hash = Math.imul(hash ^ (hash >>> 13), MIX_FACTOR_2);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Keeps members sorted by rank, then by host id. Lookups use binary search. */
export class MemberOrder {
  #epoch = 0;
  #ranked: RankedMember[] = [];

  /** The number of members. */
  get size(): number {
    return this.#ranked.length;
  }

  /** Sorts the members again for another epoch. */
  setEpoch(epoch: number): void {
    if (epoch === this.#epoch) return;
    this.#epoch = epoch;
    this.#ranked = this.#ranked.map(({ member }) => this.#buildRanked(member));
    this.#ranked.sort(compareRanked);
  }

  /** Adds or replaces a member. Returns true if it was added. */
  updateMember(member: OverlayMember): boolean {
    const ranked = this.#buildRanked(member);
    const position = this.#findInsertionPoint(ranked);
    const isKnown = this.#ranked[position]?.member.host === member.host;
    this.#ranked.splice(position, isKnown ? 1 : 0, ranked);
    return !isKnown;
  }

  /** Removes a member; does nothing if it is absent. */
  forgetMember(host: HostId): void {
    const position = this.findPosition(host);
    if (position !== undefined) this.#ranked.splice(position, 1);
  }

  /** Returns the position of a host, counted from 0. */
  findPosition(host: HostId): number | undefined {
    const position = this.#findInsertionPoint({
      rank: buildRank(host, this.#epoch),
      member: { host },
    });
    return this.#ranked[position]?.member.host === host ? position : undefined;
  }

  /** Returns the member at a position. */
  findAt(position: number): OverlayMember | undefined {
    return this.#ranked[position]?.member;
  }

  /** Lists the members from position `start` up to `end`, exclusive. */
  listRange(start: number, end: number): OverlayMember[] {
    return this.#ranked.slice(start, end).map(({ member }) => member);
  }

  // Internals.

  #buildRanked(member: OverlayMember): RankedMember {
    return { rank: buildRank(member.host, this.#epoch), member };
  }

  /** Returns the first position whose member does not sort before `wanted`. */
  #findInsertionPoint(wanted: RankKey): number {
    let low = 0;
    let high = this.#ranked.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const found = this.#ranked[middle];
      if (found !== undefined && compareRanked(found, wanted) < 0) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}

// Internals.

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const EPOCH_FACTOR = 0x9e3779b1;
const MIX_FACTOR_1 = 0x85ebca6b;
const MIX_FACTOR_2 = 0xc2b2ae35;

interface RankKey {
  readonly rank: number;
  readonly member: Pick<OverlayMember, 'host'>;
}

function compareRanked(left: RankKey, right: RankKey): number {
  if (left.rank !== right.rank) return left.rank - right.rank;
  if (left.member.host === right.member.host) return 0;
  return left.member.host < right.member.host ? -1 : 1;
}

/** The members of one data centre in an order that every proxy computes alike. */
import type { Address, DataCentreId, HostId } from '../ids.js';
import type { Member } from '../messages/index.js';

/** What distribution needs to know of a member. */
export interface OverlayMember {
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  readonly control: Address;
}

/** Tells whether a member carries versions: it lives, and it has the proxy role, so it takes calls. */
export function isRelay({ liveness, calls, control }: Member): boolean {
  return liveness !== 'dead' && calls !== control;
}

/** A member and its hash. */
interface RankedMember {
  readonly rank: number;
  readonly member: OverlayMember;
}

/** Hashes a host together with an epoch to 32 bits, so that each epoch has an order of its own. */
export function formRank(host: HostId, epoch: number): number {
  let hash = FNV_OFFSET ^ Math.imul(epoch + 1, EPOCH_FACTOR);
  for (let index = 0; index < host.length; index += 1) {
    hash = Math.imul(hash ^ host.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), MIX_FACTOR_1);
  hash = Math.imul(hash ^ (hash >>> 13), MIX_FACTOR_2);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Keeps members sorted by their hash; ties go by host id. Insertions cost a binary search. */
export class MemberOrder {
  #epoch = 0;
  #ranked: RankedMember[] = [];

  /** The number of members. */
  get size(): number {
    return this.#ranked.length;
  }

  /** Sorts the members anew for an epoch. */
  setEpoch(epoch: number): void {
    if (epoch === this.#epoch) return;
    this.#epoch = epoch;
    this.#ranked = this.#ranked.map(({ member }) => this.#formRanked(member));
    this.#ranked.sort(compareRanked);
  }

  /** Adds a member, or replaces what is known of it. Tells whether the order has changed. */
  updateMember(member: OverlayMember): boolean {
    const ranked = this.#formRanked(member);
    const position = this.#findSlot(ranked);
    const isKnown = this.#ranked[position]?.member.host === member.host;
    this.#ranked.splice(position, isKnown ? 1 : 0, ranked);
    return !isKnown;
  }

  /** Removes a member; one that is absent is ignored. */
  forgetMember(host: HostId): void {
    const position = this.findPosition(host);
    if (position !== undefined) this.#ranked.splice(position, 1);
  }

  /** Finds the position of a host, from 0. */
  findPosition(host: HostId): number | undefined {
    const position = this.#findSlot({ rank: formRank(host, this.#epoch), member: { host } });
    return this.#ranked[position]?.member.host === host ? position : undefined;
  }

  /** Finds the member at a position. */
  findAt(position: number): OverlayMember | undefined {
    return this.#ranked[position]?.member;
  }

  /** Lists the members from one position up to, but without, another. */
  listRange(start: number, end: number): OverlayMember[] {
    return this.#ranked.slice(start, end).map(({ member }) => member);
  }

  // Internals.

  #formRanked(member: OverlayMember): RankedMember {
    return { rank: formRank(member.host, this.#epoch), member };
  }

  /** Finds the first position whose member does not come before `wanted`. */
  #findSlot(wanted: Comparable): number {
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

interface Comparable {
  readonly rank: number;
  readonly member: Pick<OverlayMember, 'host'>;
}

function compareRanked(left: Comparable, right: Comparable): number {
  if (left.rank !== right.rank) return left.rank - right.rank;
  if (left.member.host === right.member.host) return 0;
  return left.member.host < right.member.host ? -1 : 1;
}

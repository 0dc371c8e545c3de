/** The overlay network: one forest per data centre, computed by each process from the membership. */
import type { DataCentreId, HostId, Version } from '../ids.js';
import type { Random } from '../random.js';
import { MemberOrder } from './member-order.js';
import type { OverlayMember } from './member-order.js';

/** The shape of the forest in each data centre. */
export interface OverlayShape {
  /** The number of children of each proxy. */
  readonly fanOut: number;
  /** The number of roots in each data centre; the source pushes versions to the roots. */
  readonly rootCount: number;
}

/** The neighbours of one proxy. */
export interface Neighbours {
  /** Whether the proxy receives its versions from the source. */
  readonly isRoot: boolean;
  readonly parent: OverlayMember | undefined;
  readonly children: readonly OverlayMember[];
  /** Peers other than the tree neighbours, to which versions are advertised. */
  readonly offTreePeers: readonly OverlayMember[];
}

/** Returns the epoch of a version; each epoch has its own forest. */
export function findEpoch(version: Version): number {
  return Math.floor(version / VERSIONS_PER_EPOCH);
}

/**
 * Keeps the members of every data centre and computes the neighbours of each.
 *
 * Within a data centre, members are ordered by rank. The first `rootCount` are roots, and the children
 * of position `p` are the `fanOut` positions from `rootCount + p * fanOut`. When the membership views
 * of two proxies differ, some versions arrive twice or only after an advertisement.
 */
export class Overlay {
  readonly #shape: OverlayShape;
  readonly #orders = new Map<DataCentreId, MemberOrder>();
  readonly #members = new Map<HostId, OverlayMember>();
  #epoch = 0;

  constructor(shape: OverlayShape) {
    this.#shape = shape;
  }

  /** The number of members. */
  get size(): number {
    return this.#members.size;
  }

  /** The members, in no particular order. */
  get members(): Iterable<OverlayMember> {
    return this.#members.values();
  }

  /** Adds or replaces a member. Returns true if anything changed. */
  updateMember({ host, dataCentre, control }: OverlayMember): boolean {
    const former = this.#members.get(host);
    if (former?.control === control && former.dataCentre === dataCentre) return false;
    if (former !== undefined && former.dataCentre !== dataCentre) this.forgetMember(host);
    const member = { host, dataCentre, control };
    this.#members.set(host, member);
    this.#findOrder(dataCentre).updateMember(member);
    return true;
  }

  /** Removes a member. Returns true if it was present. */
  forgetMember(host: HostId): boolean {
    const former = this.#members.get(host);
    if (former === undefined) return false;
    this.#members.delete(host);
    this.#orders.get(former.dataCentre)?.forgetMember(host);
    return true;
  }

  /** Returns the member on a host, if present. */
  findMember(host: HostId): OverlayMember | undefined {
    return this.#members.get(host);
  }

  /** Switches to the forest of an epoch. Returns true if the epoch changed. */
  setEpoch(epoch: number): boolean {
    if (epoch === this.#epoch) return false;
    this.#epoch = epoch;
    for (const order of this.#orders.values()) order.setEpoch(epoch);
    return true;
  }

  /** Computes the neighbours of a member. */
  findNeighbours(host: HostId): Neighbours {
    const member = this.#members.get(host);
    const order = member && this.#orders.get(member.dataCentre);
    const position = order?.findPosition(host);
    if (order === undefined || position === undefined) return NO_NEIGHBOURS;
    const { fanOut, rootCount } = this.#shape;
    const firstChild = rootCount + position * fanOut;
    const isRoot = position < rootCount;
    return {
      isRoot,
      parent: isRoot ? undefined : order.findAt(this.#findParentPosition(position)),
      children: order.listRange(firstChild, firstChild + fanOut),
      offTreePeers: listOffTreePeers(order, position),
    };
  }

  /** Lists the children of several members. */
  listChildren(members: readonly OverlayMember[]): OverlayMember[] {
    return members.flatMap(({ host }) => this.findNeighbours(host).children);
  }

  /** Lists the roots of one data centre. */
  listRoots(dataCentre: DataCentreId): OverlayMember[] {
    return this.#orders.get(dataCentre)?.listRange(0, this.#shape.rootCount) ?? [];
  }

  /** Lists the roots of every data centre. */
  listAllRoots(): OverlayMember[] {
    return [...this.#orders.keys()].flatMap((dataCentre) => this.listRoots(dataCentre));
  }

  /** Lists up to `count` members of a data centre other than `self`, evenly spaced in its order. */
  listSample(dataCentre: DataCentreId, self: HostId, count: number): OverlayMember[] {
    const order = this.#orders.get(dataCentre);
    const position = order?.findPosition(self);
    if (order === undefined || position === undefined) return [];
    return listSpaced(order, position, count);
  }

  /** Picks a member at random; undefined if it is `self`. */
  pickMember(self: HostId, random: Random): OverlayMember | undefined {
    if (this.size === 0) return undefined;
    let position = random.nextInt(this.size);
    for (const order of this.#orders.values()) {
      if (position < order.size) {
        const member = order.findAt(position);
        return member?.host === self ? undefined : member;
      }
      position -= order.size;
    }
    return undefined;
  }

  /**
   * Picks a member at random from the level above a member, other than its parent; for a root and for a child of
   * one, another root of any data centre.
   */
  pickAbove(host: HostId, random: Random): OverlayMember | undefined {
    const member = this.#members.get(host);
    const order = member && this.#orders.get(member.dataCentre);
    const position = order?.findPosition(host);
    if (order === undefined || position === undefined) return undefined;
    const { first, count } = this.#findLevelAbove(position);
    const parent = this.#findParentPosition(position);
    if (first > 0) {
      const picked = first + random.nextInt(count - 1);
      return order.findAt(picked < parent ? picked : picked + 1);
    }
    const excluded = [host, order.findAt(parent)?.host];
    const roots = this.listAllRoots().filter((root) => !excluded.includes(root.host));
    return roots[random.nextInt(roots.length)];
  }

  // Internals.

  /** Finds the position of the parent; negative for a root. */
  #findParentPosition(position: number): number {
    return Math.floor((position - this.#shape.rootCount) / this.#shape.fanOut);
  }

  /** Finds the positions of the level above a position; for a root, those of the roots. */
  #findLevelAbove(position: number): { readonly first: number; readonly count: number } {
    const { fanOut, rootCount } = this.#shape;
    let [first, count] = [0, rootCount];
    while (position >= first + count + count * fanOut) {
      first += count;
      count *= fanOut;
    }
    return { first, count };
  }

  #findOrder(dataCentre: DataCentreId): MemberOrder {
    const known = this.#orders.get(dataCentre);
    if (known !== undefined) return known;
    const order = new MemberOrder();
    order.setEpoch(this.#epoch);
    this.#orders.set(dataCentre, order);
    return order;
  }
}

// Internals.

const VERSIONS_PER_EPOCH = 1_024;
const OFF_TREE_PEER_COUNT = 4;

const NO_NEIGHBOURS: Neighbours = {
  isRoot: true,
  parent: undefined,
  children: [],
  offTreePeers: [],
};

function listOffTreePeers(order: MemberOrder, position: number): OverlayMember[] {
  return listSpaced(order, position, OFF_TREE_PEER_COUNT);
}

/** Lists members at even distances from a position, so that each is listed by the same number of members. */
function listSpaced(order: MemberOrder, position: number, count: number): OverlayMember[] {
  const others = order.size - 1;
  const wanted = Math.min(count, others);
  const spaced: OverlayMember[] = [];
  for (let step = 1; step <= wanted; step += 1) {
    const distance = 1 + Math.floor(((step - 1) * others) / wanted);
    const member = order.findAt((position + distance) % order.size);
    if (member !== undefined) spaced.push(member);
  }
  return spaced;
}

/** The overlay: a forest per data centre, computed alike everywhere from the membership. */
import type { DataCentreId, HostId, Version } from '../ids.js';
import { MemberOrder } from './member-order.js';
import type { OverlayMember } from './member-order.js';

/** The shape of the forest in each data centre. */
export interface OverlayShape {
  /** Children of one proxy. */
  readonly fanOut: number;
  /** Proxies that the source speaks to in each data centre; they are the roots. */
  readonly firstCount: number;
}

/** The neighbours of one proxy. */
export interface Neighbours {
  /** Whether the proxy takes its versions from the source. */
  readonly isFirst: boolean;
  readonly parent: OverlayMember | undefined;
  readonly children: readonly OverlayMember[];
  /** Peers elsewhere in the forest, to which versions are advertised. */
  readonly offTree: readonly OverlayMember[];
}

/** Tells to which epoch a version belongs; each epoch has a forest of its own. */
export function findEpoch(version: Version): number {
  return Math.floor(version / VERSIONS_PER_EPOCH);
}

/**
 * Knows the members of every data centre and works out who speaks to whom.
 *
 * Within a data centre, members stand in the order of their hash. The first `firstCount` are roots, and
 * the children of position `p` are the `fanOut` positions from `firstCount + p * fanOut`. Views of the
 * membership may differ between proxies; then some versions arrive twice or only by an advertisement.
 */
export class Overlay {
  readonly #shape: OverlayShape;
  readonly #orders = new Map<DataCentreId, MemberOrder>();
  readonly #homes = new Map<HostId, OverlayMember>();
  #epoch = 0;

  constructor(shape: OverlayShape) {
    this.#shape = shape;
  }

  /** The number of members. */
  get size(): number {
    return this.#homes.size;
  }

  /** The members, in no particular order. */
  get members(): Iterable<OverlayMember> {
    return this.#homes.values();
  }

  /** Adds a member or replaces what is known of it. Tells whether anything has changed. */
  updateMember({ host, dataCentre, control }: OverlayMember): boolean {
    const former = this.#homes.get(host);
    if (former?.control === control && former.dataCentre === dataCentre) return false;
    if (former !== undefined && former.dataCentre !== dataCentre) this.forgetMember(host);
    const member = { host, dataCentre, control };
    this.#homes.set(host, member);
    this.#findOrder(dataCentre).updateMember(member);
    return true;
  }

  /** Removes a member. Tells whether it was known. */
  forgetMember(host: HostId): boolean {
    const former = this.#homes.get(host);
    if (former === undefined) return false;
    this.#homes.delete(host);
    this.#orders.get(former.dataCentre)?.forgetMember(host);
    return true;
  }

  /** Finds what is known of a member. */
  findMember(host: HostId): OverlayMember | undefined {
    return this.#homes.get(host);
  }

  /** Changes to the forest of another epoch. Tells whether it differs from the present one. */
  setEpoch(epoch: number): boolean {
    if (epoch === this.#epoch) return false;
    this.#epoch = epoch;
    for (const order of this.#orders.values()) order.setEpoch(epoch);
    return true;
  }

  /** Finds the neighbours of a member. */
  findNeighbours(host: HostId): Neighbours {
    const home = this.#homes.get(host);
    const order = home && this.#orders.get(home.dataCentre);
    const position = order?.findPosition(host);
    if (order === undefined || position === undefined) return NO_NEIGHBOURS;
    const { fanOut, firstCount } = this.#shape;
    const firstChild = firstCount + position * fanOut;
    const isFirst = position < firstCount;
    const parentPosition = Math.floor((position - firstCount) / fanOut);
    return {
      isFirst,
      parent: isFirst ? undefined : order.findAt(parentPosition),
      children: order.listRange(firstChild, firstChild + fanOut),
      offTree: listOffTree(order, position),
    };
  }

  /** Lists the roots of one data centre. */
  listFirst(dataCentre: DataCentreId): OverlayMember[] {
    return this.#orders.get(dataCentre)?.listRange(0, this.#shape.firstCount) ?? [];
  }

  /** Lists the roots of every data centre. */
  listAllFirst(): OverlayMember[] {
    return [...this.#orders.keys()].flatMap((dataCentre) => this.listFirst(dataCentre));
  }

  /** Lists up to `count` members of a data centre other than `self`, evenly spread over its order. */
  listSample(dataCentre: DataCentreId, self: HostId, count: number): OverlayMember[] {
    const order = this.#orders.get(dataCentre);
    const position = order?.findPosition(self);
    if (order === undefined || position === undefined) return [];
    return listSpaced(order, position, count);
  }

  // Internals.

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
const OFF_TREE_PEERS = 4;

const NO_NEIGHBOURS: Neighbours = { isFirst: true, parent: undefined, children: [], offTree: [] };

function listOffTree(order: MemberOrder, position: number): OverlayMember[] {
  return listSpaced(order, position, OFF_TREE_PEERS);
}

/** Lists members at even distances from a position, so that each is listed by as many others. */
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

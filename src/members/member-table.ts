/** The table of all known members and the precedence of what is heard about them. */
import type { HostId, Incarnation } from '../ids.js';
import type { Liveness, Member } from '../messages/index.js';
import type { Random } from '../random.js';
import { BucketDigest, findBucket } from './bucket-digest.js';
import { ProbeOrder } from './probe-order.js';

/** What is known of one member. */
export interface Entry {
  readonly host: HostId;
  /** The incarnation to which `liveness` belongs. */
  incarnation: Incarnation;
  liveness: Liveness;
  /** The newest record that the member published; absent when only its end was heard of. */
  member: Member | undefined;
}

/** A status that is heard about a member. */
export interface Status {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly liveness: Liveness;
}

/** Tells whether a status takes precedence over what is known. */
export function isNewer(status: Status, known: Status): boolean {
  if (status.incarnation !== known.incarnation) return status.incarnation > known.incarnation;
  return RANKS[status.liveness] > RANKS[known.liveness];
}

/** Tells whether a member of this liveness takes part. */
export function isLive(liveness: Liveness): boolean {
  return liveness === 'alive' || liveness === 'suspect';
}

/**
 * Merges records and statuses. Both only ever move up (a record by its incarnation, a status by
 * incarnation and then liveness), so the order, loss or repetition of news does not matter and old
 * news changes nothing.
 */
export class MemberTable {
  readonly #self: HostId;
  readonly #entries = new Map<HostId, Entry>();
  readonly #names = new Map<string, string>();
  readonly #buckets: Set<HostId>[] = [];
  /** The live members other than this one. */
  readonly order = new ProbeOrder();
  /** Digests over the records of live members. */
  readonly digest = new BucketDigest();

  constructor(self: HostId) {
    this.#self = self;
  }

  find(host: HostId): Entry | undefined {
    return this.#entries.get(host);
  }

  /** Lists the live members with a record, this one included. */
  *listLive(): Generator<Member> {
    for (const { liveness, member } of this.#entries.values()) {
      if (member !== undefined && isLive(liveness)) yield member;
    }
  }

  /** Lists the live members of one bucket. */
  *listBucket(bucket: number): Generator<Member> {
    for (const host of this.#buckets[bucket] ?? []) {
      const member = this.#entries.get(host)?.member;
      if (member !== undefined) yield member;
    }
  }

  /** Picks up to `count` live members at random, apart from this one and `except`. */
  pickSome(random: Random, count: number, except?: HostId): Member[] {
    const hosts = this.order.pickSome(random, count, except);
    return hosts.flatMap((host) => this.#entries.get(host)?.member ?? []);
  }

  /** Applies what a member published. Returns true when it is news. */
  applyRecord(record: Member): boolean {
    const entry = this.#entries.get(record.host);
    if (entry?.member !== undefined && entry.member.incarnation >= record.incarnation) return false;
    const next = entry ?? this.#addEntry(record.host, record.incarnation, 'alive');
    this.#toggle(next);
    if (record.incarnation > next.incarnation) {
      next.incarnation = record.incarnation;
      next.liveness = 'alive';
    }
    next.member = this.#intern({ ...record, liveness: next.liveness });
    this.#toggle(next);
    this.#updateOrder(next);
    return true;
  }

  /** Applies what others concluded about a member. Returns true when it is news. */
  applyStatus(status: Status): boolean {
    const entry = this.#entries.get(status.host);
    if (entry === undefined) {
      this.#addEntry(status.host, status.incarnation, status.liveness);
      return true;
    }
    if (!isNewer(status, entry)) return false;
    this.#toggle(entry);
    entry.incarnation = status.incarnation;
    entry.liveness = status.liveness;
    if (entry.member !== undefined) entry.member = { ...entry.member, liveness: status.liveness };
    this.#toggle(entry);
    this.#updateOrder(entry);
    return true;
  }

  /** Forgets a member that is no longer live. */
  forget(host: HostId): void {
    const entry = this.#entries.get(host);
    if (entry !== undefined && !isLive(entry.liveness)) this.#entries.delete(host);
  }

  // Internals.

  #addEntry(host: HostId, incarnation: Incarnation, liveness: Liveness): Entry {
    const entry: Entry = { host, incarnation, liveness, member: undefined };
    this.#entries.set(host, entry);
    return entry;
  }

  /** Takes an entry out of the digests before a change, and back in after it. */
  #toggle({ host, liveness, member }: Entry): void {
    if (member !== undefined && isLive(liveness)) this.digest.toggle(host, member.incarnation);
  }

  #updateOrder({ host, liveness, member }: Entry): void {
    const takesPart = isLive(liveness) && member !== undefined;
    const bucket = findBucket(host);
    if (takesPart) (this.#buckets[bucket] ??= new Set()).add(host);
    else this.#buckets[bucket]?.delete(host);
    if (takesPart && host !== this.#self) this.order.add(host);
    else this.order.remove(host);
  }

  /** Lets members share the names that many of them carry. */
  #intern(member: Member): Member {
    return {
      ...member,
      region: this.#share(member.region),
      dataCentre: this.#share(member.dataCentre),
      servers: member.servers.map((one) => ({ ...one, service: this.#share(one.service) })),
    };
  }

  #share<T extends string>(name: T): T {
    const known = this.#names.get(name);
    if (known !== undefined) return known as T;
    this.#names.set(name, name);
    return name;
  }
}

// Internals.

const RANKS: Readonly<Record<Liveness, number>> = { alive: 0, suspect: 1, dead: 2, left: 3 };

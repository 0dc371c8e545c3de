/** The table of known members, and the precedence of updates about them. */
import type { HostId, Incarnation } from '../ids.js';
import type { Liveness, Member } from '../messages/index.js';
import type { Random } from '../random.js';
import { BucketDigest, findBucket } from './bucket-digest.js';
import { ProbeOrder } from './probe-order.js';

/** The table entry of one member. */
export interface MemberEntry {
  readonly host: HostId;
  /** The incarnation to which `liveness` belongs. */
  incarnation: Incarnation;
  liveness: Liveness;
  /** The member's newest record; `undefined` if only a status about the member has arrived. */
  member: Member | undefined;
}

/** The liveness of a member at an incarnation. */
export interface MemberStatus {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly liveness: Liveness;
}

/** Whether `status` takes precedence over `known`: by incarnation, then by liveness. */
export function hasPrecedence(status: MemberStatus, known: MemberStatus): boolean {
  if (status.incarnation !== known.incarnation) return status.incarnation > known.incarnation;
  return PRECEDENCE[status.liveness] > PRECEDENCE[known.liveness];
}

/** Whether a member with this liveness is part of the mesh. */
export function isLive(liveness: Liveness): boolean {
  return liveness === 'alive' || liveness === 'suspect';
}

/**
 * Merges records and statuses. Both only move forward (a record by its incarnation, a status by its
 * incarnation and then its liveness), so merging is commutative and idempotent, and outdated updates
 * have no effect.
 */
export class MemberTable {
  readonly #self: HostId;
  readonly #entries = new Map<HostId, MemberEntry>();
  readonly #internedNames = new Map<string, string>();
  readonly #buckets: Set<HostId>[] = [];
  /** The live members except this one. */
  readonly probeOrder = new ProbeOrder();
  /** The live members that are sources, except this one. */
  readonly sources = new ProbeOrder();
  /** Digests of the records of live members. */
  readonly digest = new BucketDigest();
  /** The number of records that have changed since the start. */
  records = 0;

  constructor(self: HostId) {
    this.#self = self;
  }

  find(host: HostId): MemberEntry | undefined {
    return this.#entries.get(host);
  }

  /** Lists the live members with a record, including this one. */
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

  /** Picks up to `count` live members at random, excluding this one and `except`. */
  pickRandom(random: Random, count: number, except?: HostId): Member[] {
    const hosts = this.probeOrder.pickRandom(random, count, except);
    return hosts.flatMap((host) => this.#entries.get(host)?.member ?? []);
  }

  /** Picks up to `count` distinct sources at random. */
  pickSources(random: Random, count: number): Member[] {
    const hosts = this.sources.pickRandom(random, count);
    return hosts.flatMap((host) => this.#entries.get(host)?.member ?? []);
  }

  /** Applies a record of a member. Returns `true` if the entry changed. */
  applyRecord(record: Member): boolean {
    const entry = this.#entries.get(record.host);
    if (entry?.member !== undefined && entry.member.incarnation >= record.incarnation) return false;
    const next = entry ?? this.#addEntry(record.host, record.incarnation, 'alive');
    this.#toggleDigest(next);
    if (record.incarnation > next.incarnation) {
      next.incarnation = record.incarnation;
      next.liveness = 'alive';
    }
    this.records += 1;
    next.member = this.#internNames({ ...record, liveness: next.liveness });
    this.#toggleDigest(next);
    this.#updateIndexes(next);
    return true;
  }

  /** Applies a status of a member. Returns `true` if the entry changed. */
  applyStatus(status: MemberStatus): boolean {
    const entry = this.#entries.get(status.host);
    if (entry === undefined) {
      this.#addEntry(status.host, status.incarnation, status.liveness);
      return true;
    }
    if (!hasPrecedence(status, entry)) return false;
    this.#toggleDigest(entry);
    entry.incarnation = status.incarnation;
    entry.liveness = status.liveness;
    if (entry.member !== undefined) entry.member = { ...entry.member, liveness: status.liveness };
    this.#toggleDigest(entry);
    this.#updateIndexes(entry);
    return true;
  }

  /** Removes a member that is not live. */
  forget(host: HostId): void {
    const entry = this.#entries.get(host);
    if (entry !== undefined && !isLive(entry.liveness)) this.#entries.delete(host);
  }

  // Internals.

  #addEntry(host: HostId, incarnation: Incarnation, liveness: Liveness): MemberEntry {
    const entry: MemberEntry = { host, incarnation, liveness, member: undefined };
    this.#entries.set(host, entry);
    return entry;
  }

  /** Removes an entry from the digests before a change, and adds it again after the change. */
  #toggleDigest({ host, liveness, member }: MemberEntry): void {
    if (member !== undefined && isLive(liveness)) this.digest.toggle(host, member.incarnation);
  }

  #updateIndexes({ host, liveness, member }: MemberEntry): void {
    const isMember = isLive(liveness) && member !== undefined;
    const bucket = findBucket(host);
    if (isMember) (this.#buckets[bucket] ??= new Set()).add(host);
    else this.#buckets[bucket]?.delete(host);
    if (isMember && host !== this.#self) this.probeOrder.add(host);
    else this.probeOrder.remove(host);
    if (isMember && member.isSource && host !== this.#self) this.sources.add(host);
    else this.sources.remove(host);
  }

  /** Shares the string instances of names that many members have in common, to save memory. */
  #internNames(member: Member): Member {
    return {
      ...member,
      region: this.#internName(member.region),
      dataCentre: this.#internName(member.dataCentre),
      servers: member.servers.map((one) => ({ ...one, service: this.#internName(one.service) })),
    };
  }

  #internName<T extends string>(name: T): T {
    const known = this.#internedNames.get(name);
    if (known !== undefined) return known as T;
    this.#internedNames.set(name, name);
    return name;
  }
}

// Internals.

const PRECEDENCE: Readonly<Record<Liveness, number>> = { alive: 0, suspect: 1, dead: 2, left: 3 };

/** The backend servers as an entry proxy knows them: one list per service, nearest first. */
import type {
  Address,
  AttemptId,
  DataCentreId,
  HostId,
  Instant,
  RegionId,
  ServiceName,
} from '../ids.js';
import type {
  Announcement,
  GuardLoad,
  Member,
  MemberEvent,
  ServerState,
} from '../messages/index.js';
import { RunTimes } from './run-times.js';
import { hashText } from './split.js';

/** Where a proxy stands; decides which backend servers are near. */
export interface Place {
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  readonly region: RegionId;
}

/** One backend server, with what calls have shown of it. */
export interface ServerRecord {
  member: Member;
  announcement: Announcement;
  /** Since when it has been ready; a fresh server gets less than its share. */
  readySince: Instant;
  /** Attempts of this proxy that have not ended. */
  outstanding: number;
  /** When those of them were started that have no answer yet, the oldest first. */
  readonly startedAts: Map<AttemptId, Instant>;
  /** When an attempt was last answered there. */
  heardAt: Instant;
  /** What its guard last told, and when. */
  load: GuardLoad | undefined;
  loadAt: Instant;
  /** How long runs of each kind take there, as its guard last told. */
  readonly runTimes: RunTimes;
  /** The share of its late attempts that failed, from 0 to 1; later ones count more. */
  failureShare: number;
  /** Failures without a success between them. */
  failures: number;
  ejections: number;
  ejectedUntil: Instant;
  /** Its guard has refused an attempt because nothing can run there; it is not asked until then. */
  avoidedUntil: Instant;
}

/** The candidates of a service, nearest first. */
export type Tiers = readonly (readonly ServerRecord[])[];

/**
 * Indexes the announced backend servers by service.
 *
 * Of a large service each proxy uses a fixed subset, chosen by rendezvous hashing, so that the number
 * of connections does not grow with the fleet.
 */
export class ServerTable {
  readonly #place: Place;
  readonly #members = new Map<HostId, Member>();
  readonly #services = new Map<ServiceName, ServiceEntry>();
  readonly #proxies = new Set<HostId>();

  constructor(place: Place) {
    this.#place = place;
  }

  /** How many proxies there are, this one included. */
  get proxies(): number {
    return Math.max(1, this.#proxies.size);
  }

  /** Takes in one change of the membership. */
  apply(event: MemberEvent, now: Instant): void {
    if (event.kind === 'member-gone') this.#proxies.delete(event.host);
    else if (event.member.calls !== event.member.control) this.#proxies.add(event.member.host);
    if (event.kind === 'member-gone') this.#removeMember(event.host);
    else this.#updateMember(event.member, now);
  }

  /** Lists the candidates of a service: beside this proxy, in its data centre, its region, elsewhere. */
  listTiers(service: ServiceName): Tiers {
    const entry = this.#services.get(service);
    if (entry === undefined) return [];
    entry.tiers ??= this.#buildTiers(entry);
    return entry.tiers;
  }

  /** Finds the record of one backend server. */
  findServer(service: ServiceName, address: Address): ServerRecord | undefined {
    return this.#services.get(service)?.servers.get(address);
  }

  // Internals.

  #removeMember(host: HostId): void {
    for (const server of this.#members.get(host)?.servers ?? []) {
      this.#removeServer(server);
    }
    this.#members.delete(host);
  }

  #updateMember(member: Member, now: Instant): void {
    const former = this.#members.get(member.host)?.servers ?? [];
    this.#members.set(member.host, member);
    for (const server of former) {
      const kept = member.servers.some((one) => isSameServer(one, server));
      if (!kept) this.#removeServer(server);
    }
    for (const server of member.servers) this.#updateServer(member, server, now);
  }

  #removeServer({ service, address }: Announcement): void {
    const entry = this.#services.get(service);
    if (entry?.servers.delete(address)) entry.tiers = undefined;
    if (entry?.servers.size === 0) this.#services.delete(service);
  }

  #updateServer(member: Member, announcement: Announcement, now: Instant): void {
    const { service, address, state } = announcement;
    const entry = this.#services.get(service) ?? makeEntry();
    this.#services.set(service, entry);
    const former = entry.servers.get(address);
    const isWarm = former !== undefined && isServing(former.announcement.state) && isServing(state);
    const record = former ?? makeRecord(member, announcement, now);
    const readySince = isWarm ? record.readySince : now;
    const restarted = former?.member.pass !== member.pass;
    record.member = member;
    record.announcement = announcement;
    record.readySince = readySince;
    if (restarted || !isWarm) record.avoidedUntil = now;
    if (!isWarm) record.runTimes.clear();
    entry.servers.set(address, record);
    if (former === undefined) entry.tiers = undefined;
  }

  #buildTiers({ servers }: ServiceEntry): Tiers {
    const tiers: ServerRecord[][] = TIER_SIZES.map(() => []);
    for (const record of servers.values()) tiers[this.#findTier(record.member)]?.push(record);
    return tiers.map((tier, index) => this.#cutTier(tier, TIER_SIZES[index] ?? 0));
  }

  #findTier(member: Member): number {
    if (member.host === this.#place.host) return 0;
    if (member.dataCentre === this.#place.dataCentre) return 1;
    return member.region === this.#place.region ? 2 : 3;
  }

  #cutTier(tier: ServerRecord[], size: number): ServerRecord[] {
    if (tier.length <= size) return tier;
    const { host } = this.#place;
    const ranked = tier.map((record) => ({
      record,
      rank: hashText(`${host} ${record.announcement.address}`),
    }));
    ranked.sort((left, right) => left.rank - right.rank);
    return ranked.slice(0, size).map(({ record }) => record);
  }
}

// Internals.

interface ServiceEntry {
  readonly servers: Map<Address, ServerRecord>;
  tiers: Tiers | undefined;
}

/** How many candidates a proxy uses: beside it, in its data centre, its region, elsewhere. */
const TIER_SIZES = [4, 16, 8, 8];

function makeEntry(): ServiceEntry {
  return { servers: new Map(), tiers: undefined };
}

function makeRecord(member: Member, announcement: Announcement, now: Instant): ServerRecord {
  return {
    member,
    announcement,
    readySince: now,
    outstanding: 0,
    startedAts: new Map(),
    heardAt: now,
    load: undefined,
    loadAt: now,
    runTimes: new RunTimes(),
    failureShare: 0,
    failures: 0,
    ejections: 0,
    ejectedUntil: now,
    avoidedUntil: now,
  };
}

function isServing(state: ServerState): boolean {
  return state === 'ready' || state === 'failing';
}

function isSameServer(left: Announcement, right: Announcement): boolean {
  return left.address === right.address && left.service === right.service;
}

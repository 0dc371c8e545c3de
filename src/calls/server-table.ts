/** The backend servers of each service as known to an entry proxy, nearest first. */
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
  ServerLoad,
  Member,
  MemberEvent,
  ServerState,
} from '../messages/index.js';
import type { VersionShares, VersionSide } from '../rollouts/index.js';
import { findCommonVersion } from '../rollouts/index.js';
import { RunTimes } from './run-times.js';
import { hashText } from './split.js';

/** The location of a proxy, from which the distance of backend servers is derived. */
export interface Locality {
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  readonly region: RegionId;
}

/** A backend server and its statistics from calls. */
export interface ServerRecord {
  member: Member;
  announcement: Announcement;
  /** Start of the slow start, during which the server gets less than its share. */
  readySince: Instant;
  /** The number of attempts of this proxy in flight. */
  outstanding: number;
  /** Start times of the attempts in flight that have no answer yet, the oldest first. */
  readonly unansweredStarts: Map<AttemptId, Instant>;
  /**
   * Since when the server has not answered, if an attempt was cancelled because its hedge was faster; it counts until
   * an instant or the next answer.
   */
  overtaken: { readonly silentSince: Instant; readonly until: Instant } | undefined;
  /** When the server last answered an attempt. */
  lastAnswerAt: Instant;
  /** The load that its guard last reported. */
  load: ServerLoad | undefined;
  /** When its guard last reported the load. */
  loadAt: Instant;
  /** Run times per request kind, as last reported by its guard. */
  readonly runTimes: RunTimes;
  /** Exponentially weighted share of recent attempts that failed, from 0 to 1. */
  failureShare: number;
  /** Consecutive failures. */
  failures: number;
  ejections: number;
  ejectedUntil: Instant;
  /** End of the period in which the server is not picked, because its guard reported that nothing can run. */
  avoidedUntil: Instant;
}

/** The candidate servers of a service by distance, nearest first. */
export type LocalityTiers = readonly (readonly ServerRecord[])[];

/**
 * Indexes the announced backend servers by service.
 *
 * Each proxy uses a fixed subset of a large service, chosen by rendezvous hashing, so that the number
 * of connections does not grow with the fleet.
 */
export class ServerTable {
  readonly #place: Locality;
  readonly #versions: VersionShares | undefined;
  readonly #members = new Map<HostId, Member>();
  readonly #services = new Map<ServiceName, ServiceEntry>();
  readonly #proxies = new Set<HostId>();

  /** @param versions The rules for versions, if the deployment has roll-outs. */
  constructor(place: Locality, versions?: VersionShares) {
    this.#place = place;
    this.#versions = versions;
  }

  /** The number of proxies, including this one. */
  get proxies(): number {
    return Math.max(1, this.#proxies.size);
  }

  /** Applies a membership event. */
  apply(event: MemberEvent, now: Instant): void {
    if (event.kind === 'member-gone') this.#proxies.delete(event.host);
    else if (event.member.calls !== event.member.control) this.#proxies.add(event.member.host);
    if (event.kind === 'member-gone') this.#removeMember(event.host);
    else this.#updateMember(event.member, now);
  }

  /** Lists the candidates of a service in four tiers: own host, data centre, region, elsewhere. */
  listTiers(service: ServiceName, side: VersionSide = 'any'): LocalityTiers {
    const entry = this.#services.get(service);
    if (entry === undefined) return [];
    const known = entry.tiers.get(side);
    if (known !== undefined) return known;
    const tiers = this.#buildTiers(service, entry, side);
    entry.tiers.set(side, tiers);
    return tiers;
  }

  /** Forgets the candidates of services whose rules for versions have changed. */
  updateVersions(services: readonly ServiceName[]): void {
    for (const service of services) this.#services.get(service)?.tiers.clear();
  }

  /** Finds the record of a backend server. */
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
    if (entry?.servers.delete(address)) entry.tiers.clear();
    if (entry?.servers.size === 0) this.#services.delete(service);
  }

  #updateServer(member: Member, announcement: Announcement, now: Instant): void {
    const { service, address, state } = announcement;
    const entry = this.#services.get(service) ?? makeEntry();
    this.#services.set(service, entry);
    const previous = entry.servers.get(address);
    const isWarm =
      previous !== undefined && isServing(previous.announcement.state) && isServing(state);
    const hasNewVersion = previous?.announcement.version !== announcement.version;
    const record = previous ?? makeRecord(member, announcement, now);
    const readySince = isWarm ? record.readySince : now;
    const restarted = previous?.member.pass !== member.pass;
    record.member = member;
    record.announcement = announcement;
    record.readySince = readySince;
    if (restarted || !isWarm) record.avoidedUntil = now;
    if (!isWarm) record.runTimes.clear();
    entry.servers.set(address, record);
    if (previous === undefined || hasNewVersion) entry.tiers.clear();
  }

  #buildTiers(service: ServiceName, entry: ServiceEntry, side: VersionSide): LocalityTiers {
    const tiers: ServerRecord[][] = TIER_SIZES.map(() => []);
    for (const record of this.#listServers(service, entry, side)) {
      tiers[this.#findTier(record.member)]?.push(record);
    }
    return tiers.map((tier, index) => this.#limitTier(tier, TIER_SIZES[index] ?? 0));
  }

  /** Lists the servers of a side. Without a rule, those of the most common version are in use. */
  #listServers(service: ServiceName, { servers }: ServiceEntry, side: VersionSide): ServerRecord[] {
    const records = [...servers.values()];
    if (side === 'any') return records;
    const rule = this.#versions?.findRule(service);
    if (rule !== undefined)
      return records.filter(({ announcement }) => rule.matches(side, announcement.version));
    const common = findCommonVersion(records.map(({ announcement }) => announcement.version));
    return records.filter(({ announcement }) => (announcement.version ?? common) === common);
  }

  #findTier(member: Member): number {
    if (member.host === this.#place.host) return 0;
    if (member.dataCentre === this.#place.dataCentre) return 1;
    return member.region === this.#place.region ? 2 : 3;
  }

  #limitTier(tier: ServerRecord[], size: number): ServerRecord[] {
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
  /** The candidates of each side that has been asked for. */
  readonly tiers: Map<VersionSide, LocalityTiers>;
}

/** Maximum number of candidates per tier: own host, data centre, region, elsewhere. */
const TIER_SIZES = [4, 16, 8, 8];

function makeEntry(): ServiceEntry {
  return { servers: new Map(), tiers: new Map() };
}

function makeRecord(member: Member, announcement: Announcement, now: Instant): ServerRecord {
  return {
    member,
    announcement,
    readySince: now,
    outstanding: 0,
    unansweredStarts: new Map(),
    overtaken: undefined,
    lastAnswerAt: now,
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

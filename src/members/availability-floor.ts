/** The minimum share of usable backend servers of a service that stay available despite failed calls. */
import type { Address, HostId, ServiceName } from '../ids.js';
import type { Announcement, Member } from '../messages/index.js';

/** The number of usable backend servers of one service. */
interface ServiceCount {
  /** Servers in the state `ready` or `failing`. */
  usable: number;
  readonly failing: Map<Address, HostId>;
}

/**
 * Limits the ejection of failing backend servers: at most half of a service, those with the lowest
 * addresses, appear as `failing` to the other pipes. The others appear as `ready`, because more than half
 * of a service failing is more likely a wrong signal, and because some server must take the calls.
 */
export class AvailabilityFloor {
  readonly #counts = new Map<ServiceName, ServiceCount>();

  /** Adds the usable servers of a member to the counts. */
  add(member: Member): void {
    for (const server of member.servers) {
      if (!isUsable(server)) continue;
      const count = this.#find(server.service);
      count.usable += 1;
      if (server.state === 'failing') count.failing.set(server.address, member.host);
    }
  }

  /** Reverts {@link add} of the same member value. */
  remove(member: Member): void {
    for (const server of member.servers) {
      if (!isUsable(server)) continue;
      const count = this.#find(server.service);
      count.usable -= 1;
      count.failing.delete(server.address);
      if (count.usable === 0) this.#counts.delete(server.service);
    }
  }

  /** Returns the member as visible to the other pipes. */
  buildVisible(member: Member): Member {
    if (!member.servers.some((server) => server.state === 'failing')) return member;
    return { ...member, servers: member.servers.map((server) => this.#buildVisibleServer(server)) };
  }

  /** Lists the other hosts whose visible state may change when `member` changes. */
  listRelated(member: Member): HostId[] {
    const related = new Set<HostId>();
    for (const { service } of member.servers) {
      for (const host of this.#counts.get(service)?.failing.values() ?? []) related.add(host);
    }
    related.delete(member.host);
    return [...related];
  }

  // Internals.

  #buildVisibleServer(server: Announcement): Announcement {
    if (server.state !== 'failing' || this.#isWithinLimit(server)) return server;
    return { ...server, state: 'ready' };
  }

  #isWithinLimit({ service, address }: Announcement): boolean {
    const { usable, failing } = this.#find(service);
    const allowed = Math.floor(usable * MAX_EJECTED_SHARE);
    return [...failing.keys()].sort().indexOf(address) < allowed;
  }

  #find(service: ServiceName): ServiceCount {
    const known = this.#counts.get(service);
    if (known !== undefined) return known;
    const created = { usable: 0, failing: new Map<Address, HostId>() };
    this.#counts.set(service, created);
    return created;
  }
}

// Internals.

const MAX_EJECTED_SHARE = 0.5;

function isUsable(server: Announcement): boolean {
  return server.state === 'ready' || server.state === 'failing';
}

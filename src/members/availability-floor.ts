/** The floor that keeps wrong observations from emptying a service. */
import type { Address, HostId, ServiceName } from '../ids.js';
import type { Announcement, Member } from '../messages/index.js';

/** The usable backend servers of one service. */
interface ServiceCount {
  /** Servers that are ready or failing. */
  usable: number;
  readonly failing: Map<Address, HostId>;
}

/**
 * Decides which failing backend servers are shown as failing: at most half of a service, lowest
 * address first. The others are shown as ready, because more than half of a service failing is more
 * likely a wrong signal, and because some server must take the calls anyway.
 */
export class ServiceFloor {
  readonly #counts = new Map<ServiceName, ServiceCount>();

  /** Counts the servers of a member that calls may use. */
  add(member: Member): void {
    for (const server of member.servers) {
      if (!isUsable(server)) continue;
      const count = this.#find(server.service);
      count.usable += 1;
      if (server.state === 'failing') count.failing.set(server.address, member.host);
    }
  }

  /** Undoes {@link add}, for the same member value. */
  remove(member: Member): void {
    for (const server of member.servers) {
      if (!isUsable(server)) continue;
      const count = this.#find(server.service);
      count.usable -= 1;
      count.failing.delete(server.address);
      if (count.usable === 0) this.#counts.delete(server.service);
    }
  }

  /** Forms the member as the other pipes see it. */
  formShown(member: Member): Member {
    if (!member.servers.some((server) => server.state === 'failing')) return member;
    return { ...member, servers: member.servers.map((server) => this.#formShownServer(server)) };
  }

  /** Lists the hosts whose shown state may change together with that of `member`. */
  listRelated(member: Member): HostId[] {
    const related = new Set<HostId>();
    for (const { service } of member.servers) {
      for (const host of this.#counts.get(service)?.failing.values() ?? []) related.add(host);
    }
    related.delete(member.host);
    return [...related];
  }

  // Internals.

  #formShownServer(server: Announcement): Announcement {
    if (server.state !== 'failing' || this.#isWithinFloor(server)) return server;
    return { ...server, state: 'ready' };
  }

  #isWithinFloor({ service, address }: Announcement): boolean {
    const { usable, failing } = this.#find(service);
    const allowed = Math.floor(usable * MAX_FAILING_SHARE);
    return [...failing.keys()].sort().indexOf(address) < allowed;
  }

  #find(service: ServiceName): ServiceCount {
    const known = this.#counts.get(service);
    if (known !== undefined) return known;
    const fresh = { usable: 0, failing: new Map<Address, HostId>() };
    this.#counts.set(service, fresh);
    return fresh;
  }
}

// Internals.

const MAX_FAILING_SHARE = 0.5;

function isUsable(server: Announcement): boolean {
  return server.state === 'ready' || server.state === 'failing';
}

/** Logs what this process believes of other members and of the backend servers beside it. */
import type { Address, HostId } from '../ids.js';
import type { Member, MembershipEvent, ServerState } from '../messages/index.js';
import type { Log } from './logger.js';

/** Writes a line for each member that came or went, and for each change of an own backend server. */
export class MembershipLog {
  readonly #host: HostId;
  readonly #log: Log;
  readonly #members = new Set<HostId>();
  readonly #states = new Map<Address, ServerState>();

  constructor(host: HostId, log: Log) {
    this.#host = host;
    this.#log = log;
  }

  /** Takes in one event of the membership. */
  handle(event: MembershipEvent): void {
    if (event.kind === 'broadcast') {
      const { kind, fingerprint, server } = event.item;
      this.#log(kind, { fingerprint, server });
    } else if (event.kind === 'member-gone') {
      this.#members.delete(event.host);
      this.#log('member-gone', { member: event.host });
    } else if (event.member.host === this.#host) {
      this.#handleServers(event.member);
    } else if (!this.#members.has(event.member.host)) {
      const { host, control, isSource } = event.member;
      this.#members.add(host);
      this.#log('member-up', { member: host, control, isSource });
    }
  }

  // Internals.

  #handleServers({ servers }: Member): void {
    const present = new Set(servers.map(({ address }) => address));
    for (const server of this.#states.keys()) {
      if (present.has(server)) continue;
      this.#states.delete(server);
      this.#log('server-state', { server, state: 'lapsed' });
    }
    for (const { address, instance, state, slots } of servers) {
      if (this.#states.get(address) === state) continue;
      this.#states.set(address, state);
      this.#log('server-state', { server: address, instance, state, slots });
    }
  }
}

/** Logs changes of the membership and of the local backend servers. */
import type { Address, HostId } from '../ids.js';
import type { Member, MembershipEvent, ServerState } from '../messages/index.js';
import type { Log } from './logger.js';

/** Writes a line for each member that joins or leaves, and for each state change of a local backend server. */
export class MembershipLog {
  readonly #host: HostId;
  readonly #log: Log;
  readonly #knownHosts = new Set<HostId>();
  readonly #serverStates = new Map<Address, ServerState>();

  constructor(host: HostId, log: Log) {
    this.#host = host;
    this.#log = log;
  }

  /** Handles one membership event. */
  handle(event: MembershipEvent): void {
    if (event.kind === 'broadcast') {
      const { kind, fingerprint, server } = event.item;
      this.#log(kind, { fingerprint, server });
    } else if (event.kind === 'member-gone') {
      this.#knownHosts.delete(event.host);
      this.#log('member-gone', { member: event.host });
    } else if (event.member.host === this.#host) {
      this.#handleServers(event.member);
    } else if (!this.#knownHosts.has(event.member.host)) {
      const { host, control, isSource } = event.member;
      this.#knownHosts.add(host);
      this.#log('member-up', { member: host, control, isSource });
    }
  }

  // Internals.

  #handleServers({ servers }: Member): void {
    const present = new Set(servers.map(({ address }) => address));
    for (const server of this.#serverStates.keys()) {
      if (present.has(server)) continue;
      this.#serverStates.delete(server);
      this.#log('server-state', { server, state: 'lapsed' });
    }
    for (const { address, instance, state, slots } of servers) {
      if (this.#serverStates.get(address) === state) continue;
      this.#serverStates.set(address, state);
      this.#log('server-state', { server: address, instance, state, slots });
    }
  }
}

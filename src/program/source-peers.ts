/** Where the other source hosts are reached, by other processes and by operators. */
import type { Address, HostId } from '../ids.js';
import { parseAddress, splitAddress } from '../ids.js';
import type { MemberEvent } from '../messages/index.js';

/** The other source hosts, as the members tell of them. */
export class SourcePeers {
  readonly #operatorPort: number;
  readonly #controls = new Map<HostId, Address>();
  #seeds: readonly Address[] = [];

  constructor(operator: Address) {
    this.#operatorPort = splitAddress(operator).port;
  }

  /** Takes in a change of the membership; tells whether the source hosts have changed. */
  apply(event: MemberEvent): boolean {
    if (event.kind === 'member-gone') return this.#controls.delete(event.host);
    const { host, control, isSource } = event.member;
    if (!isSource || this.#controls.get(host) === control) return false;
    this.#controls.set(host, control);
    return true;
  }

  /** Takes over the seeds of the settings. */
  updateSeeds(seeds: readonly Address[]): void {
    this.#seeds = seeds;
  }

  /** Lists the control addresses at which replicas may be found. */
  listControls(): Address[] {
    return [...new Set([...this.#controls.values(), ...this.#seeds])];
  }

  /** Where the settings name no address, operators reach every source host at the same port. */
  findOperator(host: HostId): Address | undefined {
    const control = this.#controls.get(host);
    if (control === undefined) return undefined;
    const ip = control.slice(0, control.lastIndexOf(':'));
    return parseAddress(`${ip}:${this.#operatorPort}`);
  }
}

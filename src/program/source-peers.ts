/** Control and operator addresses of the other source hosts. */
import type { Address, HostId } from '../ids.js';
import { parseAddress, splitAddress } from '../ids.js';
import type { MemberEvent } from '../messages/index.js';

/** The other source hosts, known from the membership and from the messages of their logs. */
export class SourcePeers {
  readonly #operatorPort: number;
  readonly #controlAddresses = new Map<HostId, Address>();
  readonly #senderAddresses = new Map<HostId, Address>();
  #seeds: readonly Address[] = [];

  constructor(operator: Address) {
    this.#operatorPort = splitAddress(operator).port;
  }

  /** Applies a membership event; returns whether the source hosts have changed. */
  apply(event: MemberEvent): boolean {
    if (event.kind === 'member-gone') return this.#controlAddresses.delete(event.host);
    const { host, control, isSource } = event.member;
    if (!isSource || this.#controlAddresses.get(host) === control) return false;
    this.#controlAddresses.set(host, control);
    return true;
  }

  /** Records the sender of a log message, which the membership may lack. */
  addSender(host: HostId, control: Address): void {
    this.#senderAddresses.set(host, control);
  }

  /** Replaces the configured seeds. */
  updateSeeds(seeds: readonly Address[]): void {
    this.#seeds = seeds;
  }

  /** Lists the control addresses of possible replicas. */
  listControlAddresses(): Address[] {
    return [...new Set([...this.#controlAddresses.values(), ...this.#seeds])];
  }

  /** Returns the control address of a source host. */
  findControlAddress(host: HostId): Address | undefined {
    return this.#controlAddresses.get(host) ?? this.#senderAddresses.get(host);
  }

  /**
   * Returns the operator address of a source host, on the assumption that all source hosts use the operator
   * port of this one.
   */
  findOperatorAddress(host: HostId): Address | undefined {
    const control = this.findControlAddress(host);
    if (control === undefined) return undefined;
    const ip = control.slice(0, control.lastIndexOf(':'));
    return parseAddress(`${ip}:${this.#operatorPort}`);
  }
}

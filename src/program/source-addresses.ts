/** Control addresses of the source hosts, as a proxy knows them. */
import type { Address, HostId } from '../ids.js';
import type { MemberEvent } from '../messages/index.js';

/** The source hosts of the settings and those that the membership knows. */
export class SourceAddresses {
  #configured: readonly Address[];
  readonly #members = new Map<HostId, Address>();

  constructor(configured: readonly Address[]) {
    this.#configured = configured;
  }

  /** Applies a membership event; returns whether the source hosts have changed. */
  apply(event: MemberEvent): boolean {
    if (event.kind === 'member-gone') return this.#members.delete(event.host);
    const { host, control, isSource } = event.member;
    if (!isSource || this.#members.get(host) === control) return false;
    this.#members.set(host, control);
    return true;
  }

  /** Replaces the addresses of the settings. */
  updateConfigured(configured: readonly Address[]): void {
    this.#configured = configured;
  }

  /** Lists all addresses. */
  list(): Address[] {
    return [...new Set([...this.#configured, ...this.#members.values()])];
  }
}

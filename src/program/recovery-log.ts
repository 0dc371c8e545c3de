/** Logs the steps by which a process comes to work, and the sources that it loses and finds again. */
import type { Clock } from '../clock.js';
import type { Address, HostId, Instant } from '../ids.js';
import type { LinkEvent, MembershipEvent } from '../messages/index.js';
import type { LogEvent } from './event-rates.js';
import type { Log, LogFields } from './logger.js';

/** What a recovery log needs. */
export interface RecoveryLogOptions {
  readonly host: HostId;
  readonly log: Log;
  readonly clock: Clock;
  /** Control addresses of sources that the settings name. */
  readonly sources: readonly Address[];
}

/** Writes each step with the time since the process started, so that a slow start can be timed. */
export class RecoveryLog {
  readonly #options: RecoveryLogOptions;
  readonly #startedAt: Instant;
  readonly #sources = new Map<HostId, Address>();
  readonly #linked = new Set<Address>();
  readonly #states = new Map<string, LogEvent>();

  constructor(options: RecoveryLogOptions) {
    this.#options = options;
    this.#startedAt = options.clock.read();
  }

  /** Writes a step. */
  report(event: LogEvent, fields: LogFields = {}): void {
    const sinceStartMs = Math.round(this.#options.clock.read() - this.#startedAt);
    this.#options.log(event, { ...fields, sinceStartMs });
  }

  /** Writes a step whose event names a state, unless `subject` is in that state already. */
  reportState(subject: string, event: LogEvent, fields: LogFields = {}): void {
    if (this.#states.get(subject) === event) return;
    this.#states.set(subject, event);
    this.report(event, fields);
  }

  /** Takes in one event of the membership. */
  handleMembership(event: MembershipEvent): void {
    if (event.kind === 'member-gone') this.#loseSource(event.host);
    if (event.kind !== 'member-up') return;
    const { host, control, isSource, liveness } = event.member;
    if (host === this.#options.host) return;
    if (!isSource || liveness === 'dead') {
      this.#loseSource(host);
      return;
    }
    if (this.#sources.get(host) === control) return;
    this.#sources.set(host, control);
    this.report('source-found', { source: host, control, isLinked: this.#linked.has(control) });
  }

  /** Takes in one event of the links. */
  handleLink(event: LinkEvent): void {
    if (event.kind === 'received') return;
    const { kind, address } = event;
    if (kind === 'link-up') this.#linked.add(address);
    else this.#linked.delete(address);
    if (!this.#isSource(address)) return;
    const name = kind === 'link-up' ? 'source-link-up' : 'source-link-down';
    this.report(name, { control: address });
  }

  // Internals.

  #loseSource(source: HostId): void {
    const control = this.#sources.get(source);
    if (control === undefined) return;
    this.#sources.delete(source);
    this.report('source-lost', { source, control });
  }

  #isSource(address: Address): boolean {
    if (this.#options.sources.includes(address)) return true;
    return [...this.#sources.values()].includes(address);
  }
}

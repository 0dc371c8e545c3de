/** Logs the steps of the start of a process, and the sources that it loses and finds again. */
import type { Clock } from '../clock.js';
import type { Address, HostId, Instant } from '../ids.js';
import type { LinkEvent, MembershipEvent } from '../messages/index.js';
import type { LogEvent } from './event-rates.js';
import type { Log, LogFields } from './logger.js';

/** Options of a {@link RecoveryLog}. */
export interface RecoveryLogOptions {
  readonly host: HostId;
  readonly log: Log;
  readonly clock: Clock;
  /** Control addresses of the configured sources. */
  readonly sources: readonly Address[];
}

/**
 * Writes each step with the time since the process started, so that the log shows where a slow start spends
 * its time.
 */
export class RecoveryLog {
  readonly #options: RecoveryLogOptions;
  readonly #startedAt: Instant;
  readonly #memberSources = new Map<HostId, Address>();
  readonly #linkedAddresses = new Set<Address>();
  readonly #lastStateEvents = new Map<string, LogEvent>();

  constructor(options: RecoveryLogOptions) {
    this.#options = options;
    this.#startedAt = options.clock.read();
  }

  /** Writes a line for a step. */
  report(event: LogEvent, fields: LogFields = {}): void {
    const sinceStartMs = Math.round(this.#options.clock.read() - this.#startedAt);
    this.#options.log(event, { ...fields, sinceStartMs });
  }

  /** Writes a line for a state change, unless `event` is also the last state reported for `subject`. */
  reportState(subject: string, event: LogEvent, fields: LogFields = {}): void {
    if (this.#lastStateEvents.get(subject) === event) return;
    this.#lastStateEvents.set(subject, event);
    this.report(event, fields);
  }

  /** Handles one membership event. */
  handleMembership(event: MembershipEvent): void {
    if (event.kind === 'member-gone') this.#removeSource(event.host);
    if (event.kind !== 'member-up') return;
    const { host, control, isSource, liveness } = event.member;
    if (host === this.#options.host) return;
    if (!isSource || liveness === 'dead') {
      this.#removeSource(host);
      return;
    }
    if (this.#memberSources.get(host) === control) return;
    this.#memberSources.set(host, control);
    this.report('source-found', {
      source: host,
      control,
      isLinked: this.#linkedAddresses.has(control),
    });
  }

  /** Handles one link event. */
  handleLink(event: LinkEvent): void {
    if (event.kind === 'received') return;
    const { kind, address } = event;
    if (kind === 'link-up') this.#linkedAddresses.add(address);
    else this.#linkedAddresses.delete(address);
    if (!this.#isSource(address)) return;
    const name = kind === 'link-up' ? 'source-link-up' : 'source-link-down';
    this.report(name, { control: address });
  }

  // Internals.

  #removeSource(source: HostId): void {
    const control = this.#memberSources.get(source);
    if (control === undefined) return;
    this.#memberSources.delete(source);
    this.report('source-lost', { source, control });
  }

  #isSource(address: Address): boolean {
    if (this.#options.sources.includes(address)) return true;
    return [...this.#memberSources.values()].includes(address);
  }
}

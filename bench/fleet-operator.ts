/** A stand-in for operators, which propose commands at whoever leads and read them back from whoever answers. */
import type { HostId, Instant } from '../src/ids.js';
import type { LogNotice } from '../src/messages/index.js';
import type { Random } from '../src/random.js';
import type { FleetHost, SourceFleet } from './source-fleet.js';

/** A command that is not acknowledged yet. */
export interface PendingCommand {
  readonly command: string;
  readonly sentAt: Instant;
}

/** Proposes one command at a time until it is acknowledged, and reads all the while. */
export class FleetOperator {
  /** The acknowledged commands, oldest first. */
  readonly acknowledged: string[] = [];
  pending: PendingCommand | undefined;
  /** When the last read that was sent so late succeeded. */
  lastReadSentAt = 0 as Instant;
  readonly #fleet: SourceFleet;
  readonly #random: Random;
  #leader: HostId | undefined;
  #staleRead: string | undefined;
  #count = 0;

  constructor(fleet: SourceFleet, random: Random) {
    this.#fleet = fleet;
    this.#random = random;
  }

  /** What a read lacked, if one was stale. */
  get staleRead(): string | undefined {
    return this.#staleRead;
  }

  start(): void {
    this.#proposeNext();
    this.#read();
  }

  // Internals.

  #pickHost(): FleetHost {
    const { hosts } = this.#fleet;
    return hosts.find(({ host }) => host === this.#leader) ?? this.#random.pick(hosts);
  }

  #proposeNext(): void {
    this.#count += 1;
    const { now, options } = this.#fleet;
    const command = `command-${this.#count}`.padEnd(options.commandLength, '.');
    this.pending = { command, sentAt: now };
    this.#propose(this.pending);
  }

  /** Proposes a command; a host that does not answer in time is given up for another one. */
  #propose(pending: PendingCommand): void {
    let isDecided = false;
    const tryAgain = (delayMs: number): void => {
      if (isDecided) return;
      isDecided = true;
      this.#fleet.network.runLater(delayMs, () => {
        if (this.pending === pending) this.#propose(pending);
      });
    };
    this.#fleet.request(this.#pickHost(), pending.command, (_, notice) => {
      if (notice.kind === 'committed') this.#handleAcknowledged(pending);
      this.#updateLeader(notice);
      tryAgain(RETRY_MS);
    });
    this.#fleet.network.runLater(ATTEMPT_MS, () => {
      if (!isDecided) this.#leader = undefined;
      tryAgain(0);
    });
  }

  #handleAcknowledged(pending: PendingCommand): void {
    if (this.pending !== pending) return;
    this.acknowledged.push(pending.command);
    this.pending = undefined;
    const { network } = this.#fleet;
    network.runLater(this.#random.next() * MAX_PAUSE_MS, () => {
      this.#proposeNext();
    });
  }

  #read(): void {
    const { network, now } = this.#fleet;
    const expected = [...this.acknowledged];
    this.#fleet.request(this.#random.pick(this.#fleet.hosts), undefined, (process, notice) => {
      this.#updateLeader(notice);
      if (notice.kind !== 'confirmed') return;
      if (now > this.lastReadSentAt) this.lastReadSentAt = now;
      const lacking = expected.filter((command) => !process.applied.has(command));
      if (lacking.length > 0) this.#staleRead ??= `${process.host} lacks ${lacking.join(' ')}`;
    });
    network.runLater(READ_INTERVAL_MS, () => {
      this.#read();
    });
  }

  #updateLeader(notice: LogNotice<string>): void {
    if (notice.kind !== 'refused') return;
    const { refusal } = notice;
    this.#leader = refusal.kind === 'not-leader' ? refusal.leader : undefined;
  }
}

// Internals.

const ATTEMPT_MS = 500;
const RETRY_MS = 50;
const MAX_PAUSE_MS = 400;
const READ_INTERVAL_MS = 50;

/** One life of a simulated process. */
import { addMs } from '../src/clock.js';
import type { Address, HostId, Instant } from '../src/ids.js';
import type { LogMessage, ProbeMessage, SyncMessage } from '../src/messages/index.js';
import { FleetLinks } from './fleet-links.js';
import type { FleetNetwork } from './fleet-network.js';

/** A message on a link, by its channel. */
export type FleetMessage =
  | { readonly channel: 'members'; readonly body: SyncMessage }
  | { readonly channel: 'log'; readonly from: HostId; readonly message: LogMessage<string> };

/** Runs actions of a process in order. A frozen process runs them when it wakes; one that has ended, never. */
export abstract class FleetProcess {
  readonly address: Address;
  readonly network: FleetNetwork;
  readonly links: FleetLinks;
  readonly #clockOffsetMs: number;
  #hasEnded = false;
  #isFrozen = false;
  /** Until when the process works on what it has begun, in the time of the network. */
  #busyUntil = 0 as Instant;
  #waiting: (() => void)[] = [];

  constructor(address: Address, network: FleetNetwork, clockOffsetMs: number) {
    this.address = address;
    this.network = network;
    this.#clockOffsetMs = clockOffsetMs;
    this.links = new FleetLinks(this);
  }

  abstract start(): void;
  abstract handleDatagram(from: Address, message: ProbeMessage): void;
  abstract handlePacket(from: Address, message: FleetMessage): void;

  /** The time on the clock of the host, which is not that of other hosts. */
  get now(): Instant {
    return addMs(this.network.now, this.#clockOffsetMs);
  }

  /** Whether the process runs and is not frozen. */
  get isActive(): boolean {
    return !this.#hasEnded && !this.#isFrozen;
  }

  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Runs an action at once, or when the process wakes or has done what it has begun. */
  run(action: () => void): void {
    if (this.#hasEnded) return;
    this.#waiting.push(action);
    if (this.#waiting.length === 1) this.#runWaiting();
  }

  /** Lets the action that runs now take some time, in which the process does nothing else. */
  addWork(milliseconds: number): void {
    if (milliseconds <= 0) return;
    const { now, queue } = this.network;
    this.#busyUntil = addMs(Math.max(now, this.#busyUntil) as Instant, milliseconds);
    queue.addEvent(this.#busyUntil, () => {
      this.#runWaiting();
    });
  }

  /** Runs an action at an instant of the host's clock, or when the process wakes after it. */
  runAt(at: Instant, action: () => void): void {
    this.network.queue.addEvent(at - this.#clockOffsetMs + TIMER_DELAY_MS, () => {
      this.run(action);
    });
  }

  freeze(): void {
    this.#isFrozen = true;
  }

  thaw(): void {
    this.#isFrozen = false;
    this.#runWaiting();
  }

  /** Ends the process without a word of its own. With power, the machine closes its connections. */
  end(hasPower: boolean): void {
    this.#hasEnded = true;
    this.#waiting = [];
    this.links.stop(hasPower);
  }

  // Internals.

  #runWaiting(): void {
    for (;;) {
      const [action] = this.#waiting;
      const isBusy = this.network.now < this.#busyUntil;
      if (action === undefined || this.#isFrozen || isBusy) return;
      action();
      this.#waiting.shift();
    }
  }
}

// Internals.

/** Timers fire shortly after their deadline, never before it. */
const TIMER_DELAY_MS = 0.01;

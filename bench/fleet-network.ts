/** A simulated network between machines, in virtual time: delays, loss, cuts and machines without power. */
import { addMs } from '../src/clock.js';
import type { Address, Instant } from '../src/ids.js';
import type { ProbeMessage } from '../src/messages/index.js';
import type { Random } from '../src/random.js';
import type { EventQueue } from './event-queue.js';
import type { FleetProcess } from './fleet-process.js';

/** A machine, as the network sees it. */
interface NetworkMachine {
  process: FleetProcess | undefined;
  /** Without power nothing is answered; a machine with power refuses what no process listens to. */
  isPowered: boolean;
}

/** Two groups of addresses that are cut off from each other. */
interface NetworkCut {
  readonly one: ReadonlySet<Address>;
  readonly other: ReadonlySet<Address>;
}

/** Carries datagrams, and decides which segments of links arrive. */
export class FleetNetwork {
  /** The probability that a datagram is lost. */
  datagramLoss = 0;
  /** Returns whether all datagrams from one address to another are lost. */
  losesDatagrams: (from: Address, to: Address) => boolean = () => false;
  /** The probability that a segment of a link is lost and sent again. */
  segmentLoss = 0;
  readonly queue: EventQueue;
  readonly random: Random;
  readonly #machines = new Map<Address, NetworkMachine>();
  readonly #cuts = new Set<NetworkCut>();

  constructor(queue: EventQueue, random: Random) {
    this.queue = queue;
    this.random = random;
  }

  get now(): Instant {
    return this.queue.now;
  }

  /** Sets the process that listens at an address, and whether its machine has power. */
  updateMachine(address: Address, process: FleetProcess | undefined, isPowered = true): void {
    this.#machines.set(address, { process, isPowered });
  }

  /** Finds the process that listens at an address. */
  findProcess(address: Address): FleetProcess | undefined {
    return this.#machines.get(address)?.process;
  }

  /** Returns whether there is a machine with power at an address. */
  isPowered(address: Address): boolean {
    return this.#machines.get(address)?.isPowered === true;
  }

  /** Cuts two groups of addresses off from each other. Returns a function that ends the cut. */
  cut(one: readonly Address[], other: readonly Address[]): () => void {
    const cut = { one: new Set(one), other: new Set(other) };
    this.#cuts.add(cut);
    return () => this.#cuts.delete(cut);
  }

  /** Returns whether two addresses are cut off from each other. */
  isCut(one: Address, other: Address): boolean {
    for (const cut of this.#cuts) {
      if (cut.one.has(one) && cut.other.has(other)) return true;
      if (cut.one.has(other) && cut.other.has(one)) return true;
    }
    return false;
  }

  /** Returns whether a segment that is sent now is lost. */
  isSegmentLost(from: Address, to: Address): boolean {
    return this.isCut(from, to) || this.random.next() < this.segmentLoss;
  }

  /** Picks the time that a datagram or segment takes. */
  pickDelay(): number {
    return MIN_DELAY_MS + this.random.next() * (MAX_DELAY_MS - MIN_DELAY_MS);
  }

  /** Runs an action after a delay. */
  runLater(delayMs: number, action: () => void): void {
    this.queue.addEvent(addMs(this.now, delayMs), action);
  }

  /** Sends a datagram, which arrives late, or not at all. */
  sendDatagram(from: Address, to: Address, message: ProbeMessage): void {
    const isLost = this.random.next() < this.datagramLoss || this.losesDatagrams(from, to);
    if (isLost || this.isCut(from, to)) return;
    this.runLater(this.pickDelay(), () => {
      const process = this.findProcess(to);
      process?.run(() => {
        process.handleDatagram(from, message);
      });
    });
  }
}

// Internals.

const MIN_DELAY_MS = 0.2;
const MAX_DELAY_MS = 5;

/** One end of a simulated connection: ordered, and reliable while both ends run. */
import { NEVER } from '../src/clock.js';
import type { Instant } from '../src/ids.js';
import { ConnectionProbes } from '../src/edge/connection-probes.js';
import type { LinkPacket } from '../src/edge/link-codec.js';
import type { FleetLink, FleetLinks } from './fleet-links.js';
import type { FleetMessage } from './fleet-process.js';

/** A packet that is not encoded. */
export interface FleetPacket extends LinkPacket {
  readonly body: FleetMessage;
}

type Segment = { readonly readyAt: Instant } & (
  | { readonly kind: 'packet'; readonly packet: FleetPacket }
  | { readonly kind: 'probe' | 'answer'; readonly number: number }
  | { readonly kind: 'end' }
);

type SegmentBody = Segment extends infer One
  ? One extends Segment
    ? Omit<One, 'readyAt'>
    : never
  : never;

/** Sends segments in order; one that is lost is sent again, and those after it wait. */
export class FleetConnection {
  peer: FleetConnection | undefined;
  readonly #links: FleetLinks;
  readonly #link: FleetLink;
  readonly #probes: ConnectionProbes;
  #segments: Segment[] = [];
  #lostInARow = 0;
  #isTransmitting = false;
  #isOpen = true;
  #checkAt: Instant = NEVER;

  constructor(links: FleetLinks, link: FleetLink) {
    this.#links = links;
    this.#link = link;
    this.#probes = new ConnectionProbes(link.patience, links.process.now);
  }

  get isSilent(): boolean {
    return this.#probes.isSilent;
  }

  send(packet: FleetPacket): void {
    this.#add({ kind: 'packet', packet });
    this.#probes.addPacket(packet);
    this.#sendProbe();
  }

  removeUnacknowledged(): FleetPacket[] {
    return this.#probes.removeUnacknowledged() as FleetPacket[];
  }

  /** Ends the connection. With power the other end learns of it, without power it must find out. */
  stop(hasPower: boolean): void {
    if (!this.#isOpen) return;
    this.#isOpen = false;
    if (hasPower) this.#add({ kind: 'end' });
    else this.#segments = [];
  }

  // Internals.

  #add(body: SegmentBody): void {
    const { network } = this.#links.process;
    const readyAt = (network.now + network.pickDelay()) as Instant;
    this.#segments.push({ ...body, readyAt });
    this.#transmitLater(readyAt);
  }

  #transmitLater(at: number): void {
    if (this.#isTransmitting) return;
    this.#isTransmitting = true;
    this.#links.process.network.queue.addEvent(at, () => {
      this.#isTransmitting = false;
      this.#transmit();
    });
  }

  #transmit(): void {
    const { network, address } = this.#links.process;
    const segment = this.#segments[0];
    if (segment === undefined || this.peer === undefined) return;
    const isLost = network.isSegmentLost(address, this.#link.address);
    if (isLost || !network.isPowered(this.#link.address)) {
      this.#transmitLater(network.now + SEGMENT_RETRY_MS * 2 ** this.#lostInARow);
      this.#lostInARow += 1;
      return;
    }
    this.#lostInARow = 0;
    if (!this.peer.#isOpen) {
      this.#reset();
      return;
    }
    this.#segments.shift();
    const { peer } = this;
    peer.#links.process.run(() => {
      peer.#handle(segment);
    });
    const next = this.#segments[0];
    if (next !== undefined) this.#transmitLater(Math.max(network.now, next.readyAt));
  }

  /** Ends a connection whose other end is gone. */
  #reset(): void {
    this.#segments = [];
    this.#links.process.run(() => {
      this.#close();
    });
  }

  #close(): void {
    if (!this.#isOpen) return;
    this.#isOpen = false;
    this.#links.handleClosed(this.#link, this);
  }

  #handle(segment: Segment): void {
    if (!this.#isOpen) return;
    switch (segment.kind) {
      case 'packet':
        this.#links.process.handlePacket(this.#link.address, segment.packet.body);
        return;
      case 'probe':
        this.#add({ kind: 'answer', number: segment.number });
        return;
      case 'answer':
        this.#handleAnswer(segment.number);
        return;
      case 'end':
        this.#close();
    }
  }

  #handleAnswer(number: number): void {
    const wasSilent = this.isSilent;
    this.#probes.handleAnswer(number);
    this.#sendProbe();
    if (wasSilent) this.#links.handleRecovered(this.#link);
  }

  #sendProbe(): void {
    const number = this.#probes.decideProbe(this.#links.process.now);
    if (number !== undefined) this.#add({ kind: 'probe', number });
    this.#checkLater();
  }

  #checkLater(): void {
    const { deadline } = this.#probes;
    if (deadline >= this.#checkAt) return;
    this.#checkAt = deadline;
    this.#links.process.runAt(deadline, () => {
      if (this.#checkAt === deadline) this.#check();
    });
  }

  #check(): void {
    this.#checkAt = NEVER;
    if (!this.#isOpen) return;
    if (this.#probes.updateSilence(this.#links.process.now)) {
      this.#links.handleSilence(this.#link);
      return;
    }
    this.#sendProbe();
  }
}

// Internals.

/** The minimum retransmission timeout of Linux. */
const SEGMENT_RETRY_MS = 200;

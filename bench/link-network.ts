/** The links of hosts: their bandwidth, their delay, and what they lose. */
import { Transform } from 'node:stream';
import type { TransformCallback } from 'node:stream';
import { setTimeout as wait } from 'node:timers/promises';
import type { Random } from '../src/random.js';

/** The bandwidth and the delay of every host's link in a {@link LinkNetwork}. */
export interface LinkCapacity {
  /** In each direction; `Infinity` for no limit. */
  readonly bytesPerSecond: number;
  readonly delayMs: number;
}

/**
 * What a link does to what it carries, beside its bandwidth and delay.
 *
 * Override all three to describe how a link fails; TCP hides a loss as a delay.
 */
export abstract class LinkConditions {
  /** Picks the extra delay in milliseconds of one segment of a connection. */
  abstract pickSegmentDelayMs(): number;

  /** Picks the extra delay in milliseconds until a new connection is open. */
  abstract pickOpenDelayMs(): number;

  /** Picks whether a datagram is lost. */
  abstract pickDatagramLoss(): boolean;
}

/** A link that loses nothing. */
export class SoundConditions extends LinkConditions {
  override pickSegmentDelayMs(): number {
    return 0;
  }

  override pickOpenDelayMs(): number {
    return 0;
  }

  override pickDatagramLoss(): boolean {
    return false;
  }
}

/** A link that loses a share of all packets; connections retransmit with doubling timeouts. */
export class LossyConditions extends LinkConditions {
  readonly #random: Random;
  readonly #lossShare: number;

  constructor(random: Random, lossShare: number) {
    super();
    this.#random = random;
    this.#lossShare = lossShare;
  }

  override pickSegmentDelayMs(): number {
    return this.#pickDelayMs(FIRST_RETRANSMISSION_MS);
  }

  override pickOpenDelayMs(): number {
    return this.#pickDelayMs(FIRST_SYN_RETRANSMISSION_MS);
  }

  override pickDatagramLoss(): boolean {
    return this.#random.next() < this.#lossShare;
  }

  // Internals.

  #pickDelayMs(firstMs: number): number {
    let delayMs = 0;
    let timeoutMs = firstMs;
    for (let losses = 0; losses < MAX_LOSSES && this.pickDatagramLoss(); losses += 1) {
      delayMs += timeoutMs;
      timeoutMs *= 2;
    }
    return delayMs;
  }
}

/** One direction of a host's link: a queue that is emptied at the link's bandwidth. */
export class LinkQueue {
  readonly #bytesPerSecond: number;
  #freeAt = 0;

  constructor(bytesPerSecond: number) {
    this.#bytesPerSecond = bytesPerSecond;
  }

  /** Adds bytes and returns the instant at which the last of them has left the queue. */
  add(bytes: number, now: number): number {
    this.#freeAt = Math.max(now, this.#freeAt) + (bytes * MS_PER_SECOND) / this.#bytesPerSecond;
    return this.#freeAt;
  }

  /** Returns for how many milliseconds a byte waits that is added now. */
  readWaitMs(now: number): number {
    return Math.max(0, this.#freeAt - now);
  }

  /** Adds other traffic until a byte that is added now waits for `waitMs`. */
  fill(waitMs: number, now: number): void {
    this.#freeAt = Math.max(now + waitMs, this.#freeAt);
  }
}

/** The link of one host. */
export class HostLink {
  readonly up: LinkQueue;
  readonly down: LinkQueue;
  conditions: LinkConditions = new SoundConditions();

  constructor(bytesPerSecond: number) {
    this.up = new LinkQueue(bytesPerSecond);
    this.down = new LinkQueue(bytesPerSecond);
  }
}

/** The links of all hosts, by IP address. A host's connections share its link. */
export class LinkNetwork {
  readonly #capacity: LinkCapacity;
  readonly #links = new Map<string, HostLink>();

  constructor(capacity: LinkCapacity) {
    this.#capacity = capacity;
  }

  /** Returns the link of the host with this IP address. */
  findLink(ip: string): HostLink {
    const known = this.#links.get(ip);
    if (known !== undefined) return known;
    const link = new HostLink(this.#capacity.bytesPerSecond);
    this.#links.set(ip, link);
    return link;
  }

  /** Returns a stream that delivers the bytes of a connection as the links of both hosts do. */
  createStream(from: string, to: string): Transform {
    return new LinkStream(this.findLink(from), this.findLink(to), this.#capacity.delayMs);
  }

  /** Picks the extra delay in milliseconds until a connection between two hosts is open. */
  pickOpenDelayMs(from: string, to: string): number {
    const { conditions } = this.findLink(from);
    return conditions.pickOpenDelayMs() + this.findLink(to).conditions.pickOpenDelayMs();
  }

  /** Delivers a datagram, unless a link loses it. */
  async sendDatagram(from: string, to: string, bytes: number, deliver: () => void): Promise<void> {
    const [sender, receiver] = [this.findLink(from), this.findLink(to)];
    if (sender.conditions.pickDatagramLoss() || receiver.conditions.pickDatagramLoss()) return;
    await waitUntil(sender.up.add(bytes, Date.now()) + this.#capacity.delayMs);
    await waitUntil(receiver.down.add(bytes, Date.now()));
    deliver();
  }
}

// Internals.

const MS_PER_SECOND = 1_000;
const SEGMENT_BYTES = 4_096;
/** What a connection may have in flight, like a congestion window. */
const WINDOW_BYTES = 32_768;
/** The minimum retransmission timeouts of Linux: established and opening connections. */
const FIRST_RETRANSMISSION_MS = 200;
const FIRST_SYN_RETRANSMISSION_MS = 1_000;
const MAX_LOSSES = 3;

/** One direction of a connection: delivers in order and reads no more than a window ahead. */
class LinkStream extends Transform {
  readonly #from: HostLink;
  readonly #to: HostLink;
  readonly #delayMs: number;
  #delivered: Promise<void> = Promise.resolve();
  #inFlightBytes = 0;
  #readOn: TransformCallback | undefined;

  constructor(from: HostLink, to: HostLink, delayMs: number) {
    super();
    this.#from = from;
    this.#to = to;
    this.#delayMs = delayMs;
  }

  override _transform(chunk: Buffer, _encoding: BufferEncoding, done: TransformCallback): void {
    for (let start = 0; start < chunk.length; start += SEGMENT_BYTES) {
      this.#sendSegment(chunk.subarray(start, start + SEGMENT_BYTES));
    }
    if (this.#inFlightBytes < WINDOW_BYTES) done();
    else this.#readOn = done;
  }

  override _flush(done: TransformCallback): void {
    void this.#delivered.then(() => {
      done();
    });
  }

  // Internals.

  #sendSegment(segment: Buffer): void {
    const { length } = segment;
    const [from, to] = [this.#from, this.#to];
    const lossMs = from.conditions.pickSegmentDelayMs() + to.conditions.pickSegmentDelayMs();
    const crossesAt = from.up.add(length, Date.now()) + this.#delayMs + lossMs;
    this.#inFlightBytes += length;
    this.#delivered = this.#delivered.then(async () => {
      await waitUntil(crossesAt);
      await waitUntil(to.down.add(length, Date.now()));
      if (!this.destroyed) this.push(segment);
      this.#inFlightBytes -= length;
      this.#continueReading();
    });
  }

  #continueReading(): void {
    if (this.#inFlightBytes >= WINDOW_BYTES) return;
    const readOn = this.#readOn;
    this.#readOn = undefined;
    readOn?.();
  }
}

async function waitUntil(at: number): Promise<void> {
  const remainingMs = at - Date.now();
  if (remainingMs > 0) await wait(remainingMs);
}

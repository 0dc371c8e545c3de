/** The links of a simulated process, which dial, wait and replace silent connections as the link task does. */
import { addMs } from '../src/clock.js';
import type { CancelTimer } from '../src/clock.js';
import type { Address } from '../src/ids.js';
import { AnswerPatience } from '../src/edge/answer-patience.js';
import type { FleetPacket } from './fleet-connection.js';
import { FleetConnection } from './fleet-connection.js';
import type { FleetMessage, FleetProcess } from './fleet-process.js';

/** A connection that is being opened. */
interface Dial {
  readonly link: FleetLink;
  /** The connections that it replaces once it is open. */
  readonly replaced: readonly FleetConnection[];
  /** Whether the other machine has received the first segment. */
  isAnswered: boolean;
  isDone: boolean;
}

/** The link to one address. */
export interface FleetLink {
  readonly address: Address;
  readonly patience: AnswerPatience;
  connections: readonly FleetConnection[];
  waiting: FleetPacket[];
  dialling: Dial | undefined;
  cancelRetry: CancelTimer | undefined;
  attempts: number;
}

/** Sends packets over connections that either side has dialled. */
export class FleetLinks {
  readonly process: FleetProcess;
  readonly #links = new Map<Address, FleetLink>();

  constructor(process: FleetProcess) {
    this.process = process;
  }

  /** Sends a packet; it may be lost if a dial fails or a connection breaks. */
  send(to: Address, body: FleetMessage): void {
    const packet = { channel: 'log', bytes: NO_BYTES, body } as const;
    const link = this.#findLink(to);
    const current = findCurrent(link);
    if (current === undefined) link.waiting.push(packet);
    else current.send(packet);
    this.#dialIfNeeded(link);
  }

  /** Handles a connection that the other side has closed. */
  handleClosed(link: FleetLink, closed: FleetConnection): void {
    if (!link.connections.includes(closed)) return;
    link.connections = link.connections.filter((one) => one !== closed);
    this.#handleLoss(link, closed);
  }

  /** Replaces a connection that has become silent. */
  handleSilence(link: FleetLink): void {
    if (link.dialling === undefined) this.#dial(link);
  }

  /** Handles the late answer of a silent connection, which needs no replacement. */
  handleRecovered(link: FleetLink): void {
    link.cancelRetry?.();
    link.cancelRetry = undefined;
    if (link.dialling !== undefined) this.#handleFailedDial(link.dialling);
  }

  /** Ends all connections of a process that ends. */
  stop(hasPower: boolean): void {
    for (const link of this.#links.values()) {
      link.cancelRetry?.();
      if (link.dialling !== undefined) link.dialling.isDone = true;
      for (const connection of link.connections) connection.stop(hasPower);
    }
    this.#links.clear();
  }

  // Internals.

  #findLink(address: Address): FleetLink {
    const known = this.#links.get(address);
    if (known !== undefined) return known;
    const link: FleetLink = {
      address,
      patience: new AnswerPatience(),
      connections: [],
      waiting: [],
      dialling: undefined,
      cancelRetry: undefined,
      attempts: 0,
    };
    this.#links.set(address, link);
    return link;
  }

  #dialIfNeeded(link: FleetLink): void {
    if (link.dialling !== undefined || link.cancelRetry !== undefined) return;
    if (needsConnection(link)) this.#dial(link);
  }

  #dial(link: FleetLink): void {
    link.cancelRetry?.();
    link.cancelRetry = undefined;
    const dial: Dial = { link, replaced: link.connections, isAnswered: false, isDone: false };
    link.dialling = dial;
    this.process.runAt(addMs(this.process.now, DIAL_TIMEOUT_MS), () => {
      this.#handleFailedDial(dial);
    });
    this.#sendFirstSegment(dial, FIRST_SEGMENT_RETRY_MS);
  }

  /** Sends the first segment again for as long as nobody answers, as a machine without power doesn't. */
  #sendFirstSegment(dial: Dial, retryMs: number): void {
    if (dial.isDone) return;
    const { network, address } = this.process;
    network.runLater(retryMs, () => {
      if (!dial.isAnswered) this.#sendFirstSegment(dial, 2 * retryMs);
    });
    if (network.isSegmentLost(address, dial.link.address)) return;
    network.runLater(network.pickDelay(), () => {
      this.#handleFirstSegment(dial);
    });
  }

  /** A machine without a process refuses the dial. */
  #handleFirstSegment(dial: Dial): void {
    const { network } = this.process;
    const { address } = dial.link;
    if (dial.isDone || dial.isAnswered || !network.isPowered(address)) return;
    dial.isAnswered = true;
    const listener = network.findProcess(address);
    if (listener === undefined) {
      network.runLater(network.pickDelay(), () => {
        this.process.run(() => {
          this.#handleFailedDial(dial);
        });
      });
      return;
    }
    listener.run(() => {
      this.#answerDial(dial, listener);
    });
  }

  #answerDial(dial: Dial, listener: FleetProcess): void {
    const { network, address } = this.process;
    const resendMs = network.isSegmentLost(listener.address, address) ? SEGMENT_RETRY_MS : 0;
    network.runLater(resendMs + HANDSHAKE_SEGMENTS * network.pickDelay(), () => {
      if (dial.isDone || listener.hasEnded || this.process.hasEnded) return;
      if (network.isCut(address, listener.address)) return;
      dial.isDone = true;
      const remote = listener.links.#findLink(address);
      const own = new FleetConnection(this, dial.link);
      const accepted = new FleetConnection(listener.links, remote);
      own.peer = accepted;
      accepted.peer = own;
      this.process.run(() => {
        if (dial.link.dialling === dial) dial.link.dialling = undefined;
        this.#addConnection(dial.link, own, dial.replaced);
      });
      listener.run(() => {
        listener.links.#addConnection(remote, accepted, []);
      });
    });
  }

  #addConnection(
    link: FleetLink,
    connection: FleetConnection,
    replaced: readonly FleetConnection[],
  ): void {
    // The link may have been forgotten while the connection was opened.
    this.#links.set(link.address, link);
    link.connections = [...link.connections, connection];
    link.attempts = 0;
    const unacknowledged = replaced.flatMap((one) => one.removeUnacknowledged());
    for (const packet of [...unacknowledged, ...link.waiting.splice(0)]) connection.send(packet);
    for (const one of replaced) {
      one.stop(true);
      link.connections = link.connections.filter((other) => other !== one);
    }
  }

  #handleFailedDial(dial: Dial): void {
    if (dial.isDone) return;
    dial.isDone = true;
    if (dial.link.dialling === dial) dial.link.dialling = undefined;
    this.#handleLoss(dial.link, undefined);
  }

  /** Drops what waits if no connection is left; otherwise sends again what was not acknowledged. */
  #handleLoss(link: FleetLink, closed: FleetConnection | undefined): void {
    if (link.connections.length > 0) {
      this.#sendUndelivered(link, closed);
      this.#retryLater(link);
      return;
    }
    link.waiting = [];
    if (link.dialling === undefined && this.#links.get(link.address) === link) {
      this.#links.delete(link.address);
    }
  }

  #sendUndelivered(link: FleetLink, closed: FleetConnection | undefined): void {
    const current = findCurrent(link);
    if (current === undefined || current.isSilent) return;
    const silent = link.connections.filter(({ isSilent }) => isSilent);
    for (const one of closed === undefined ? silent : [closed, ...silent]) {
      for (const packet of one.removeUnacknowledged()) current.send(packet);
    }
  }

  #retryLater(link: FleetLink): void {
    if (link.cancelRetry !== undefined || !needsConnection(link)) return;
    const { now, network } = this.process;
    const maxDelayMs = Math.min(MAX_RETRY_DELAY_MS, BASE_RETRY_DELAY_MS * 2 ** link.attempts);
    link.attempts += 1;
    let isCancelled = false;
    link.cancelRetry = () => {
      isCancelled = true;
    };
    this.process.runAt(addMs(now, network.random.next() * maxDelayMs), () => {
      if (isCancelled) return;
      link.cancelRetry = undefined;
      this.#dialIfNeeded(link);
    });
  }
}

// Internals.

/** As in the link task. */
const DIAL_TIMEOUT_MS = 2_000;
const BASE_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 5_000;
/** The initial retransmission timeout of TCP (RFC 6298). */
const FIRST_SEGMENT_RETRY_MS = 1_000;
/** The minimum retransmission timeout of Linux. */
const SEGMENT_RETRY_MS = 200;
/** The segments of the upgrade to WebSocket and of the hello. */
const HANDSHAKE_SEGMENTS = 3;
const NO_BYTES = Buffer.alloc(0);

function findCurrent({ connections }: FleetLink): FleetConnection | undefined {
  return connections.findLast(({ isSilent }) => !isSilent) ?? connections.at(-1);
}

function needsConnection(link: FleetLink): boolean {
  return findCurrent(link)?.isSilent ?? true;
}

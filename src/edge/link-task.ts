/** Links: the `ws` connections between the processes of the system. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Stream } from 'most';
import { WebSocket, WebSocketServer } from 'ws';
import type { CancelTimer, Clock } from '../clock.js';
import { addMs } from '../clock.js';
import type { Address, HostId, Instant } from '../ids.js';
import { splitAddress } from '../ids.js';
import type { Channel, LinkCommand, LinkEvent } from '../messages/index.js';
import type { ReportFailure } from '../pipe/index.js';
import { Task } from '../pipe/index.js';
import type { Random } from '../random.js';
import type { Frame, Hello } from './link-codec.js';
import { decodeFrame, encodeHello, MAX_FRAME_BYTES, MessageEncoder } from './link-codec.js';

/** Bytes that went over links on one channel. */
export interface ChannelBytes {
  sent: number;
  received: number;
}

/** What a link task needs. */
export interface LinkOptions {
  readonly host: HostId;
  /** Where other processes reach this one. */
  readonly control: Address;
  /** Where this process listens; its IP number is also the origin of the links that it dials. */
  readonly bind: Address;
  readonly clock: Clock;
  readonly random: Random;
  readonly reportFailure: ReportFailure;
  /** Receives every event; it must hand it on to the inbox of another task. */
  readonly notify: (event: LinkEvent) => void;
  /** Hears why a frame could not be read, for which its peer is cut off. */
  readonly notifyRejected: (from: Address, reason: string) => void;
  /** Hears of the bytes of each message that is sent; like `notify`, it must hand them on. */
  readonly notifySent?: (bytes: number) => void;
}

/** What an open connection waits for. */
interface LinkDeadlines {
  /** A ping is sent when nothing has been heard by then. */
  readonly pingAt: Instant;
  /** The connection is ended when nothing has been heard by then. */
  readonly silentAt: Instant;
}

/** One address and how to reach it. */
interface Route {
  /** The open connection, by whichever side it was dialled. */
  socket: WebSocket | undefined;
  dialling: WebSocket | undefined;
  /** Messages that wait for the connection. */
  waiting: { channel: Channel; bytes: Buffer }[];
  /** How many users have asked to keep the link open. */
  keeps: number;
  /** When the last message went over the link, in either direction. */
  usedAt: Instant;
  attempts: number;
  cancelRetry: CancelTimer | undefined;
}

/**
 * Owns the listening socket and every link of a process.
 *
 * A link is dialled when the first message needs it. Links that are kept are dialled again after they
 * break, with full jitter and a capped delay; the others are dialled again by the next message, and
 * closed when they have been idle for a while. A peer that sends malformed frames is cut off.
 * Delivery is not guaranteed: a message is dropped when its link breaks, and the pipes repair that.
 */
export class LinkTask extends Task<LinkCommand> {
  readonly #options: LinkOptions;
  readonly #routes = new Map<Address, Route>();
  readonly #links = new Map<WebSocket, LinkDeadlines>();
  readonly #bytes = new Map<Channel, ChannelBytes>();
  readonly #encoder = new MessageEncoder();
  #server: Server | undefined;
  #closed = false;
  #cancelSweep: CancelTimer | undefined;

  constructor(options: LinkOptions) {
    super('links', options.reportFailure);
    this.#options = options;
  }

  /** The bytes of message bodies so far, per channel. */
  get bytes(): ReadonlyMap<Channel, Readonly<ChannelBytes>> {
    return this.#bytes;
  }

  protected override createPipe(messages: Stream<LinkCommand>): Stream<unknown> {
    return messages.tap((command) => {
      this.#obey(command);
    });
  }

  protected override async open(): Promise<void> {
    const { host, port } = splitAddress(this.#options.bind);
    const server = createServer(refuseRequest);
    this.#server = server;
    const links = new WebSocketServer({
      server,
      perMessageDeflate: false,
      maxPayload: MAX_FRAME_BYTES,
    });
    links.on('connection', (socket, { socket: { remoteAddress = '', remotePort = 0 } }) => {
      this.#accept(socket, formatAddress(remoteAddress, remotePort));
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
    this.#sweepLater();
  }

  protected override async close(): Promise<void> {
    this.#closed = true;
    this.#cancelSweep?.();
    for (const route of this.#routes.values()) {
      route.cancelRetry?.();
      route.socket?.terminate();
      route.dialling?.terminate();
    }
    for (const socket of this.#links.keys()) socket.terminate();
    const server = this.#server;
    if (server === undefined) return;
    await new Promise<void>((resolve) => {
      server.close(() => {
        resolve();
      });
      // Ends connections that have not become links yet, which would hold the server open.
      server.closeAllConnections();
    });
  }

  // Internals.

  #obey(command: LinkCommand): void {
    switch (command.kind) {
      case 'send':
        this.#send(command.to, command.channel, command.body);
        return;
      case 'keep':
        this.#keep(command.to);
        return;
      case 'drop':
        this.#drop(command.to);
        return;
    }
  }

  #send(to: Address, channel: Channel, body: unknown): void {
    const bytes = this.#encoder.encode(channel, body);
    const route = this.#findRoute(to);
    route.usedAt = this.#options.clock.read();
    if (route.socket !== undefined) {
      this.#write(route.socket, channel, bytes);
      return;
    }
    if (route.waiting.length < MAX_WAITING_MESSAGES) route.waiting.push({ channel, bytes });
    if (route.dialling === undefined && route.cancelRetry === undefined) this.#dial(to, route);
  }

  #write(socket: WebSocket, channel: Channel, bytes: Buffer): void {
    this.#countBytes(channel).sent += bytes.length;
    this.#options.notifySent?.(bytes.length);
    socket.send(bytes);
    if (socket.bufferedAmount > MAX_BUFFERED_BYTES) socket.terminate();
  }

  #keep(to: Address): void {
    const route = this.#findRoute(to);
    route.keeps += 1;
    if (route.socket === undefined && route.dialling === undefined && !route.cancelRetry) {
      this.#dial(to, route);
    }
  }

  #drop(to: Address): void {
    const route = this.#findRoute(to);
    route.keeps = Math.max(0, route.keeps - 1);
    if (route.keeps > 0) return;
    route.cancelRetry?.();
    route.cancelRetry = undefined;
    route.socket?.close();
    route.dialling?.terminate();
  }

  #dial(to: Address, route: Route): void {
    const socket = new WebSocket(`ws://${to}`, {
      localAddress: splitAddress(this.#options.bind).host,
      perMessageDeflate: false,
      handshakeTimeout: DIAL_TIMEOUT_MS,
      maxPayload: MAX_FRAME_BYTES,
    });
    route.dialling = socket;
    socket.on('open', () => {
      socket.send(encodeHello(this.#hello));
    });
    this.#listen(socket, to, to);
  }

  #accept(socket: WebSocket, from: Address): void {
    this.#noteSign(socket);
    socket.send(encodeHello(this.#hello));
    this.#listen(socket, from, undefined);
  }

  /** Reads frames; the peer's hello tells to which address the socket belongs. */
  #listen(socket: WebSocket, from: Address, dialled: Address | undefined): void {
    let peer: Hello | undefined;
    for (const sign of ['open', 'ping', 'pong'] as const) {
      socket.on(sign, () => {
        this.#noteSign(socket);
      });
    }
    socket.on('message', (data: Buffer) => {
      this.#noteSign(socket);
      const frame = this.#readFrame(data, peer?.control ?? from);
      if (frame === undefined) {
        socket.terminate();
        return;
      }
      if (frame.kind === 'hello') {
        peer = frame.hello;
        this.#adopt(dialled ?? peer.control, peer.host, socket);
        return;
      }
      if (peer === undefined) return;
      this.#countBytes(frame.channel).received += data.length;
      const { channel, body } = frame;
      const address = dialled ?? peer.control;
      this.#findRoute(address).usedAt = this.#options.clock.read();
      this.#options.notify({ kind: 'received', from: peer.host, address, channel, body });
    });
    socket.on('error', () => {
      // The close event follows every error and does the clean-up.
    });
    socket.on('close', () => {
      this.#links.delete(socket);
      const address = dialled ?? peer?.control;
      if (address !== undefined) this.#release(address, peer?.host, socket);
    });
  }

  /** Reads a frame; undefined when the bytes are not one. */
  #readFrame(data: Buffer, from: Address): Frame | undefined {
    try {
      return decodeFrame(data);
    } catch (error) {
      this.#options.notifyRejected(from, (error as Error).message);
      return undefined;
    }
  }

  #adopt(address: Address, host: HostId, socket: WebSocket): void {
    const route = this.#findRoute(address);
    if (route.dialling === socket) route.dialling = undefined;
    if (route.socket !== undefined) return;
    route.socket = socket;
    route.attempts = 0;
    for (const { channel, bytes } of route.waiting.splice(0)) this.#write(socket, channel, bytes);
    this.#options.notify({ kind: 'link-up', host, address });
  }

  #release(address: Address, host: HostId | undefined, socket: WebSocket): void {
    const route = this.#findRoute(address);
    const wasDialling = route.dialling === socket;
    const wasOpen = route.socket === socket;
    if (wasDialling) route.dialling = undefined;
    if (wasOpen) route.socket = undefined;
    if (!wasDialling && !wasOpen) return;
    if (this.#closed) return;
    route.waiting = [];
    this.#options.notify({ kind: 'link-down', host, address });
    if (route.keeps > 0) this.#retryLater(address, route);
    else if (route.dialling === undefined && route.socket === undefined)
      this.#routes.delete(address);
  }

  #retryLater(address: Address, route: Route): void {
    if (route.cancelRetry !== undefined || route.socket !== undefined) return;
    const { clock, random } = this.#options;
    const ceiling = Math.min(MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS * 2 ** route.attempts);
    route.attempts += 1;
    route.cancelRetry = clock.callAt(addMs(clock.read(), random.next() * ceiling), () => {
      route.cancelRetry = undefined;
      this.#dial(address, route);
    });
  }

  /** Ends links whose peers have gone silent, and links that nobody keeps or uses. */
  #sweep(): void {
    const now = this.#options.clock.read();
    for (const [socket, link] of this.#links) {
      if (link.silentAt <= now) socket.terminate();
      else if (link.pingAt <= now) socket.ping();
    }
    const oldest = addMs(now, -MAX_IDLE_MS);
    for (const route of this.#routes.values()) {
      if (route.keeps === 0 && route.usedAt < oldest) route.socket?.close();
    }
    this.#sweepLater();
  }

  /** The peer is there: its next sign of life is due by new deadlines. */
  #noteSign(socket: WebSocket): void {
    const now = this.#options.clock.read();
    const deadlines = { pingAt: addMs(now, PING_AFTER_MS), silentAt: addMs(now, MAX_SILENCE_MS) };
    this.#links.set(socket, deadlines);
  }

  #sweepLater(): void {
    const { clock } = this.#options;
    this.#cancelSweep = clock.callAt(addMs(clock.read(), SWEEP_INTERVAL_MS), () => {
      this.#sweep();
    });
  }

  #findRoute(address: Address): Route {
    const known = this.#routes.get(address);
    if (known !== undefined) return known;
    const route: Route = {
      socket: undefined,
      dialling: undefined,
      waiting: [],
      keeps: 0,
      usedAt: this.#options.clock.read(),
      attempts: 0,
      cancelRetry: undefined,
    };
    this.#routes.set(address, route);
    return route;
  }

  #countBytes(channel: Channel): ChannelBytes {
    const known = this.#bytes.get(channel);
    if (known !== undefined) return known;
    const fresh = { sent: 0, received: 0 };
    this.#bytes.set(channel, fresh);
    return fresh;
  }

  get #hello(): Hello {
    return { host: this.#options.host, control: this.#options.control };
  }
}

// Internals.

const DIAL_TIMEOUT_MS = 2_000;
const MIN_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 5_000;
const MAX_WAITING_MESSAGES = 1_000;
const MAX_BUFFERED_BYTES = 64 * 1024 * 1024;
const MAX_IDLE_MS = 60_000;
const UPGRADE_REQUIRED = 426;
const SWEEP_INTERVAL_MS = 3_000;
const PING_AFTER_MS = 4_000;
const MAX_SILENCE_MS = 12_000;

/** Only links are served here. */
function refuseRequest(_request: IncomingMessage, response: ServerResponse): void {
  response.writeHead(UPGRADE_REQUIRED).end();
}

function formatAddress(host: string, port: number): Address {
  return (host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`) as Address;
}

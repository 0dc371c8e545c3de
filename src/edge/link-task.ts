/** Links: the WebSocket connections between the processes of the mesh. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Stream } from 'most';
import { WebSocket, WebSocketServer } from 'ws';
import type { CancelTimer, Clock } from '../clock.js';
import { addMs } from '../clock.js';
import type { Address, HostId, Instant } from '../ids.js';
import { splitAddress } from '../ids.js';
import type { LinkChannel, LinkCommand, LinkEvent } from '../messages/index.js';
import type { ReportFailure } from '../pipe/index.js';
import { Task, WakeTimer } from '../pipe/index.js';
import type { Random } from '../random.js';
import type { Frame, Hello, LinkPacket } from './link-codec.js';
import { runAfterPoll } from './after-poll.js';
import { decodeFrame, encodeHello, MAX_FRAME_BYTES, MessageEncoder } from './link-codec.js';
import { LinkConnection } from './link-connection.js';
import { PeerLink } from './peer-link.js';
import { QuietConnections } from './quiet-connections.js';

/** Bytes sent and received over all links on one channel. */
export interface ChannelBytes {
  sent: number;
  received: number;
}

/** Options of a {@link LinkTask}. */
export interface LinkTaskOptions {
  readonly host: HostId;
  /** The address at which other processes reach this one. */
  readonly control: Address;
  /** The address to listen on; its IP address is also the source address of outgoing links. */
  readonly bind: Address;
  readonly clock: Clock;
  readonly random: Random;
  readonly reportFailure: ReportFailure;
  /** Called with every event; it must post the event to the inbox of another task. */
  readonly notify: (event: LinkEvent) => void;
  /** Called with the reason when a frame cannot be decoded and its connection is terminated. */
  readonly notifyRejected: (from: Address, reason: string) => void;
  /** Called with the size of each sent message; like `notify`, it must post to another task. */
  readonly notifySent?: (bytes: number) => void;
  /** Called when a connection did not answer a probe in time, so that the link needs another one. */
  readonly notifySilent?: (address: Address, unacknowledged: number) => void;
}

/** A connection that this process dials. */
interface Dial {
  readonly to: Address;
  /** The connections that it replaces once it is open. */
  readonly replaced: readonly LinkConnection[];
}

/**
 * Owns the listening socket and all links of a process.
 *
 * The first message to an address dials its link. A connection that goes silent is replaced by a new one, which
 * sends again what was not acknowledged; a connection that the peer dials takes the link over. A kept link is
 * redialled after it breaks, with capped exponential backoff and full jitter, or soon after the next message. Any
 * other link is redialled by the next message and closed after an idle timeout. A connection that receives a
 * malformed frame is terminated. A message may be dropped if its link breaks, and it may arrive twice; the filters
 * in the pipes recover from both.
 */
export class LinkTask extends Task<LinkCommand> {
  readonly #options: LinkTaskOptions;
  readonly #links = new Map<Address, PeerLink>();
  readonly #quiet = new QuietConnections();
  /** The connections whose peers have said hello. */
  readonly #connections = new Map<WebSocket, LinkConnection>();
  readonly #probeTimer: WakeTimer;
  readonly #bytes = new Map<LinkChannel, ChannelBytes>();
  readonly #encoder = new MessageEncoder();
  #server: Server | undefined;
  #closed = false;
  #cancelSweep: CancelTimer | undefined;

  constructor(options: LinkTaskOptions) {
    super('links', options.reportFailure);
    this.#options = options;
    this.#probeTimer = new WakeTimer(options.clock, () => {
      // Answers that have arrived during a pause of the process are read first.
      runAfterPoll(() => {
        this.#checkConnections();
      });
    });
  }

  /** Bytes of messages sent and received since the start, per channel. */
  get bytes(): ReadonlyMap<LinkChannel, Readonly<ChannelBytes>> {
    return this.#bytes;
  }

  protected override createPipe(messages: Stream<LinkCommand>): Stream<unknown> {
    return messages.tap((command) => {
      this.#handleCommand(command);
    });
  }

  protected override async open(): Promise<void> {
    const { host, port } = splitAddress(this.#options.bind);
    const server = createServer(refuseRequest);
    this.#server = server;
    const webSocketServer = new WebSocketServer({
      server,
      perMessageDeflate: false,
      maxPayload: MAX_FRAME_BYTES,
    });
    webSocketServer.on(
      'connection',
      (socket, { socket: { remoteAddress = '', remotePort = 0 } }) => {
        this.#accept(socket, formatAddress(remoteAddress, remotePort));
      },
    );
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
    this.#sweepLater();
  }

  protected override async close(): Promise<void> {
    this.#closed = true;
    this.#cancelSweep?.();
    this.#probeTimer.stop();
    for (const link of this.#links.values()) {
      link.cancelRetry?.();
      link.dialling?.terminate();
    }
    this.#quiet.stop();
    const server = this.#server;
    if (server === undefined) return;
    await new Promise<void>((resolve) => {
      server.close(() => {
        resolve();
      });
      // Ends connections that have not been upgraded to WebSocket; they would keep the server open.
      server.closeAllConnections();
    });
  }

  // Internals.

  #handleCommand(command: LinkCommand): void {
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

  #send(to: Address, channel: LinkChannel, body: unknown): void {
    const packet = { channel, bytes: this.#encoder.encode(channel, body) };
    const link = this.#findLink(to);
    link.lastUsedAt = this.#options.clock.read();
    const { current } = link;
    if (current === undefined) link.addWaiting(packet);
    else this.#write(current, packet);
    this.#dialIfNeeded(link);
    this.#updateRetry(link);
  }

  #write(connection: LinkConnection, packet: LinkPacket): void {
    const { channel, bytes } = packet;
    this.#countBytes(channel).sent += bytes.length;
    this.#options.notifySent?.(bytes.length);
    connection.send(packet);
    this.#probeTimer.wakeAt(connection.deadline);
  }

  #keep(to: Address): void {
    const link = this.#findLink(to);
    link.keepCount += 1;
    this.#dialIfNeeded(link);
  }

  #drop(to: Address): void {
    const link = this.#findLink(to);
    link.keepCount = Math.max(0, link.keepCount - 1);
    if (link.keepCount > 0) return;
    link.stopRetry();
    for (const connection of link.connections) connection.close();
    link.dialling?.terminate();
  }

  /** Dials unless a connection that is not silent is open, or will be. */
  #dialIfNeeded(link: PeerLink): void {
    if (this.#closed || link.dialling !== undefined || link.cancelRetry !== undefined) return;
    if (link.needsConnection) this.#dial(link);
  }

  #dial(link: PeerLink): void {
    const to = link.address;
    link.stopRetry();
    const socket = new WebSocket(`ws://${to}`, {
      localAddress: splitAddress(this.#options.bind).host,
      perMessageDeflate: false,
      handshakeTimeout: DIAL_TIMEOUT_MS,
      maxPayload: MAX_FRAME_BYTES,
    });
    link.dialling = socket;
    const replaced = link.connections;
    socket.on('open', () => {
      socket.send(encodeHello(this.#hello));
    });
    this.#addListeners(socket, to, { to, replaced });
  }

  #accept(socket: WebSocket, from: Address): void {
    this.#updateReceived(socket);
    socket.send(encodeHello(this.#hello));
    this.#addListeners(socket, from, undefined);
  }

  /** Handles the frames of a socket; the peer's hello frame names the address of its link. */
  #addListeners(socket: WebSocket, from: Address, dialled: Dial | undefined): void {
    let hello: Hello | undefined;
    for (const event of ['open', 'ping'] as const) {
      socket.on(event, () => {
        this.#updateReceived(socket);
      });
    }
    socket.on('pong', (payload: Buffer) => {
      this.#updateReceived(socket);
      this.#handlePong(socket, dialled?.to ?? hello?.control, payload);
    });
    socket.on('message', (data: Buffer) => {
      this.#updateReceived(socket);
      const frame = this.#readFrame(data, hello?.control ?? from);
      if (frame === undefined) {
        socket.terminate();
        return;
      }
      if (frame.kind === 'hello') {
        if (hello !== undefined) return;
        hello = frame.hello;
        const link = this.#findLink(dialled?.to ?? hello.control);
        this.#addConnection(link, hello.host, socket, dialled?.replaced ?? []);
        return;
      }
      if (hello === undefined) return;
      this.#countBytes(frame.channel).received += data.length;
      const { channel, body } = frame;
      const address = dialled?.to ?? hello.control;
      this.#findLink(address).lastUsedAt = this.#options.clock.read();
      const event = { kind: 'received', from: hello.host, address, channel, body } as const;
      if (!this.#notifyReceived(event)) socket.terminate();
    });
    socket.on('error', () => {
      // `ws` emits 'close' after every error; the close listener does the clean-up.
    });
    socket.on('close', () => {
      this.#quiet.remove(socket);
      const address = dialled?.to ?? hello?.control;
      if (address !== undefined) this.#removeConnection(address, hello?.host, socket);
      this.#connections.delete(socket);
    });
  }

  /** Passes a message to its readers; false if one of them met something that it did not expect. */
  #notifyReceived(event: Extract<LinkEvent, { kind: 'received' }>): boolean {
    try {
      this.#options.notify(event);
      return true;
    } catch (error) {
      this.#options.notifyRejected(event.address, (error as Error).message);
      return false;
    }
  }

  /** Decodes a frame; undefined if it is malformed. */
  #readFrame(data: Buffer, from: Address): Frame | undefined {
    try {
      return decodeFrame(data);
    } catch (error) {
      this.#options.notifyRejected(from, (error as Error).message);
      return undefined;
    }
  }

  /** Adds the newest connection of a link. It takes over from the others, and those it replaces are ended. */
  #addConnection(
    link: PeerLink,
    host: HostId,
    socket: WebSocket,
    replaced: readonly LinkConnection[],
  ): void {
    if (link.dialling === socket) link.dialling = undefined;
    const connection = new LinkConnection(socket, this.#options.clock, link.patience);
    this.#connections.set(socket, connection);
    const isTakeover = link.connections.length > 0;
    link.addConnection(connection);
    const unacknowledged = replaced.flatMap((one) => one.removeUnacknowledged());
    for (const packet of [...unacknowledged, ...link.removeWaiting()]) {
      this.#write(connection, packet);
    }
    for (const one of replaced) one.stop();
    if (!isTakeover || replaced.length > 0) {
      this.#options.notify({ kind: 'link-up', host, address: link.address });
    }
  }

  #removeConnection(address: Address, host: HostId | undefined, socket: WebSocket): void {
    const link = this.#findLink(address);
    const wasDialling = link.dialling === socket;
    if (wasDialling) link.dialling = undefined;
    const connection = this.#connections.get(socket);
    const wasOpen = link.removeConnection(connection);
    if (this.#closed || (!wasDialling && !wasOpen)) return;
    if (link.connections.length > 0) {
      this.#sendUndelivered(link, connection);
      if (link.needsConnection) this.#retryLater(link);
      return;
    }
    link.removeWaiting();
    this.#options.notify({ kind: 'link-down', host, address });
    if (link.keepCount > 0) this.#retryLater(link);
    else if (link.dialling === undefined) this.#links.delete(address);
  }

  /** Sends again what a closed connection and silent ones have not delivered. */
  #sendUndelivered(link: PeerLink, closed: LinkConnection | undefined): void {
    const { current } = link;
    if (current === undefined) return;
    for (const packet of link.removeUndelivered(closed)) this.#write(current, packet);
  }

  /** Handles the answer to a probe. A connection that answers late needs no replacement. */
  #handlePong(socket: WebSocket, address: Address | undefined, payload: Buffer): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined || address === undefined) return;
    const hasRecovered = connection.handlePong(payload);
    this.#probeTimer.wakeAt(connection.deadline);
    if (!hasRecovered) return;
    const link = this.#findLink(address);
    link.stopRetry();
    link.dialling?.terminate();
  }

  /** Sends the probes that are due, and replaces the connections that have become silent. */
  #checkConnections(): void {
    if (this.#closed) return;
    for (const link of this.#links.values()) {
      for (const connection of link.connections) {
        if (connection.check()) this.#handleSilence(link, connection);
        this.#probeTimer.wakeAt(connection.deadline);
      }
    }
  }

  #handleSilence(link: PeerLink, connection: LinkConnection): void {
    this.#options.notifySilent?.(link.address, connection.unacknowledged);
    // The other connections may be silent, too, and not know it yet.
    if (link.dialling === undefined) this.#dial(link);
  }

  #retryLater(link: PeerLink): void {
    if (link.cancelRetry !== undefined || !link.needsConnection) return;
    const { clock, random } = this.#options;
    const maxDelayMs = Math.min(MAX_RETRY_DELAY_MS, BASE_RETRY_DELAY_MS * 2 ** link.attempts);
    link.attempts += 1;
    this.#startRetryTimer(link, addMs(clock.read(), random.next() * maxDelayMs));
  }

  #startRetryTimer(link: PeerLink, at: Instant): void {
    link.retryAt = at;
    link.cancelRetry = this.#options.clock.callAt(at, () => {
      link.cancelRetry = undefined;
      this.#dialIfNeeded(link);
    });
  }

  /** Dials sooner for a message: a peer that is back does not know that a message waits for it. */
  #updateRetry(link: PeerLink): void {
    const at = addMs(this.#options.clock.read(), BASE_RETRY_DELAY_MS);
    if (link.cancelRetry === undefined || link.retryAt <= at) return;
    link.stopRetry();
    this.#startRetryTimer(link, at);
  }

  /** Checks quiet connections, and closes idle links that are not kept. */
  #sweep(): void {
    const now = this.#options.clock.read();
    this.#quiet.check(now);
    const idleBefore = addMs(now, -MAX_IDLE_MS);
    for (const link of this.#links.values()) {
      if (link.keepCount > 0 || link.lastUsedAt >= idleBefore) continue;
      for (const connection of link.connections) connection.close();
    }
    this.#sweepLater();
  }

  #updateReceived(socket: WebSocket): void {
    this.#quiet.update(socket, this.#options.clock.read());
  }

  #sweepLater(): void {
    const { clock } = this.#options;
    this.#cancelSweep = clock.callAt(addMs(clock.read(), SWEEP_INTERVAL_MS), () => {
      this.#sweep();
    });
  }

  #findLink(address: Address): PeerLink {
    const known = this.#links.get(address);
    if (known !== undefined) return known;
    const link = new PeerLink(address, this.#options.clock.read());
    this.#links.set(address, link);
    return link;
  }

  #countBytes(channel: LinkChannel): ChannelBytes {
    const known = this.#bytes.get(channel);
    if (known !== undefined) return known;
    const created = { sent: 0, received: 0 };
    this.#bytes.set(channel, created);
    return created;
  }

  get #hello(): Hello {
    return { host: this.#options.host, control: this.#options.control };
  }
}

// Internals.

const DIAL_TIMEOUT_MS = 2_000;
const BASE_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 5_000;
const MAX_IDLE_MS = 60_000;
const UPGRADE_REQUIRED = 426;
const SWEEP_INTERVAL_MS = 3_000;

/** Answers plain HTTP requests: the server accepts only WebSocket connections. */
function refuseRequest(_request: IncomingMessage, response: ServerResponse): void {
  response.writeHead(UPGRADE_REQUIRED).end();
}

function formatAddress(host: string, port: number): Address {
  return (host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`) as Address;
}

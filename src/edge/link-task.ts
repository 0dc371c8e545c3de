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
import type { Frame, Hello } from './link-codec.js';
import { AnswerPatience } from './answer-patience.js';
import { runAfterPoll } from './after-poll.js';
import { decodeFrame, encodeHello, MAX_FRAME_BYTES, MessageEncoder } from './link-codec.js';
import type { LinkPacket } from './link-connection.js';
import { LinkConnection } from './link-connection.js';

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

/** Liveness deadlines of an open connection; each received message, ping or pong renews them. */
interface ConnectionDeadlines {
  /** A ping is sent if nothing is received until this instant. */
  readonly pingAt: Instant;
  /** The connection is terminated if nothing is received until this instant. */
  readonly terminateAt: Instant;
}

/** A connection that this process dials. */
interface Dial {
  readonly to: Address;
  /** The connections that it replaces once it is open. */
  readonly replaced: readonly LinkConnection[];
}

/** The state of the link to one address. */
interface PeerLink {
  readonly address: Address;
  /** The open connections, whichever side dialled them; the newest one that is not silent carries messages. */
  readonly connections: LinkConnection[];
  readonly patience: AnswerPatience;
  dialling: WebSocket | undefined;
  /** Messages queued until a connection is open. */
  waiting: LinkPacket[];
  /** The number of `keep` commands without a matching `drop`; above 0, the link is kept open. */
  keepCount: number;
  /** When the last message was sent or received. */
  lastUsedAt: Instant;
  attempts: number;
  cancelRetry: CancelTimer | undefined;
}

/**
 * Owns the listening socket and all links of a process.
 *
 * The first message to an address dials its link. A connection that goes silent is replaced by a new one, which
 * sends again what was not acknowledged; a connection that the peer dials takes the link over. A kept link is redialled after it breaks, with capped
 * exponential backoff and full jitter. Any other link is redialled by the next message and closed after
 * an idle timeout. A connection that receives a malformed frame is terminated. Delivery is not
 * guaranteed: a message is dropped if its link breaks, and the filters in the pipes recover from it.
 */
export class LinkTask extends Task<LinkCommand> {
  readonly #options: LinkTaskOptions;
  readonly #links = new Map<Address, PeerLink>();
  readonly #deadlines = new Map<WebSocket, ConnectionDeadlines>();
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
    for (const socket of this.#deadlines.keys()) socket.terminate();
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
    const connection = findCurrent(link);
    if (connection !== undefined) this.#write(connection, packet);
    else if (link.waiting.length < MAX_QUEUED_MESSAGES) link.waiting.push(packet);
    this.#dialIfNeeded(link);
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
    link.cancelRetry?.();
    link.cancelRetry = undefined;
    for (const connection of link.connections) connection.close();
    link.dialling?.terminate();
  }

  /** Dials unless a connection that is not silent is open, or will be. */
  #dialIfNeeded(link: PeerLink): void {
    if (this.#closed || link.dialling !== undefined || link.cancelRetry !== undefined) return;
    if (findCurrent(link)?.isSilent === false) return;
    this.#dial(link.address, link);
  }

  #dial(to: Address, link: PeerLink): void {
    link.cancelRetry?.();
    link.cancelRetry = undefined;
    const socket = new WebSocket(`ws://${to}`, {
      localAddress: splitAddress(this.#options.bind).host,
      perMessageDeflate: false,
      handshakeTimeout: DIAL_TIMEOUT_MS,
      maxPayload: MAX_FRAME_BYTES,
    });
    link.dialling = socket;
    const replaced = [...link.connections];
    socket.on('open', () => {
      socket.send(encodeHello(this.#hello));
    });
    this.#addListeners(socket, to, { to, replaced });
  }

  #accept(socket: WebSocket, from: Address): void {
    this.#updateDeadlines(socket);
    socket.send(encodeHello(this.#hello));
    this.#addListeners(socket, from, undefined);
  }

  /** Handles the frames of a socket; the peer's hello frame names the address of its link. */
  #addListeners(socket: WebSocket, from: Address, dialled: Dial | undefined): void {
    let hello: Hello | undefined;
    for (const event of ['open', 'ping'] as const) {
      socket.on(event, () => {
        this.#updateDeadlines(socket);
      });
    }
    socket.on('pong', (data: Buffer) => {
      this.#updateDeadlines(socket);
      this.#handleAnswer(socket, dialled?.to ?? hello?.control, data);
    });
    socket.on('message', (data: Buffer) => {
      this.#updateDeadlines(socket);
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
      this.#options.notify({ kind: 'received', from: hello.host, address, channel, body });
    });
    socket.on('error', () => {
      // `ws` emits 'close' after every error; the close listener does the clean-up.
    });
    socket.on('close', () => {
      this.#deadlines.delete(socket);
      const address = dialled?.to ?? hello?.control;
      if (address !== undefined) this.#removeConnection(address, hello?.host, socket);
      this.#connections.delete(socket);
    });
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
    link.connections.push(connection);
    link.attempts = 0;
    const unacknowledged = replaced.flatMap((one) => one.removeUnacknowledged());
    for (const packet of [...unacknowledged, ...link.waiting.splice(0)]) {
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
    const index = connection === undefined ? -1 : link.connections.indexOf(connection);
    if (index >= 0) link.connections.splice(index, 1);
    if (this.#closed || (!wasDialling && index < 0)) return;
    if (findCurrent(link) !== undefined) {
      const silent = link.connections.filter(({ isSilent }) => isSilent);
      for (const one of [connection, ...silent]) this.#passUnacknowledged(link, one);
      if (findCurrent(link)?.isSilent === true) this.#retryLater(address, link);
      return;
    }
    link.waiting = [];
    this.#options.notify({ kind: 'link-down', host, address });
    if (link.keepCount > 0) this.#retryLater(address, link);
    else if (link.dialling === undefined) this.#links.delete(address);
  }

  /** Sends what a closed or silent connection has not delivered on another one of its link. */
  #passUnacknowledged(link: PeerLink, from: LinkConnection | undefined): void {
    const current = findCurrent(link);
    if (current === undefined || current === from) return;
    for (const packet of from?.removeUnacknowledged() ?? []) this.#write(current, packet);
  }

  /** Handles the answer to a probe. A connection that answers late needs no replacement. */
  #handleAnswer(socket: WebSocket, address: Address | undefined, answer: Buffer): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined || address === undefined) return;
    const wasSilent = connection.isSilent;
    connection.handleAnswer(answer);
    this.#probeTimer.wakeAt(connection.deadline);
    if (!wasSilent) return;
    const link = this.#findLink(address);
    link.cancelRetry?.();
    link.cancelRetry = undefined;
    link.dialling?.terminate();
  }

  /** Sends the probes that are due, and replaces the connections that have become silent. */
  #checkConnections(): void {
    if (this.#closed) return;
    for (const link of this.#links.values()) {
      for (const connection of [...link.connections]) {
        if (connection.check()) this.#handleSilence(link, connection);
        this.#probeTimer.wakeAt(connection.deadline);
      }
    }
  }

  #handleSilence(link: PeerLink, connection: LinkConnection): void {
    this.#options.notifySilent?.(link.address, connection.unacknowledged);
    // The other connections may be silent, too, and not know it yet.
    if (link.dialling === undefined) this.#dial(link.address, link);
  }

  #retryLater(address: Address, link: PeerLink): void {
    if (link.cancelRetry !== undefined || findCurrent(link)?.isSilent === false) return;
    const { clock, random } = this.#options;
    const maxDelayMs = Math.min(MAX_RETRY_DELAY_MS, BASE_RETRY_DELAY_MS * 2 ** link.attempts);
    link.attempts += 1;
    link.cancelRetry = clock.callAt(addMs(clock.read(), random.next() * maxDelayMs), () => {
      link.cancelRetry = undefined;
      this.#dialIfNeeded(link);
    });
  }

  /** Pings quiet connections, terminates unresponsive ones and closes idle links that are not kept. */
  #sweep(): void {
    const now = this.#options.clock.read();
    for (const [socket, timing] of this.#deadlines) {
      if (timing.terminateAt <= now) socket.terminate();
      else if (timing.pingAt <= now) socket.ping();
    }
    const idleBefore = addMs(now, -MAX_IDLE_MS);
    for (const link of this.#links.values()) {
      if (link.keepCount > 0 || link.lastUsedAt >= idleBefore) continue;
      for (const connection of link.connections) connection.close();
    }
    this.#sweepLater();
  }

  /** Renews the liveness deadlines of a connection after something was received. */
  #updateDeadlines(socket: WebSocket): void {
    const now = this.#options.clock.read();
    const deadlines = {
      pingAt: addMs(now, PING_AFTER_IDLE_MS),
      terminateAt: addMs(now, RECEIVE_TIMEOUT_MS),
    };
    this.#deadlines.set(socket, deadlines);
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
    const link: PeerLink = {
      address,
      connections: [],
      patience: new AnswerPatience(),
      dialling: undefined,
      waiting: [],
      keepCount: 0,
      lastUsedAt: this.#options.clock.read(),
      attempts: 0,
      cancelRetry: undefined,
    };
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
const MAX_QUEUED_MESSAGES = 1_000;
const MAX_IDLE_MS = 60_000;
const UPGRADE_REQUIRED = 426;
const SWEEP_INTERVAL_MS = 3_000;
const PING_AFTER_IDLE_MS = 4_000;
const RECEIVE_TIMEOUT_MS = 12_000;

/** Finds the connection that carries messages: the newest that is not silent, or else the newest. */
function findCurrent({ connections }: PeerLink): LinkConnection | undefined {
  return connections.findLast(({ isSilent }) => !isSilent) ?? connections.at(-1);
}

/** Answers plain HTTP requests: the server accepts only WebSocket connections. */
function refuseRequest(_request: IncomingMessage, response: ServerResponse): void {
  response.writeHead(UPGRADE_REQUIRED).end();
}

function formatAddress(host: string, port: number): Address {
  return (host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`) as Address;
}

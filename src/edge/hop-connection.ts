/** A client connection to another proxy or a backend server. */
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import type { CancelTimer, Clock } from '../clock.js';
import { addMs, NEVER } from '../clock.js';
import type { Address, Instant } from '../ids.js';
import { splitAddress } from '../ids.js';
import { AnswerParser } from './answer-parser.js';
import type { AnswerHandler } from './answer-handler.js';
import { AnswerControl } from './answer-handler.js';
import type { HopRequest } from './hop-request.js';
import { encodeHead, findFraming, hasValidCharacters } from './hop-request.js';
import { parseBodyRate } from './body-grant.js';
import { BodyWriter } from './body-writer.js';
import { PacedBodyWriter } from './paced-body-writer.js';
import type { RequestBodyWriter } from './request-body-writer.js';

/** Options of {@link HopConnection}. */
export interface HopConnectionOptions {
  readonly address: Address;
  readonly clock: Clock;
  /** Called when the connection can carry another request. */
  readonly notifyIdle: (connection: HopConnection) => void;
  /** Called when anything was received. */
  readonly notifyReceived: (at: Instant) => void;
  /** Called when a request that was sent at `sentAt` got no answer on a reused connection. */
  readonly notifyUnanswered: (sentAt: Instant) => void;
  /** Called once when the connection is closed. */
  readonly notifyClosed: (connection: HopConnection) => void;
}

/**
 * Owns a socket and carries one request at a time.
 *
 * A request may have reached the peer if `handleStart` of its handler was called and returned true; otherwise it
 * is never written.
 */
export class HopConnection {
  readonly #options: HopConnectionOptions;
  readonly #socket: Socket;
  readonly #parser: AnswerParser;
  #cancelTimeout: CancelTimer | undefined;
  /** The request that waits for the connection to open. */
  #firstRequest: HopRequest | undefined;
  #exchange: HopExchange | undefined;
  /** When a request was sent that found the connection idle; undefined once anything was received. */
  #unansweredSince: Instant | undefined;
  #body: RequestBodyWriter | undefined;
  /** The body that waits for a permission of the peer. */
  #heldBody: PacedBodyWriter | undefined;
  #idleUntil = NEVER;
  #hasEnded = false;
  #closeCause = OTHER_SIDE_CLOSED;

  /** Opens the connection and sends `first` when it is open. */
  constructor(options: HopConnectionOptions, first: HopRequest) {
    this.#options = options;
    this.#firstRequest = first;
    const { address, clock } = options;
    this.#parser = new AnswerParser(address, (headers) => {
      this.#heldBody?.start(parseBodyRate(headers));
    });
    const { host, port } = splitAddress(address);
    this.#socket = connect({
      host,
      port,
      noDelay: true,
      keepAlive: true,
      autoSelectFamily: false,
      onread: {
        buffer: READ_BUFFER,
        callback: (length) => {
          this.#handleBytes(READ_BUFFER.subarray(0, length));
          return true;
        },
      },
    });
    this.#cancelTimeout = clock.callAt(addMs(clock.read(), CONNECT_TIMEOUT_MS), () => {
      this.close(`no connection to ${address} within ${CONNECT_TIMEOUT_MS} ms`);
    });
    this.#watch();
  }

  /** When the idle connection expires; the peer closes it some time later. */
  get idleUntil(): Instant {
    return this.#idleUntil;
  }

  /** Returns whether the idle connection can carry a request. */
  isUsable(now: Instant): boolean {
    return this.#idleUntil > now && !this.#hasEnded && !this.#socket.destroyed;
  }

  /** Sends a request on the idle connection; returns false if the request is invalid or was cancelled. */
  send(request: HopRequest): boolean {
    const { handler, body } = request;
    if (!hasValidCharacters(request)) {
      handler.handleFailure('the request head has characters that HTTP does not allow');
      return false;
    }
    const exchange = new HopExchange(this, handler);
    if (!handler.handleStart(exchange)) return false;
    this.#exchange = exchange;
    this.#unansweredSince = this.#idleUntil === NEVER ? undefined : this.#options.clock.read();
    this.#idleUntil = NEVER;
    this.#parser.start(handler, request.method);
    const framing = findFraming(request);
    const head = encodeHead(request, framing, this.#options.address);
    if (body === null) {
      this.#socket.write(head, 'latin1');
    } else if (request.pacer !== undefined) {
      this.#socket.write(head, 'latin1');
      this.#heldBody = new PacedBodyWriter({
        body,
        socket: this.#socket,
        length: framing.kind === 'length' ? framing.bytes : undefined,
        pacer: request.pacer,
        notifyRunnable: () => {
          handler.handleRunnable();
        },
        notifyFailed: (cause) => {
          this.close(cause);
        },
      });
      this.#body = this.#heldBody;
    } else if (Buffer.isBuffer(body)) {
      this.#socket.cork();
      this.#socket.write(head, 'latin1');
      this.#socket.write(body);
      this.#socket.uncork();
    } else {
      this.#socket.write(head, 'latin1');
      const writer = new BodyWriter({
        stream: body,
        socket: this.#socket,
        length: framing.kind === 'length' ? framing.bytes : undefined,
        notifyFailed: (cause) => {
          this.close(cause);
        },
      });
      this.#body = writer;
      writer.start();
    }
    return true;
  }

  /** Closes the connection; its request fails immediately with this cause. */
  close(cause: string): void {
    const unansweredSince = this.#unansweredSince;
    this.#unansweredSince = undefined;
    if (unansweredSince !== undefined) this.#options.notifyUnanswered(unansweredSince);
    this.#closeCause = cause;
    this.#socket.destroy();
    this.#fail(cause);
  }

  /** Stops delivering the answer until {@link HopConnection.resume}. */
  pause(): void {
    this.#parser.hold();
    this.#socket.pause();
  }

  resume(): void {
    this.#socket.resume();
    this.#read(() => {
      this.#parser.release();
    });
    if (this.#hasEnded) this.#readEnd();
  }

  // Internals.

  #watch(): void {
    const socket = this.#socket;
    socket.on('connect', () => {
      this.#cancelTimeout?.();
      this.#cancelTimeout = undefined;
      const first = this.#firstRequest;
      this.#firstRequest = undefined;
      if (first === undefined || !this.send(first)) this.#handleIdle(IDLE_MS);
    });
    socket.on('end', () => {
      this.#hasEnded = true;
      this.#readEnd();
    });
    socket.on('error', (error) => {
      this.#closeCause = error.message;
    });
    socket.on('close', () => {
      this.#cancelTimeout?.();
      // Bytes received before the end may be held and are delivered on resume.
      if (!this.#hasEnded || !this.#parser.isHeld) this.#fail(this.#closeCause);
      this.#options.notifyClosed(this);
    });
  }

  #handleBytes(bytes: Buffer): void {
    this.#unansweredSince = undefined;
    this.#options.notifyReceived(this.#options.clock.read());
    if (this.#exchange === undefined) {
      this.close('bytes came that belong to no request');
      return;
    }
    this.#read(() => {
      this.#parser.read(bytes);
    });
  }

  #read(read: () => void): void {
    try {
      read();
    } catch (error) {
      this.close((error as Error).message);
    }
    if (this.#exchange !== undefined && this.#parser.isComplete) this.#complete(this.#exchange);
  }

  /** Handles the end of what the peer sends. */
  #readEnd(): void {
    const exchange = this.#exchange;
    if (exchange === undefined || this.#parser.isHeld) return;
    this.#read(() => {
      this.#parser.readEnd();
    });
    if (this.#exchange === exchange) this.close(OTHER_SIDE_CLOSED);
  }

  #complete(exchange: HopExchange): void {
    this.#exchange = undefined;
    const isSent = this.#body?.isSent ?? true;
    this.#stopBody();
    const idleMs = this.#findIdleMs();
    // If the body was not sent completely, the peer would read the next request as the rest of it.
    if (isSent && this.#parser.isReusable && !this.#hasEnded && idleMs > 0)
      this.#handleIdle(idleMs);
    else this.#socket.destroy();
    exchange.end().handleEnd();
  }

  #fail(cause: string): void {
    this.#parser.stop();
    this.#stopBody();
    const exchange = this.#exchange;
    this.#exchange = undefined;
    exchange?.end().handleFailure(cause);
    const first = this.#firstRequest;
    this.#firstRequest = undefined;
    first?.handler.handleFailure(cause);
  }

  #stopBody(): void {
    this.#body?.stop();
    this.#body = undefined;
    this.#heldBody = undefined;
  }

  #findIdleMs(): number {
    const seconds = this.#parser.keepAliveSeconds;
    if (seconds === undefined) return IDLE_MS;
    return Math.min(seconds * MS_PER_SECOND - IDLE_MARGIN_MS, MAX_IDLE_MS);
  }

  #handleIdle(idleMs: number): void {
    this.#idleUntil = addMs(this.#options.clock.read(), idleMs);
    this.#options.notifyIdle(this);
  }
}

// Internals.

/** Shared by all connections, because received bytes are processed synchronously before the next read. */
const READ_BUFFER = Buffer.allocUnsafeSlow(64 * 1024);
/** A reachable host accepts within milliseconds; an unreachable one never does. */
const CONNECT_TIMEOUT_MS = 1_000;
const MS_PER_SECOND = 1_000;
/** Idle time for peers that state no keep-alive timeout; node:http servers close idle connections after 5 s. */
const IDLE_MS = 4_000;
/** Time before the keep-alive timeout of the peer; a request written earlier reaches the peer in time. */
const IDLE_MARGIN_MS = 2_000;
/** Upper limit of the idle time, whatever keep-alive timeout the peer states. */
const MAX_IDLE_MS = 600_000;
const OTHER_SIDE_CLOSED = 'other side closed';

/** One request on its connection; detached from the connection when the request ends. */
class HopExchange extends AnswerControl {
  readonly #handler: AnswerHandler;
  #connection: HopConnection | undefined;

  constructor(connection: HopConnection, handler: AnswerHandler) {
    super();
    this.#connection = connection;
    this.#handler = handler;
  }

  /** Detaches from the connection and returns the handler. */
  end(): AnswerHandler {
    this.#connection = undefined;
    return this.#handler;
  }

  override pause(): void {
    this.#connection?.pause();
  }

  override resume(): void {
    this.#connection?.resume();
  }

  override abort(cause: string): void {
    this.#connection?.close(cause);
  }
}

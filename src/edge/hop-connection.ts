/** One connection to another proxy or a backend server. */
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import type { CancelTimer, Clock } from '../clock.js';
import { addMs, NEVER } from '../clock.js';
import type { Address, Instant } from '../ids.js';
import { splitAddress } from '../ids.js';
import { AnswerParser } from './answer-parser.js';
import type { AnswerReader } from './answer-handler.js';
import { AnswerSource } from './answer-handler.js';
import type { HopRequest } from './hop-request.js';
import { encodeHead, findFraming, isWritable } from './hop-request.js';
import { StreamBody } from './body-writer.js';

/** What a connection needs. */
export interface HopConnectionOptions {
  readonly address: Address;
  readonly clock: Clock;
  /** The connection can carry another request. */
  readonly notifyIdle: (connection: HopConnection) => void;
  /** The connection is closed; called once. */
  readonly notifyClosed: (connection: HopConnection) => void;
}

/**
 * Owns a socket, and carries one request at a time.
 *
 * A request whose reader was told of its start may have reached the peer, whatever happens afterwards; one
 * whose reader was not is never written.
 */
export class HopConnection {
  readonly #options: HopConnectionOptions;
  readonly #socket: Socket;
  readonly #parser: AnswerParser;
  #cancelTimeout: CancelTimer | undefined;
  /** The request for which the connection is being opened. */
  #first: HopRequest | undefined;
  #exchange: HopExchange | undefined;
  #body: StreamBody | undefined;
  #idleUntil = NEVER;
  #hasEnded = false;
  #closeCause = OTHER_SIDE_CLOSED;

  /** Opens the connection, and sends `first` as soon as it is open. */
  constructor(options: HopConnectionOptions, first: HopRequest) {
    this.#options = options;
    this.#first = first;
    const { address, clock } = options;
    this.#parser = new AnswerParser(address);
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

  /** When the connection is closed unless it is used; the peer would close it soon after. */
  get idleUntil(): Instant {
    return this.#idleUntil;
  }

  /** Whether the idle connection can carry a request. */
  isUsable(now: Instant): boolean {
    return this.#idleUntil > now && !this.#hasEnded && !this.#socket.destroyed;
  }

  /** Sends a request on the idle connection; returns false if the request is not wanted any more. */
  send(request: HopRequest): boolean {
    const { reader, body } = request;
    if (!isWritable(request)) {
      reader.handleFailure('a header of the request cannot be written');
      return false;
    }
    const exchange = new HopExchange(this, reader);
    if (!reader.handleStart(exchange)) return false;
    this.#exchange = exchange;
    this.#idleUntil = NEVER;
    this.#parser.start(reader, request.method);
    const framing = findFraming(request);
    const head = encodeHead(request, framing, this.#options.address);
    if (body === null) {
      this.#socket.write(head, 'latin1');
    } else if (Buffer.isBuffer(body)) {
      this.#socket.cork();
      this.#socket.write(head, 'latin1');
      this.#socket.write(body);
      this.#socket.uncork();
    } else {
      this.#socket.write(head, 'latin1');
      this.#body = new StreamBody({
        stream: body,
        socket: this.#socket,
        length: framing.kind === 'length' ? framing.bytes : undefined,
        notifyBroken: (cause) => {
          this.close(cause);
        },
      });
      this.#body.start();
    }
    return true;
  }

  /** Closes the connection; a request that runs on it fails with this cause at once. */
  close(cause: string): void {
    this.#closeCause = cause;
    this.#socket.destroy();
    this.#fail(cause);
  }

  /** Passes nothing on of the answer until {@link HopConnection.resume}. */
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
      const first = this.#first;
      this.#first = undefined;
      if (first === undefined || !this.send(first)) this.#becomeIdle(IDLE_MS);
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
      // What came before the end may be held, and is passed on later.
      if (!this.#hasEnded || !this.#parser.isHeld) this.#fail(this.#closeCause);
      this.#options.notifyClosed(this);
    });
  }

  #handleBytes(bytes: Buffer): void {
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

  /** The peer sends no more. */
  #readEnd(): void {
    if (this.#exchange === undefined || this.#parser.isHeld) return;
    this.#parser.readEnd();
    if (this.#parser.isComplete) this.#complete(this.#exchange);
    else this.close(OTHER_SIDE_CLOSED);
  }

  #complete(exchange: HopExchange): void {
    this.#exchange = undefined;
    const isSent = this.#body?.isSent ?? true;
    this.#stopBody();
    const idleMs = this.#findIdleMs();
    // A peer that has not taken the whole body would take the next request for the rest of it.
    if (isSent && this.#parser.isKept && !this.#hasEnded && idleMs > 0) this.#becomeIdle(idleMs);
    else this.#socket.destroy();
    exchange.end().handleEnd();
  }

  #fail(cause: string): void {
    this.#parser.stop();
    this.#stopBody();
    const exchange = this.#exchange;
    this.#exchange = undefined;
    exchange?.end().handleFailure(cause);
    const first = this.#first;
    this.#first = undefined;
    first?.reader.handleFailure(cause);
  }

  #stopBody(): void {
    this.#body?.stop();
    this.#body = undefined;
  }

  #findIdleMs(): number {
    const seconds = this.#parser.keepAliveSeconds;
    if (seconds === undefined) return IDLE_MS;
    return Math.min(seconds * MS_PER_SECOND - IDLE_MARGIN_MS, MAX_IDLE_MS);
  }

  #becomeIdle(idleMs: number): void {
    this.#idleUntil = addMs(this.#options.clock.read(), idleMs);
    this.#options.notifyIdle(this);
  }
}

// Internals.

/** What was read is handled before the next read, so one buffer serves all connections. */
const READ_BUFFER = Buffer.allocUnsafeSlow(64 * 1024);
/** A host that is up answers within milliseconds; one that is cut off never does. */
const CONNECT_TIMEOUT_MS = 1_000;
const MS_PER_SECOND = 1_000;
/** For peers that do not tell how long they keep an idle connection; node:http keeps one for 5 s. */
const IDLE_MS = 4_000;
/** A request that is written this long before the peer closes the connection still reaches it. */
const IDLE_MARGIN_MS = 2_000;
/** Longer promises of a peer are not relied on. */
const MAX_IDLE_MS = 600_000;
const OTHER_SIDE_CLOSED = 'other side closed';

/** One request on its connection; it lets go of the connection when the request has ended. */
class HopExchange extends AnswerSource {
  readonly #reader: AnswerReader;
  #connection: HopConnection | undefined;

  constructor(connection: HopConnection, reader: AnswerReader) {
    super();
    this.#connection = connection;
    this.#reader = reader;
  }

  /** Lets go of the connection, and returns whom to tell of the end. */
  end(): AnswerReader {
    this.#connection = undefined;
    return this.#reader;
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

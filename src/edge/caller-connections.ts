/** The connections of callers, and how they are closed at a planned stop. */
import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from '../clock.js';
import { addMs } from '../clock.js';
import type { CallId } from '../ids.js';
import { refuseSocket } from './call-refusal.js';

/**
 * Closes connections as they fall idle. One that never sent a request counts as busy for Node.js; it is
 * closed as well, and so is one whose request does not become complete.
 */
export class CallerConnections {
  readonly #clock: Clock;
  readonly #notifyGone: (call: CallId) => void;
  /** The open connections, each with its calls that have not ended. */
  readonly #sockets = new Map<Socket, Map<CallId, ReadState>>();
  /** Connections that have brought a call. */
  readonly #used = new WeakSet<Socket>();
  /** Connections on which no further call is taken. */
  readonly #refused = new WeakSet<Socket>();

  /** `notifyGone` hears of each call whose connection closes before the call has ended. */
  constructor(clock: Clock, notifyGone: (call: CallId) => void) {
    this.#clock = clock;
    this.#notifyGone = notifyGone;
  }

  /** Keeps track of the connections of a fresh server. */
  watch(server: Server): void {
    server.on('connection', (socket) => {
      this.#sockets.set(socket, new Map());
      // The end of what a caller sends comes some turns before the close of its connection.
      socket.on('end', () => {
        this.#notifyAll(socket);
      });
      socket.on('close', () => {
        this.#notifyAll(socket);
        this.#sockets.delete(socket);
      });
    });
  }

  /**
   * Notes a call; of calls that wait behind another one, Node.js itself reports no end. Tells whether it is
   * the first one of its connection.
   */
  addCall(socket: Socket, call: CallId, request: ReadState): boolean {
    const isFirst = !this.#used.has(socket);
    this.#used.add(socket);
    this.#sockets.get(socket)?.set(call, request);
    return isFirst;
  }

  /** Forgets a call that has ended. */
  forgetCall(socket: Socket, call: CallId): void {
    const calls = this.#sockets.get(socket);
    if (calls?.delete(call) !== true || calls.size > 0) return;
    if (this.#refused.has(socket)) socket.destroySoon();
  }

  /**
   * Refuses what came on a connection and is no request. Calls that came before it are answered first: the
   * refusal would be taken for the answer to the oldest of them. One whose body breaks off there is cut.
   */
  refuse(socket: Socket, code: string | undefined): void {
    this.#refused.add(socket);
    const requests = [...(this.#sockets.get(socket)?.values() ?? [])];
    if (requests.length === 0) refuseSocket(socket, code);
    else if (requests.some(({ complete }) => !complete)) socket.destroy();
  }

  /** Closes the connection of a call that has ended, unless the rest of its body comes in time. */
  limitRest(request: IncomingMessage): void {
    if (request.complete || request.socket.destroyed) return;
    const deadline = addMs(this.#clock.read(), MAX_REST_MS);
    const cancel = this.#clock.callAt(deadline, () => {
      request.socket.destroy();
    });
    request.once('close', cancel);
  }

  /** Tells whether a connection was refused; Node.js may still read the rest of a head that came too late. */
  isRefused(socket: Socket): boolean {
    return this.#refused.has(socket);
  }

  /** Closes the connections of a server that accepts no more, until none is left. */
  close(server: Server): void {
    const startedAt = this.#clock.read();
    const timer = setInterval(() => {
      server.closeIdleConnections();
      const waited = this.#clock.read() - startedAt;
      if (waited >= UNUSED_LINGER_MS) this.#closeUnused();
      if (waited >= MAX_LINGER_MS) server.closeAllConnections();
    }, CLOSE_INTERVAL_MS);
    server.once('close', () => {
      clearInterval(timer);
    });
  }

  // Internals.

  #notifyAll(socket: Socket): void {
    for (const call of [...(this.#sockets.get(socket)?.keys() ?? [])]) this.#notifyGone(call);
  }

  #closeUnused(): void {
    for (const socket of this.#sockets.keys()) if (socket.bytesRead === 0) socket.destroy();
  }
}

// Internals.

/** Whether the body of a call has been read to its end. */
type ReadState = Pick<IncomingMessage, 'complete'>;

const CLOSE_INTERVAL_MS = 20;
const UNUSED_LINGER_MS = 200;
const MAX_LINGER_MS = 5_000;
/** As long as a body may take before its call is refused. */
const MAX_REST_MS = 10_000;

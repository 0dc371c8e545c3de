/** Tracks the connections of callers and closes them when the server stops. */
import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from '../clock.js';
import { addMs } from '../clock.js';
import type { CallId, Instant } from '../ids.js';
import { runAfterPoll } from './after-poll.js';
import { refuseSocket } from './call-refusal.js';

/**
 * Tracks the connections of callers with their open calls. When the server stops, connections are closed as they
 * become idle. Node.js considers a connection busy that never sent a request or whose request stays incomplete;
 * these are closed too.
 */
export class CallerConnections {
  readonly #clock: Clock;
  readonly #notifyGone: (call: CallId) => void;
  /** The open connections and their open calls. */
  readonly #sockets = new Map<Socket, Map<CallId, BodyState>>();
  /** Connections that have carried a call. */
  readonly #usedSockets = new WeakSet<Socket>();
  /** Connections on which no further call is accepted. */
  readonly #refusedSockets = new WeakSet<Socket>();

  /** `notifyGone` is called for each open call whose connection closes. */
  constructor(clock: Clock, notifyGone: (call: CallId) => void) {
    this.#clock = clock;
    this.#notifyGone = notifyGone;
  }

  /** Tracks the connections of a new server. */
  watch(server: Server): void {
    server.on('connection', (socket) => {
      this.#sockets.set(socket, new Map());
      // The end event precedes the close event by several event loop turns.
      socket.on('end', () => {
        this.#notifyAllGone(socket);
      });
      socket.on('close', () => {
        this.#notifyAllGone(socket);
        this.#sockets.delete(socket);
      });
    });
  }

  /**
   * Adds a call; returns whether it is the first on its connection. Node.js reports no close for pipelined calls
   * that wait behind another one.
   */
  addCall(socket: Socket, call: CallId, request: BodyState): boolean {
    const isFirst = !this.#usedSockets.has(socket);
    this.#usedSockets.add(socket);
    this.#sockets.get(socket)?.set(call, request);
    return isFirst;
  }

  /** Removes a call that has ended. */
  forgetCall(socket: Socket, call: CallId): void {
    const calls = this.#sockets.get(socket);
    if (calls?.delete(call) !== true || calls.size > 0) return;
    if (this.#refusedSockets.has(socket)) socket.destroySoon();
  }

  /**
   * Refuses malformed bytes on a connection; `code` is the error of Node.js. Earlier calls on the connection are
   * answered first, because the caller would take the refusal for the answer to the oldest of them. If the body of
   * such a call is incomplete, the connection is closed.
   */
  refuse(socket: Socket, code: string | undefined): void {
    this.#refusedSockets.add(socket);
    const requests = [...(this.#sockets.get(socket)?.values() ?? [])];
    if (requests.length === 0) refuseSocket(socket, code);
    else if (requests.some(({ complete }) => !complete)) socket.destroy();
  }

  /** Closes the connection of an ended call, unless the rest of the request body arrives in time. */
  limitRemainingBody(request: IncomingMessage): void {
    if (request.complete || request.socket.destroyed) return;
    const deadline = addMs(this.#clock.read(), MAX_REMAINING_BODY_MS);
    const cancel = this.#clock.callAt(deadline, () => {
      request.socket.destroy();
    });
    request.once('close', cancel);
  }

  /** Returns whether a connection was refused; Node.js may still parse the rest of a head that was late. */
  isRefused(socket: Socket): boolean {
    return this.#refusedSockets.has(socket);
  }

  /**
   * Closes the connections of a server that no longer listens, each when it becomes idle and all that remain at
   * `closeBy` or after five seconds.
   */
  close(server: Server, closeBy: Instant): void {
    const startedAt = this.#clock.read();
    // The socket of an idle connection may hold a request that has not been read yet.
    const timer = setInterval(() => {
      runAfterPoll(() => {
        server.closeIdleConnections();
        const waitedMs = this.#clock.read() - startedAt;
        if (waitedMs >= UNUSED_LINGER_MS) this.#closeUnused();
        if (waitedMs >= MAX_LINGER_MS || this.#clock.read() >= closeBy)
          server.closeAllConnections();
      });
    }, CLOSE_INTERVAL_MS);
    server.once('close', () => {
      clearInterval(timer);
    });
  }

  // Internals.

  #notifyAllGone(socket: Socket): void {
    for (const call of [...(this.#sockets.get(socket)?.keys() ?? [])]) this.#notifyGone(call);
  }

  #closeUnused(): void {
    for (const socket of this.#sockets.keys()) if (socket.bytesRead === 0) socket.destroy();
  }
}

// Internals.

/** The part of a request that tells whether its body is complete. */
type BodyState = Pick<IncomingMessage, 'complete'>;

const CLOSE_INTERVAL_MS = 20;
const UNUSED_LINGER_MS = 200;
const MAX_LINGER_MS = 5_000;
/** Equal to the time limit for the body of a call. */
const MAX_REMAINING_BODY_MS = 10_000;

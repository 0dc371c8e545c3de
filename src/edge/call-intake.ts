/** Reads and begins calls within a part of each turn of the event loop. */
import { performance } from 'node:perf_hooks';

/** A call whose head has not been read. */
export interface UnreadCall {
  /** Reads the head; what follows comes as messages. */
  readonly read: () => void;
  /** Refuses the call, of which nothing is known. */
  readonly refuse: () => void;
  /** Whether the sockets are to be polled again before, in case that the caller has left. */
  readonly needsPoll: boolean;
}

/** What a call intake needs. */
export interface CallIntakeOptions {
  /** Begins the call that goes next, of those whose heads have been read. */
  readonly beginNext: () => void;
  /** Nothing more is begun before the sockets are polled. */
  readonly endTurn: () => void;
}

/**
 * Bounds the work that one turn of the event loop begins. What is left waits for the next turn, so that the
 * sockets are polled in between: libuv accepts one connection of a listener in a turn, and a process whose turns
 * are long accepts connections only after their callers have left.
 *
 * The work is done after the sockets were polled, in the same turn; as long as it fits in, nothing waits.
 */
export class CallIntake {
  readonly #options: CallIntakeOptions;
  readonly #unread: WaitingHead[] = [];
  /** Heads that wait until the sockets have been polled again. */
  #polled: WaitingHead[] = [];
  #turn = 0;
  #hasWaiting = false;
  #isScheduled = false;
  #hasAccepted = false;

  constructor(options: CallIntakeOptions) {
    this.#options = options;
  }

  /** Adds a call that has arrived. */
  add(call: UnreadCall): void {
    const waiting = { call, since: performance.now(), turn: this.#turn };
    if (call.needsPoll) this.#polled.push(waiting);
    else this.#unread.push(waiting);
    this.#schedule();
  }

  /** Calls wait whose heads have been read. */
  wantTurn(): void {
    this.#hasWaiting = true;
    this.#schedule();
  }

  /** A connection was accepted, and more may wait behind it. */
  addConnection(): void {
    this.#hasAccepted = true;
  }

  // Internals.

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.#runTurn();
    });
  }

  #runTurn(): void {
    const polled = this.#polled;
    this.#polled = [];
    const startedAt = performance.now();
    this.#turn += 1;
    const turnMs = this.#hasAccepted ? ACCEPTING_TURN_MS : TURN_MS;
    this.#hasAccepted = false;
    this.#readHeads(startedAt + turnMs * HEADS_SHARE);
    this.#beginCalls(startedAt + turnMs);
    this.#refuseUnread(performance.now() - MAX_UNREAD_MS);
    if (this.#hasWaiting) this.#options.endTurn();
    this.#unread.push(...polled);
    if (this.#hasWaiting || this.#unread.length > 0) this.#schedule();
  }

  #readHeads(until: number): void {
    for (let next = this.#unread.shift(); next !== undefined; next = this.#unread.shift()) {
      next.call.read();
      if (performance.now() >= until) return;
    }
  }

  #beginCalls(until: number): void {
    while (this.#hasWaiting) {
      this.#hasWaiting = false;
      this.#options.beginNext();
      if (performance.now() >= until) return;
    }
  }

  /** Heads are read in the order of their arrival, so the oldest come first. */
  #refuseUnread(before: number): void {
    for (let [first] = this.#unread; first !== undefined; [first] = this.#unread) {
      if (first.since > before || this.#turn - first.turn < MIN_UNREAD_TURNS) return;
      this.#unread.shift();
      first.call.refuse();
    }
  }
}

// Internals.

/** Milliseconds of a turn in which calls are begun, besides what the poll itself has brought. */
const TURN_MS = 20;
/** The same in a turn that accepted a connection: others may wait behind it, and one is accepted in each turn. */
const ACCEPTING_TURN_MS = 5;
/** The part of them that goes to the heads of calls at the most. */
const HEADS_SHARE = 1 / 2;
/** A head that has waited for longer is not read: its caller may come again, or try another proxy. */
const MAX_UNREAD_MS = 50;
/** One turn may last long, and what waits then is read in the next ones. */
const MIN_UNREAD_TURNS = 3;

interface WaitingHead {
  readonly call: UnreadCall;
  /** By the clock of `performance`. */
  readonly since: number;
  /** The number of the turn before which it came. */
  readonly turn: number;
}

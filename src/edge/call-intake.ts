/** Limits the time per event loop turn that is spent on starting calls. */
import { performance } from 'node:perf_hooks';

/** A call whose head has not been parsed. */
export interface UnparsedCall {
  /** Parses the head; the call continues by messages. */
  readonly read: () => void;
  /** Refuses the call without parsing its head. */
  readonly refuse: () => void;
  /** Whether the sockets must be polled before the head is parsed, to detect that the caller has disconnected. */
  readonly needsPoll: boolean;
}

/** Options of {@link CallIntake}. */
export interface CallIntakeOptions {
  /** Starts the next call among those whose heads have been parsed. */
  readonly startNext: () => void;
  /** Called when calls remain that are not started before the sockets are polled. */
  readonly endTurn: () => void;
}

/**
 * Limits the work that one event loop turn starts and defers the rest to the next turn, so that the sockets are
 * polled in between. libuv accepts one connection per listener and turn; with long turns, connections would be
 * accepted only after their callers have disconnected.
 *
 * The work runs after the poll phase of the same turn. Nothing is deferred as long as it fits into the limit.
 */
export class CallIntake {
  readonly #options: CallIntakeOptions;
  readonly #heads: WaitingHead[] = [];
  /** Heads that are deferred until the sockets have been polled again. */
  #headsAfterPoll: WaitingHead[] = [];
  #turn = 0;
  #hasParsedCalls = false;
  #isScheduled = false;
  #hasAccepted = false;

  constructor(options: CallIntakeOptions) {
    this.#options = options;
  }

  /** Adds a call that arrived. */
  add(call: UnparsedCall): void {
    const waiting = { call, since: performance.now(), turn: this.#turn };
    if (call.needsPoll) this.#headsAfterPoll.push(waiting);
    else this.#heads.push(waiting);
    this.#schedule();
  }

  /** Schedules a turn for calls that wait with parsed heads. */
  notifyWaiting(): void {
    this.#hasParsedCalls = true;
    this.#schedule();
  }

  /** Records that a connection was accepted; more connections may be pending in the backlog. */
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
    const polled = this.#headsAfterPoll;
    this.#headsAfterPoll = [];
    const startedAt = performance.now();
    this.#turn += 1;
    const turnMs = this.#hasAccepted ? ACCEPTING_TURN_MS : TURN_MS;
    this.#hasAccepted = false;
    this.#parseHeads(startedAt + turnMs * HEADS_SHARE);
    this.#startCalls(startedAt + turnMs);
    this.#refuseOldHeads(performance.now() - MAX_HEAD_WAIT_MS);
    if (this.#hasParsedCalls) this.#options.endTurn();
    this.#heads.push(...polled);
    if (this.#hasParsedCalls || this.#heads.length > 0) this.#schedule();
  }

  #parseHeads(until: number): void {
    for (let next = this.#heads.shift(); next !== undefined; next = this.#heads.shift()) {
      next.call.read();
      if (performance.now() >= until) return;
    }
  }

  #startCalls(until: number): void {
    while (this.#hasParsedCalls) {
      this.#hasParsedCalls = false;
      this.#options.startNext();
      if (performance.now() >= until) return;
    }
  }

  /** Refuses the heads that arrived before an instant. Heads are queued in order of arrival, oldest first. */
  #refuseOldHeads(before: number): void {
    for (let [first] = this.#heads; first !== undefined; [first] = this.#heads) {
      if (first.since > before || this.#turn - first.turn < MIN_HEAD_WAIT_TURNS) return;
      this.#heads.shift();
      first.call.refuse();
    }
  }
}

// Internals.

/** Milliseconds per turn for starting calls, in addition to the I/O callbacks of the poll phase. */
const TURN_MS = 20;
/** The limit in a turn that accepted a connection: more may be pending, and only one is accepted per turn. */
const ACCEPTING_TURN_MS = 5;
/** The maximum part of the limit that is spent on parsing heads. */
const HEADS_SHARE = 1 / 2;
/** Maximum wait of an unparsed head; the call is then refused, so that the caller retries it or another proxy. */
const MAX_HEAD_WAIT_MS = 50;
/** Turns for which a head waits at least: after a single long turn, waiting heads are parsed in the next turns. */
const MIN_HEAD_WAIT_TURNS = 3;

interface WaitingHead {
  readonly call: UnparsedCall;
  /** Time of arrival by `performance.now()`. */
  readonly since: number;
  /** The number of turns that the intake had run when the head arrived. */
  readonly turn: number;
}

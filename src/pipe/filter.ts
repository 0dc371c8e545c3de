/** Filters: the decision logic of the program, separate from sockets, timers and encodings. */
import type { Instant } from '../ids.js';

/** The result of one decision: the next state and the outgoing messages. */
export interface Step<State, Out> {
  readonly state: State;
  readonly outputs: readonly Out[];
}

/**
 * Computes the next state and the outputs for each message.
 *
 * A filter has no sockets and no timers and never reads a clock: `now` is a parameter, so that a test
 * or another front end can run the filter alone. Large tables inside `State` may be updated in place,
 * so callers of `decide` must use only the returned state afterwards.
 *
 * @example
 * class CountFilter extends Filter<number, 'hit', { total: number }> {
 *   override createState() { return 0; }
 *   override decide(state: number) { return { state: state + 1, outputs: [{ total: state + 1 }] }; }
 * }
 */
// Subclasses and applyFilter use the message type, which the lint rule does not detect.
// eslint-disable-next-line @typescript-eslint/no-unnecessary-type-parameters
export abstract class Filter<State, In, Out> {
  /** Returns the initial state. */
  abstract createState(): State;

  /** Handles one message at the instant `now`. */
  abstract decide(state: State, message: In, now: Instant): Step<State, Out>;
}

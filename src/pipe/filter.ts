/** Filters: the decisions of the program, apart from sockets, timers and encodings. */
import type { Instant } from '../ids.js';

/** The result of one decision: the next state, and the messages that it sends on. */
export interface Step<State, Out> {
  readonly state: State;
  readonly outputs: readonly Out[];
}

/**
 * Decides what follows from one message.
 *
 * A filter holds no socket and no timer and never reads a clock: `now` is handed in, so that a test
 * or another front end can drive it alone. Large tables inside `State` may be updated in place;
 * whoever calls `decide` must use only the returned state afterwards.
 *
 * @example
 * class CountFilter extends Filter<number, 'hit', { total: number }> {
 *   override createState() { return 0; }
 *   override decide(state: number) { return { state: state + 1, outputs: [{ total: state + 1 }] }; }
 * }
 */
// Subclasses and applyFilter name the message type, which the rule does not see.
// eslint-disable-next-line @typescript-eslint/no-unnecessary-type-parameters
export abstract class Filter<State, In, Out> {
  /** Creates the state before the first message. */
  abstract createState(): State;

  /** Decides on one message that is handled at `now`. */
  abstract decide(state: State, message: In, now: Instant): Step<State, Out>;
}

/** The usual task: one filter, and a function that passes its outputs on to other tasks. */
import type { Stream } from 'most';
import type { Clock } from '../clock.js';
import type { Instant } from '../ids.js';
import { applyFilter } from './apply-filter.js';
import type { Filter } from './filter.js';
import type { ReportFailure } from './task.js';
import { Task } from './task.js';
import { WakeTimer } from './wake-timer.js';

/** Asks for a `tick` message at an instant. Filters emit it when they must act without a message. */
export interface Wake {
  readonly kind: 'wake';
  readonly at: Instant;
}

/** The message that answers a {@link Wake}. */
export interface Tick {
  readonly kind: 'tick';
}

/** What a filter task needs. */
export interface FilterTaskOptions<State, In, Out> {
  readonly name: string;
  readonly filter: Filter<State, In, Out>;
  readonly clock: Clock;
  readonly reportFailure: ReportFailure;
  /** Hands an output on to the task that it is for. */
  readonly send: (output: Exclude<Out, Wake>) => void;
  /** Forms the message that wakes the filter. Needed when its outputs include {@link Wake}. */
  readonly formTick?: () => In;
}

/**
 * Runs one filter over its inbox, wakes it where it asks for that, and sends its outputs on.
 *
 * @example
 * const members = new FilterTask({ name: 'members', filter, clock, reportFailure, send: route });
 */
export class FilterTask<State, In, Out extends { readonly kind: string }> extends Task<In> {
  readonly #options: FilterTaskOptions<State, In, Out>;
  readonly #timer: WakeTimer;

  constructor(options: FilterTaskOptions<State, In, Out>) {
    super(options.name, options.reportFailure);
    this.#options = options;
    this.#timer = new WakeTimer(options.clock, () => {
      if (options.formTick !== undefined) this.post(options.formTick());
    });
  }

  protected override createPipe(messages: Stream<In>): Stream<unknown> {
    const { filter, clock } = this.#options;
    return applyFilter(filter, clock, messages).tap((output) => {
      this.#pass(output);
    });
  }

  protected override close(): Promise<void> {
    this.#timer.stop();
    return Promise.resolve();
  }

  // Internals.

  #pass(output: Out): void {
    if (isWake(output)) this.#timer.wakeAt(output.at);
    else this.#options.send(output as Exclude<Out, Wake>);
  }
}

// Internals.

function isWake(output: { readonly kind: string }): output is Wake {
  return output.kind === 'wake';
}

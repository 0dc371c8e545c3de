/** A task that runs one filter and routes its outputs to other tasks. */
import type { Stream } from 'most';
import type { Clock } from '../clock.js';
import type { Instant } from '../ids.js';
import { applyFilter } from './apply-filter.js';
import type { Filter } from './filter.js';
import type { ReportFailure } from './task.js';
import { Task } from './task.js';
import { WakeTimer } from './wake-timer.js';

/** Requests a `tick` message at an instant. A filter emits it to act without an incoming message. */
export interface WakeRequest {
  readonly kind: 'wake';
  readonly at: Instant;
}

/** The message that a filter receives at the instant of its {@link WakeRequest}. */
export interface Tick {
  readonly kind: 'tick';
}

/** Options of a {@link FilterTask}. */
export interface FilterTaskOptions<State, In, Out> {
  readonly name: string;
  readonly filter: Filter<State, In, Out>;
  readonly clock: Clock;
  readonly reportFailure: ReportFailure;
  /** Routes an output to the task that receives it. */
  readonly send: (output: Exclude<Out, WakeRequest>) => void;
  /** Returns the message that wakes the filter. Required if its outputs include {@link WakeRequest}. */
  readonly buildTick?: () => In;
}

/**
 * Runs one filter over its inbox, schedules the wake-ups that it requests, and routes its outputs.
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
      if (options.buildTick !== undefined) this.post(options.buildTick());
    });
  }

  protected override createPipe(messages: Stream<In>): Stream<unknown> {
    const { filter, clock } = this.#options;
    return applyFilter(filter, clock, messages).tap((output) => {
      this.#routeOutput(output);
    });
  }

  protected override close(): Promise<void> {
    this.#timer.stop();
    return Promise.resolve();
  }

  // Internals.

  #routeOutput(output: Out): void {
    if (isWake(output)) this.#timer.wakeAt(output.at);
    else this.#options.send(output as Exclude<Out, WakeRequest>);
  }
}

// Internals.

function isWake(output: { readonly kind: string }): output is WakeRequest {
  return output.kind === 'wake';
}

/** Runs a filter over a `most` stream. */
import { Stream } from 'most';
import type { Scheduler, Sink, Source } from 'most';
import type { Clock } from '../clock.js';
import type { Filter } from './filter.js';

/**
 * Passes each message of `messages` to `filter` and emits its outputs one by one, synchronously with
 * the message.
 *
 * @example
 * const answers = applyFilter(new CountFilter(), clock, inbox.stream);
 */
export function applyFilter<State, In, Out>(
  filter: Filter<State, In, Out>,
  clock: Clock,
  messages: Stream<In>,
): Stream<Out> {
  const steps = messages.loop((state: State, message: In) => {
    const step = filter.decide(state, message, clock.read());
    return { seed: step.state, value: step.outputs };
  }, filter.createState());
  return new Stream<Out>(new FlattenSource(steps.source));
}

// Internals.

/** Emits the elements of each list synchronously, within the event of the list. */
class FlattenSource<T> implements Source<T> {
  readonly #source: Source<readonly T[]>;

  constructor(lists: Source<readonly T[]>) {
    this.#source = lists;
  }

  run(sink: Sink<T>, scheduler: Scheduler): ReturnType<Source<T>['run']> {
    const flattenSink: Sink<readonly T[]> = {
      event: (time, list) => {
        for (const item of list) sink.event(time, item);
      },
      end: (time) => {
        sink.end(time);
      },
      error: (time, error) => {
        sink.error(time, error);
      },
    };
    return this.#source.run(flattenSink, scheduler) as unknown as ReturnType<Source<T>['run']>;
  }
}

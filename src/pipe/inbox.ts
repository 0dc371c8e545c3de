/** The message queue of a task, which delivers posted messages as a `most` stream. */
import { Stream } from 'most';
import type { Disposable, Scheduler, Sink, Source } from 'most';

/**
 * Delivers messages in order, one at a time.
 *
 * A message posted while another one is being handled is queued until that one is done, so a task
 * never handles two messages at once, even if it posts to itself.
 *
 * @example
 * const inbox = new Inbox<string>();
 * void inbox.stream.observe(console.log);
 * inbox.post('hello');
 */
export class Inbox<Message> {
  readonly #queue: Message[] = [];
  #sink: Sink<Message> | undefined;
  #scheduler: Scheduler | undefined;
  #isDelivering = false;

  /** The messages in the order of their arrival. Supports only one observer. */
  readonly stream: Stream<Message> = new Stream<Message>(this.#createSource());

  /** Adds a message, and delivers it before returning unless another one is being handled. */
  post(message: Message): void {
    this.#queue.push(message);
    if (!this.#isDelivering) this.#deliver();
  }

  /** Ends the stream. Messages posted later are dropped. */
  close(): void {
    const sink = this.#sink;
    this.#sink = undefined;
    sink?.end(this.#scheduler?.now() ?? 0);
  }

  // Internals.

  #deliver(): void {
    this.#isDelivering = true;
    try {
      while (this.#sink !== undefined && this.#queue.length > 0) {
        const message = this.#queue.shift() as Message;
        this.#sink.event(this.#scheduler?.now() ?? 0, message);
      }
    } finally {
      this.#isDelivering = false;
    }
  }

  #createSource(): Source<Message> {
    const attach = (sink: Sink<Message>, scheduler: Scheduler): Disposable<Message> => {
      if (this.#sink !== undefined)
        throw new Error('an inbox allows only one observer; post messages to it instead');
      this.#sink = sink;
      this.#scheduler = scheduler;
      this.#deliver();
      return {
        dispose: () => {
          this.#sink = undefined;
        },
      };
    };
    return { run: attach };
  }
}

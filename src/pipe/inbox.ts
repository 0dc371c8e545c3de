/** The inbox of a task: messages go in by `post` and come out as a `most` stream. */
import { Stream } from 'most';
import type { Disposable, Scheduler, Sink, Source } from 'most';

/**
 * Delivers messages one at a time and in order.
 *
 * A message that is posted while another one is being handled waits until that one is done, so a
 * task never sees two messages at once, even when it posts to itself.
 *
 * @example
 * const inbox = new Inbox<string>();
 * void inbox.stream.observe(console.log);
 * inbox.post('hello');
 */
export class Inbox<Message> {
  readonly #waiting: Message[] = [];
  #sink: Sink<Message> | undefined;
  #scheduler: Scheduler | undefined;
  #delivering = false;

  /** The messages in the order of their arrival. Only one observer is allowed. */
  readonly stream: Stream<Message> = new Stream<Message>(this.#createSource());

  /** Adds a message. It is delivered before `post` returns unless another one is being handled. */
  post(message: Message): void {
    this.#waiting.push(message);
    if (!this.#delivering) this.#deliver();
  }

  /** Ends the stream; messages that are posted later are dropped. */
  close(): void {
    const sink = this.#sink;
    this.#sink = undefined;
    sink?.end(this.#scheduler?.now() ?? 0);
  }

  // Internals.

  #deliver(): void {
    this.#delivering = true;
    try {
      while (this.#sink !== undefined && this.#waiting.length > 0) {
        const message = this.#waiting.shift() as Message;
        this.#sink.event(this.#scheduler?.now() ?? 0, message);
      }
    } finally {
      this.#delivering = false;
    }
  }

  #createSource(): Source<Message> {
    const attach = (sink: Sink<Message>, scheduler: Scheduler): Disposable<Message> => {
      if (this.#sink !== undefined)
        throw new Error('an inbox has one observer; post to it instead');
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

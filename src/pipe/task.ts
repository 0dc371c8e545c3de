/** Tasks, which own sockets, timers and state and communicate by messages. */
import type { Stream } from 'most';
import { Inbox } from './inbox.js';

/** Called when a task fails. The process must then stop, because the state of the task is lost. */
export type ReportFailure = (task: string, error: unknown) => void;

/**
 * Owns its sockets and its state. Other tasks communicate with it only through {@link Task.post}.
 *
 * Override {@link Task.createPipe} to compose filters over the inbox, and {@link Task.open} and
 * {@link Task.close} to open and close sockets.
 *
 * @example
 * class EchoTask extends Task<string> {
 *   protected override createPipe(messages: Stream<string>) { return messages.tap(console.log); }
 * }
 * const echo = new EchoTask('echo', reportFailure);
 * await echo.start();
 * echo.post('hello');
 */
export abstract class Task<In> {
  /** The name of the task in logs. */
  readonly name: string;
  readonly #inbox = new Inbox<In>();
  readonly #reportFailure: ReportFailure;

  constructor(name: string, reportFailure: ReportFailure) {
    this.name = name;
    this.#reportFailure = reportFailure;
  }

  /**
   * Sends a message to this task. An error in handling it is a failure of this task, not of the sender, who may have a
   * boundary of its own around what it reads.
   */
  post(message: In): void {
    try {
      this.#inbox.post(message);
    } catch (error) {
      this.fail(error);
    }
  }

  /** Opens the task's sockets, then starts to handle messages. */
  async start(): Promise<void> {
    await this.open();
    this.createPipe(this.#inbox.stream)
      .drain()
      .catch((error: unknown) => {
        this.#reportFailure(this.name, error);
      });
  }

  /** Closes the task's sockets. Messages that arrive later are dropped. */
  async stop(): Promise<void> {
    await this.close();
    this.#inbox.close();
  }

  /** Reports a failure outside the pipe, for example while writing to a file. */
  protected fail(error: unknown): void {
    this.#reportFailure(this.name, error);
  }

  /** Composes the filters of this task. The returned stream is run for its side effects. */
  protected abstract createPipe(messages: Stream<In>): Stream<unknown>;

  /** Opens sockets and files. Does nothing by default. */
  protected open(): Promise<void> {
    return Promise.resolve();
  }

  /** Closes the sockets and files that {@link Task.open} opened. Does nothing by default. */
  protected close(): Promise<void> {
    return Promise.resolve();
  }
}

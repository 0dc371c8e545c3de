/** Tasks: the owners of sockets, timers and state, which talk to each other by messages. */
import type { Stream } from 'most';
import { Inbox } from './inbox.js';

/** Called when a task fails; the process must then stop, because the task's state is lost. */
export type ReportFailure = (task: string, error: unknown) => void;

/**
 * Owns its sockets and its state; everybody else talks to it through {@link Task.post}.
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
  /** Names the task in logs. */
  readonly name: string;
  readonly #inbox = new Inbox<In>();
  readonly #reportFailure: ReportFailure;

  constructor(name: string, reportFailure: ReportFailure) {
    this.name = name;
    this.#reportFailure = reportFailure;
  }

  /** Sends a message to this task. */
  post(message: In): void {
    this.#inbox.post(message);
  }

  /** Opens the task's sockets, then begins to handle messages. */
  async start(): Promise<void> {
    await this.open();
    this.createPipe(this.#inbox.stream)
      .drain()
      .catch((error: unknown) => {
        this.#reportFailure(this.name, error);
      });
  }

  /** Closes the task's sockets and drops messages that arrive later. */
  async stop(): Promise<void> {
    await this.close();
    this.#inbox.close();
  }

  /** Reports a failure that arose outside the pipe, for example while writing to a file. */
  protected fail(error: unknown): void {
    this.#reportFailure(this.name, error);
  }

  /** Composes the filters of this task; the returned stream is run for its effects. */
  protected abstract createPipe(messages: Stream<In>): Stream<unknown>;

  /** Opens sockets and files. Override it when the task has any. */
  protected open(): Promise<void> {
    return Promise.resolve();
  }

  /** Closes what {@link Task.open} opened. */
  protected close(): Promise<void> {
    return Promise.resolve();
  }
}

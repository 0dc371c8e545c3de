/** The signals that ask this process to stop. */

/**
 * Remembers the first SIGTERM or SIGINT, so that one that comes while the process starts is not lost.
 *
 * A second SIGTERM does not end the process while it stops; a second SIGINT does.
 */
export class StopSignal {
  readonly #received: Promise<NodeJS.Signals>;

  /** Installs the handlers; without them a signal ends the process at once. */
  constructor() {
    this.#received = new Promise((resolve) => {
      process.on('SIGTERM', resolve);
      process.once('SIGINT', resolve);
    });
  }

  /** Resolves with the first signal. */
  wait(): Promise<NodeJS.Signals> {
    return this.#received;
  }
}

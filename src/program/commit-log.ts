/** Logs the versions that a source commits. */
import type { Clock } from '../clock.js';
import type { Version } from '../ids.js';
import type { RecoveryLog } from './recovery-log.js';

/** Options of a {@link CommitLog}. */
export interface CommitLogOptions {
  readonly recovery: RecoveryLog;
  readonly clock: Clock;
}

/**
 * Writes a line for each committed version. Versions that are committed in the same turn of the event loop, as when
 * a source replays its log, share one line after that of the first.
 */
export class CommitLog {
  readonly #recovery: RecoveryLog;
  readonly #clock: Clock;
  /** The version last written in this turn; undefined before the first. */
  #written: Version | undefined;
  #newest: Version | undefined;

  constructor({ recovery, clock }: CommitLogOptions) {
    this.#recovery = recovery;
    this.#clock = clock;
  }

  /** Handles the commit of the next version. */
  handleCommitted(version: Version): void {
    this.#newest = version;
    if (this.#written !== undefined) return;
    this.#written = version;
    this.#recovery.report('version-committed', { version });
    this.#clock.callAt(this.#clock.read(), () => {
      this.#endTurn();
    });
  }

  // Internals.

  #endTurn(): void {
    const [after, version] = [this.#written, this.#newest];
    this.#written = undefined;
    if (version !== after) this.#recovery.report('version-committed', { version, after });
  }
}

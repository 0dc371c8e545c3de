/** Notices changes of the settings file, with a signal or without one. */
import { stat } from 'node:fs/promises';
import type { CancelTimer, Clock } from '../clock.js';
import { addMs } from '../clock.js';
import type { Log } from './logger.js';
import type { Settings } from './settings.js';
import { loadSettings, SettingsError } from './settings.js';

/** What a settings watch needs. */
export interface SettingsWatchOptions {
  readonly path: string;
  readonly clock: Clock;
  /** Takes over the settings that may change while the process runs. */
  readonly apply: (settings: Settings) => void;
  readonly log: Log;
}

/**
 * Reads the settings file again after SIGHUP, and whenever its time or size has changed. Settings with
 * faults are logged and left out.
 */
export class SettingsWatch {
  readonly #options: SettingsWatchOptions;
  #seen: string | undefined;
  #cancel: CancelTimer | undefined;
  #isRunning = false;

  /** From now on the signal does not end the process, also before the start and after the stop. */
  constructor(options: SettingsWatchOptions) {
    this.#options = options;
    process.on('SIGHUP', () => {
      if (this.#isRunning) this.#reload('signal');
    });
  }

  /** Begins to look at the file and to take the signal for a change of it. */
  start(): void {
    this.#isRunning = true;
    this.#lookLater();
  }

  /** Ignores the signal and the file from now on. */
  stop(): void {
    this.#isRunning = false;
    this.#cancel?.();
  }

  // Internals.

  #lookLater(): void {
    if (!this.#isRunning) return;
    const { clock } = this.#options;
    this.#cancel = clock.callAt(addMs(clock.read(), LOOK_INTERVAL_MS), () => {
      this.#look().then(
        () => {
          this.#lookLater();
        },
        (error: unknown) => {
          this.#options.log('settings-unreadable', { message: (error as Error).message });
          this.#lookLater();
        },
      );
    });
  }

  async #look(): Promise<void> {
    const { mtimeMs, size, ino } = await stat(this.#options.path);
    const seen = `${mtimeMs} ${size} ${ino}`;
    const isChanged = this.#seen !== undefined && this.#seen !== seen;
    this.#seen = seen;
    if (isChanged) this.#reload('file');
  }

  #reload(cause: 'signal' | 'file'): void {
    const { path, apply, log } = this.#options;
    try {
      apply(loadSettings(path));
      log('settings-reloaded', { cause });
    } catch (error) {
      if (!(error instanceof SettingsError)) throw error;
      log('settings-rejected', { cause, faults: error.faults });
    }
  }
}

// Internals.

/** Half a second: new seeds must be known well before the old ones are gone. */
const LOOK_INTERVAL_MS = 500;

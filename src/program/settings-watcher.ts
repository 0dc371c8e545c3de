/** Reloads the settings file on SIGHUP and when polling detects a change. */
import { stat } from 'node:fs/promises';
import { isDeepStrictEqual } from 'node:util';
import type { CancelTimer, Clock } from '../clock.js';
import { addMs } from '../clock.js';
import type { Log } from './logger.js';
import type { Settings } from './settings.js';
import { loadSettings, SettingsError } from './settings.js';

/** Options of a {@link SettingsWatcher}. */
export interface SettingsWatcherOptions {
  readonly path: string;
  /** The settings with which the process starts. */
  readonly loaded: Settings;
  readonly clock: Clock;
  /** Applies the settings that can change at run time. */
  readonly apply: (settings: Settings) => void;
  readonly log: Log;
}

/**
 * Reloads the settings file after SIGHUP and whenever its modification time, size or inode changes.
 * Invalid settings are logged and not applied.
 */
export class SettingsWatcher {
  readonly #options: SettingsWatcherOptions;
  #fileState: string | undefined;
  #cancelTimer: CancelTimer | undefined;
  #isRunning = false;

  /**
   * Installs the SIGHUP handler, so that the signal does not end the process before `start` or after `stop`
   * either.
   */
  constructor(options: SettingsWatcherOptions) {
    this.#options = options;
    process.on('SIGHUP', () => {
      if (this.#isRunning) this.#reload('signal');
    });
  }

  /** Starts to poll the file and to reload it on SIGHUP. */
  start(): void {
    this.#isRunning = true;
    this.#startPollTimer();
  }

  /** Stops polling; SIGHUP is ignored from now on. */
  stop(): void {
    this.#isRunning = false;
    this.#cancelTimer?.();
  }

  // Internals.

  #startPollTimer(): void {
    if (!this.#isRunning) return;
    const { clock } = this.#options;
    this.#cancelTimer = clock.callAt(addMs(clock.read(), POLL_INTERVAL_MS), () => {
      this.#updateFileState().then(
        () => {
          this.#startPollTimer();
        },
        (error: unknown) => {
          this.#options.log('settings-unreadable', { message: (error as Error).message });
          this.#startPollTimer();
        },
      );
    });
  }

  async #updateFileState(): Promise<void> {
    const { mtimeMs, size, ino } = await stat(this.#options.path);
    const fileState = `${mtimeMs} ${size} ${ino}`;
    const former = this.#fileState;
    this.#fileState = fileState;
    // Before the first poll, the file may have changed while the process was starting.
    if (former === undefined) this.#reload('file', this.#options.loaded);
    else if (former !== fileState) this.#reload('file');
  }

  /** Applies the settings unless they are those that are known. */
  #reload(cause: 'signal' | 'file', known?: Settings): void {
    const { path, apply, log } = this.#options;
    try {
      const settings = loadSettings(path);
      if (isDeepStrictEqual(settings, known)) return;
      apply(settings);
      log('settings-reloaded', { cause });
    } catch (error) {
      if (!(error instanceof SettingsError)) throw error;
      log('settings-rejected', { cause, faults: error.faults });
    }
  }
}

// Internals.

/** Short, because new seeds must be known well before the old ones are gone. */
const POLL_INTERVAL_MS = 500;

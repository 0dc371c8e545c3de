/** The task that stores the version floor of a proxy on disk. */
import type { Stream } from 'most';
import type { VersionMark } from '../messages/index.js';
import type { ReportFailure } from '../pipe/index.js';
import { Task } from '../pipe/index.js';
import { loadFloor, syncFloor } from './floor-file.js';

/** Options of a {@link FloorTask}. */
export interface FloorTaskOptions {
  /** The path of the floor file, in the data folder. */
  readonly path: string;
  readonly reportFailure: ReportFailure;
  /** Called once, after the file is read. */
  readonly notifyLoaded: (floor: VersionMark | undefined) => void;
  /** Called after each floor is synced. */
  readonly notifySaved: (floor: VersionMark) => void;
}

/** Owns the floor file; each message is a floor to save. */
export class FloorTask extends Task<VersionMark> {
  readonly #options: FloorTaskOptions;
  #syncing: Promise<void> = Promise.resolve();

  constructor(options: FloorTaskOptions) {
    super('floor', options.reportFailure);
    this.#options = options;
  }

  protected override async open(): Promise<void> {
    this.#options.notifyLoaded(await loadFloor(this.#options.path));
  }

  protected override async close(): Promise<void> {
    await this.#syncing;
  }

  protected override createPipe(messages: Stream<VersionMark>): Stream<unknown> {
    return messages.tap((mark) => {
      this.#syncing = this.#syncing.then(() => this.#sync(mark));
    });
  }

  // Internals.

  async #sync(mark: VersionMark): Promise<void> {
    try {
      await syncFloor(this.#options.path, mark);
      this.#options.notifySaved(mark);
    } catch (error) {
      this.fail(error);
    }
  }
}

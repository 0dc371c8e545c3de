/** Watches the event loop that carries the links of a version soak. */
import type { DisturbanceRecord } from './version-lag.js';
import { CORE } from './version-lag.js';

/** Records a delay of the event loop as a disturbance of every host, because no link carried anything meanwhile. */
export class LoopWatch {
  readonly #disturbances: DisturbanceRecord;
  readonly #hosts: readonly string[];
  #timer: NodeJS.Timeout | undefined;
  #turnedAt = 0;
  #longestMs = 0;

  constructor(disturbances: DisturbanceRecord, hosts: readonly string[]) {
    this.#disturbances = disturbances;
    this.#hosts = hosts;
  }

  /** The longest delay so far. */
  get longestMs(): number {
    return this.#longestMs;
  }

  start(): void {
    this.#turnedAt = Date.now();
    this.#timer = setInterval(() => {
      this.#update();
    }, TURN_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  // Internals.

  #update(): void {
    const now = Date.now();
    const delayMs = now - this.#turnedAt - TURN_MS;
    this.#longestMs = Math.max(this.#longestMs, delayMs);
    if (delayMs > MAX_DELAY_MS) {
      for (const host of [CORE, ...this.#hosts]) {
        this.#disturbances.add(
          host,
          `the links stood still for ${delayMs} ms`,
          this.#turnedAt,
          now,
        );
      }
    }
    this.#turnedAt = now;
  }
}

// Internals.

const TURN_MS = 20;
/** A host whose packets wait for half a second counts as slowed. */
const MAX_DELAY_MS = 500;

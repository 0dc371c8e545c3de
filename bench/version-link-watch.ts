/** Watches the links of a version soak, and the event loop that carries them. */
import type { RunningMesh } from './mesh-plan.js';
import type { DisturbanceRecord } from './version-lag.js';
import { CORE } from './version-lag.js';

/**
 * Records hosts at whose links packets wait too long as disturbed, and all hosts while the event loop that carries
 * the links stands still.
 */
export class LinkWatch {
  readonly #running: RunningMesh;
  readonly #disturbances: DisturbanceRecord;
  #timer: NodeJS.Timeout | undefined;
  #turnedAt = 0;
  #longestMs = 0;

  constructor(running: RunningMesh, disturbances: DisturbanceRecord) {
    this.#running = running;
    this.#disturbances = disturbances;
  }

  /** The longest delay of the event loop so far, in milliseconds. */
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
    const { sources, proxies } = this.#running;
    if (delayMs > MAX_WAIT_MS) this.#addDisturbance(CORE, now);
    for (const { name } of sources) if (this.#isSlow(name, now)) this.#addDisturbance(CORE, now);
    for (const { name } of proxies) {
      if (delayMs > MAX_WAIT_MS || this.#isSlow(name, now)) this.#addDisturbance(name, now);
    }
    this.#turnedAt = now;
  }

  #isSlow(name: string, now: number): boolean {
    const { up, down } = this.#running.findLink(name);
    return Math.max(up.readWaitMs(now), down.readWaitMs(now)) > MAX_WAIT_MS;
  }

  #addDisturbance(host: string, now: number): void {
    this.#disturbances.add(host, 'packets wait', this.#turnedAt, now);
  }
}

// Internals.

const TURN_MS = 20;
/** A host whose packets wait for half a second counts as slowed. */
const MAX_WAIT_MS = 500;

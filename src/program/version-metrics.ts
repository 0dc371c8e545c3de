/** Metrics of the configuration versions that a proxy holds and serves. */
import type { Clock } from '../clock.js';
import type { Instant, Version } from '../ids.js';
import { NO_VERSION } from '../ids.js';
import type { MetricsRegistry, GaugeReading } from '../metrics/index.js';
import { Gauge } from '../metrics/index.js';

/** Reports the versions that a proxy holds and serves, and the time since it began to serve the current one. */
export class VersionMetrics {
  readonly #clock: Clock;
  #held = NO_VERSION;
  #served = NO_VERSION;
  #servedAt: Instant | undefined;

  constructor(registry: MetricsRegistry, clock: Clock) {
    this.#clock = clock;
    registry.add(
      new Gauge(
        'proxy_version',
        'Version that the proxy holds, and the one that it serves.',
        () => [
          { labels: { use: 'held' }, value: this.#held },
          { labels: { use: 'served' }, value: this.#served },
        ],
      ),
    );
    const help = 'Time since the proxy began to serve its version; absent while it serves none.';
    registry.add(new Gauge('proxy_version_age_seconds', help, () => this.#readAge()));
  }

  /** Records the version that the proxy holds. */
  handleHeld(version: Version): void {
    this.#held = version;
  }

  /** Records the version that routes new calls from now on. */
  handleServed(version: Version): void {
    this.#served = version;
    this.#servedAt = this.#clock.read();
  }

  // Internals.

  #readAge(): GaugeReading[] {
    if (this.#servedAt === undefined) return [];
    return [{ value: (this.#clock.read() - this.#servedAt) / MILLIS_PER_SECOND }];
  }
}

// Internals.

const MILLIS_PER_SECOND = 1_000;

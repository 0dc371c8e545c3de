/** Metrics of the configuration versions that a proxy holds and serves. */
import type { Clock } from '../clock.js';
import type { ProxyDistributionOut } from '../distribution/index.js';
import type { Instant, Version } from '../ids.js';
import { NO_VERSION } from '../ids.js';
import type { MetricsRegistry, GaugeReading } from '../metrics/index.js';
import { Gauge } from '../metrics/index.js';

/**
 * Reports the versions that a proxy holds, serves and has heard of, the time since it began to serve the current
 * one, and the time since it last knew that it was current.
 */
export class VersionMetrics {
  readonly #clock: Clock;
  #held = NO_VERSION;
  #served = NO_VERSION;
  #servedAt: Instant | undefined;
  #newestKnown = NO_VERSION;
  #checkedAt: Instant | undefined;

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
    registry.add(new Gauge('proxy_version_age_seconds', help, () => this.#readAge(this.#servedAt)));
    const checkedHelp =
      'Time since a message last showed that no higher version is known; absent before the first.';
    registry.add(
      new Gauge('proxy_version_checked_age_seconds', checkedHelp, () =>
        this.#readAge(this.#checkedAt),
      ),
    );
    registry.add(
      new Gauge('proxy_newest_known_version', 'Highest version heard of, held or not.', () => [
        { value: this.#newestKnown },
      ]),
    );
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

  /** Records the highest version heard of, and when the proxy last knew that it was current. */
  handleNewestKnown({ version, checkedAt }: NewestKnownReport): void {
    this.#newestKnown = version;
    this.#checkedAt = checkedAt;
  }

  // Internals.

  #readAge(since: Instant | undefined): GaugeReading[] {
    if (since === undefined) return [];
    return [{ value: (this.#clock.read() - since) / MILLIS_PER_SECOND }];
  }
}

// Internals.

type NewestKnownReport = Extract<ProxyDistributionOut, { kind: 'newest-known' }>;

const MILLIS_PER_SECOND = 1_000;

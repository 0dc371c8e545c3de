/** Round-trip times to the guards of other hosts. */
import { addMs } from '../clock.js';
import type { HostId, Instant } from '../ids.js';
import { LatencyEstimate } from './latency-estimate.js';

/**
 * Estimates the round-trip time to each guard, so that a refusal by the guard arrives before the deadline of the
 * call. The duration of an attempt is the round trip plus the time that its guard held it, which the guard reports.
 */
export class GuardRoundTrips {
  readonly #ownHost: HostId;
  readonly #hosts = new Map<HostId, LatencyEstimate>();
  readonly #overall = new LatencyEstimate();

  constructor(ownHost: HostId) {
    this.#ownHost = ownHost;
  }

  /** Adds a sample in milliseconds: the duration of an answered attempt minus the time that its guard held it. */
  add(host: HostId, milliseconds: number): void {
    const known = this.#hosts.get(host) ?? new LatencyEstimate();
    const roundTripMs = Math.max(0, milliseconds);
    known.add(roundTripMs);
    this.#overall.add(roundTripMs);
    this.#hosts.delete(host);
    this.#hosts.set(host, known);
    if (this.#hosts.size > MAX_HOSTS) this.#removeOldest();
  }

  /** Returns a high estimate of the round trip in milliseconds; for an unknown host, that over all guards. */
  findRoundTrip(host: HostId): number {
    if (host === this.#ownHost) return 0;
    const known = this.#hosts.get(host) ?? this.#overall;
    return known.findQuantile(DEVIATIONS) ?? DEFAULT_ROUND_TRIP_MS;
  }

  /**
   * Returns the latest instant at which the guard of `host` must send its own answer to an attempt. It is counted
   * from the arrival of an attempt that is sent now.
   */
  findReplyDeadline(host: HostId, deadline: Instant, now: Instant): Instant {
    const maxMarginMs = Math.min(MAX_ROUND_TRIP_MS, (deadline - now) * MAX_ROUND_TRIP_SHARE);
    return addMs(deadline, -Math.min(maxMarginMs, this.findRoundTrip(host)));
  }

  // Internals.

  #removeOldest(): void {
    for (const oldest of this.#hosts.keys()) {
      this.#hosts.delete(oldest);
      return;
    }
  }
}

// Internals.

/** As in the retransmission timeout of TCP. */
const DEVIATIONS = 4;
/** Regions are up to 30 ms apart, and processes that have just started add tens of milliseconds. */
const DEFAULT_ROUND_TRIP_MS = 100;
/** A longer round trip indicates a stalled process or link and does not predict the next attempt. */
const MAX_ROUND_TRIP_MS = 250;
/** The rest of the remaining time is reserved for the wait at the guard and the run. */
const MAX_ROUND_TRIP_SHARE = 0.25;
/** Exceeds the number of guards in use at a time; bounds memory while hosts join and leave. */
const MAX_HOSTS = 1_024;

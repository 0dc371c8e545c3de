/** How long messages take to the guards of other hosts and back. */
import { addMs } from '../clock.js';
import type { HostId, Instant } from '../ids.js';
import { LatencyEstimate } from './latency-estimate.js';

/**
 * Estimates the way to each guard and back, so that what a guard refuses is heard of before its call has to
 * be answered. An attempt takes the way, and the time for which its guard held it; the guard tells that time.
 */
export class GuardWays {
  readonly #ownHost: HostId;
  readonly #hosts = new Map<HostId, LatencyEstimate>();
  readonly #all = new LatencyEstimate();

  constructor(ownHost: HostId) {
    this.#ownHost = ownHost;
  }

  /** Adds what one answered attempt took, less the time for which its guard held it. */
  add(host: HostId, milliseconds: number): void {
    const known = this.#hosts.get(host) ?? new LatencyEstimate();
    const wayMs = Math.max(0, milliseconds);
    known.add(wayMs);
    this.#all.add(wayMs);
    this.#hosts.delete(host);
    this.#hosts.set(host, known);
    if (this.#hosts.size > MAX_HOSTS) this.#removeOldest();
  }

  /** Milliseconds that the way to a guard and back rarely exceeds; of a fresh host, that to any guard. */
  findWay(host: HostId): number {
    if (host === this.#ownHost) return 0;
    const known = this.#hosts.get(host) ?? this.#all;
    return known.findQuantile(DEVIATIONS) ?? UNKNOWN_WAY_MS;
  }

  /**
   * When an answer that the guard gives must leave it, at the latest, counted from the moment at which an
   * attempt that is sent now arrives there.
   */
  findReplyBy(host: HostId, deadline: Instant, now: Instant): Instant {
    const most = Math.min(MAX_WAY_MS, (deadline - now) * MAX_WAY_SHARE);
    return addMs(deadline, -Math.min(most, this.findWay(host)));
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

/** As many as a retransmission timeout of TCP allows for. */
const DEVIATIONS = 4;
/** Regions are up to 30 ms apart; processes that have just started answer tens of milliseconds later. */
const UNKNOWN_WAY_MS = 100;
/** A longer way is that of a process or link that stalls; it says little of the next attempt. */
const MAX_WAY_MS = 250;
/** The rest of the time that is left stays for the wait at the guard and the run. */
const MAX_WAY_SHARE = 0.25;
/** More guards than an entry proxy uses at a time; hosts come and go. */
const MAX_HOSTS = 1_024;

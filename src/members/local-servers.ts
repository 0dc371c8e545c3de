/** The local backend servers of this proxy, from their announcements and the outcomes of calls. */
import { addMs, NEVER } from '../clock.js';
import type { Address, InstanceId, Instant } from '../ids.js';
import type { Announcement, CallObservation, ServerState } from '../messages/index.js';
import { MAX_BROADCASTS, MAX_LOCAL_SERVERS } from './timing.js';

/** One local backend server. */
interface LocalServer {
  announcement: Announcement;
  /** Failed calls since the last answered call. */
  consecutiveFailures: number;
  /** Ejections since the last answered call. */
  ejections: number;
  /** The end of the ejection, during which the server is published as `failing`. */
  failingUntil: Instant;
}

/**
 * Holds announcements until their heartbeat deadlines, and returns the servers to publish.
 *
 * `leaving` is final: until the announcement expires, only `starting` begins a new run at the same
 * address. Consecutive failed calls eject a server long before its heartbeat expires. The ejection ends
 * after a time that doubles with each ejection, or with the first answered call.
 */
export class LocalServers {
  readonly #servers = new Map<Address, LocalServer>();
  /** Runs that have left, or were draining when their announcements expired, oldest first. */
  readonly #endedLives = new Map<InstanceId, number>();
  /** Runs that take no new calls, as this process or another member knows, oldest first. */
  readonly #leftRuns = new Map<InstanceId, number>();
  #isDraining = false;

  /** Applies an announcement. Returns `false` if it is ignored. */
  apply(announcement: Announcement, now: Instant): boolean {
    this.removeExpired(now);
    if (this.#hasEnded(announcement) || this.#isRevived(announcement)) return false;
    const known = this.#servers.get(announcement.address);
    if (known === undefined) {
      if (this.#servers.size >= MAX_LOCAL_SERVERS) return false;
      this.#servers.set(announcement.address, makeLocalServer(announcement));
      return true;
    }
    if (isOutdated(announcement, known.announcement)) return false;
    const isNewLife =
      isLaterLife(announcement, known.announcement) ||
      (announcement.state === 'starting' && known.announcement.state !== 'starting');
    if (known.announcement.state === 'leaving' && announcement.state !== 'leaving' && !isNewLife) {
      return false;
    }
    if (isNewLife) this.#servers.set(announcement.address, makeLocalServer(announcement));
    else known.announcement = announcement;
    return true;
  }

  /**
   * Marks the server with this instance id as leaving, unless `life` is that of an earlier run. Returns the life
   * of the run that has left, if it is known.
   */
  removeInstance(instance: InstanceId, life: number | undefined): number | undefined {
    const known = [...this.#servers.values()].find((one) => one.announcement.instance === instance);
    if (isEarlier(life, known?.announcement.life)) return undefined;
    const leftLife = life ?? known?.announcement.life;
    addLife(this.#endedLives, instance, leftLife);
    for (const server of this.#servers.values()) {
      const { announcement } = server;
      if (announcement.instance !== instance || isEarlier(life, announcement.life)) continue;
      server.announcement = { ...announcement, state: 'leaving' };
    }
    return leftLife;
  }

  /**
   * Records that a run, and the earlier ones of its instance, take no new calls. A server that was believed to
   * take them is draining from now on.
   */
  addLeftRun(instance: InstanceId, life: number): void {
    const latest = Math.max(life, this.#leftRuns.get(instance) ?? life);
    addLife(this.#leftRuns, instance, latest, MAX_BROADCASTS);
    for (const server of this.#servers.values()) {
      if (this.#isRevived(server.announcement))
        server.announcement = { ...server.announcement, state: 'draining' };
    }
  }

  /** Applies the outcome of a call at a local backend server. */
  observe({ server, outcome }: CallObservation, now: Instant): void {
    const known = this.#servers.get(server);
    if (known === undefined) return;
    if (outcome === 'answered') {
      known.consecutiveFailures = 0;
      known.ejections = 0;
      known.failingUntil = now;
      return;
    }
    if (known.failingUntil > now) return;
    known.consecutiveFailures += 1;
    if (known.consecutiveFailures < FAILURES_TO_EJECT) return;
    known.failingUntil = addMs(
      now,
      BASE_EJECTION_MS * 2 ** Math.min(known.ejections, MAX_EJECTION_DOUBLINGS),
    );
    known.ejections += 1;
    known.consecutiveFailures = FAILURES_TO_EJECT - 1;
  }

  /** Marks all servers as draining, except those that are leaving; cannot be undone. */
  drain(): void {
    this.#isDraining = true;
  }

  /** Removes the servers whose heartbeats have expired. */
  removeExpired(now: Instant): void {
    for (const [address, { announcement }] of this.#servers) {
      if (announcement.heartbeatDeadline > now) continue;
      this.#servers.delete(address);
      const { instance, life, state } = announcement;
      if (instance !== undefined && state === 'draining') addLife(this.#endedLives, instance, life);
    }
  }

  /** Returns the servers to publish at `now`, ordered by address. */
  form(now: Instant): Announcement[] {
    const published = [...this.#servers.values()].map((server) => ({
      ...server.announcement,
      state: this.#buildState(server, now),
    }));
    return published.sort((left, right) => (left.address < right.address ? -1 : 1));
  }

  /** Returns the next instant at which the published servers may change without a message. */
  findDeadline(now: Instant): Instant {
    let deadline = NEVER;
    for (const { announcement, failingUntil } of this.#servers.values()) {
      deadline = Math.min(deadline, announcement.heartbeatDeadline) as Instant;
      if (failingUntil > now) deadline = Math.min(deadline, failingUntil) as Instant;
    }
    return deadline;
  }

  // Internals.

  /** Whether an announcement is a late one of a run that has left. */
  #hasEnded({ instance, life, state }: Announcement): boolean {
    if (instance === undefined || life === undefined || state === 'leaving') return false;
    return life <= (this.#endedLives.get(instance) ?? Number.NEGATIVE_INFINITY);
  }

  /** Whether an announcement would take a run that drains or has left for one that takes calls. */
  #isRevived({ instance, life, state }: Announcement): boolean {
    if (instance === undefined || life === undefined) return false;
    if (state !== 'ready' && state !== 'starting') return false;
    return life <= (this.#leftRuns.get(instance) ?? Number.NEGATIVE_INFINITY);
  }

  #buildState({ announcement, failingUntil }: LocalServer, now: Instant): ServerState {
    if (announcement.state === 'leaving') return 'leaving';
    if (this.#isDraining) return 'draining';
    if (announcement.state === 'ready' && failingUntil > now) return 'failing';
    return announcement.state;
  }
}

// Internals.

const FAILURES_TO_EJECT = 3;
const BASE_EJECTION_MS = 5_000;
const MAX_EJECTION_DOUBLINGS = 4;
/** The maximum number of runs that are remembered after they have left. */
const MAX_ENDED_LIVES = 64;

/** Whether an announcement arrived after one of a later run, or after a later one of the same run. */
function isOutdated(next: Announcement, known: Announcement): boolean {
  if (isEarlier(next.life, known.life)) return true;
  if (next.life !== known.life || next.instance !== known.instance) return false;
  const isRevived = next.life !== undefined && known.state === 'draining' && next.state === 'ready';
  return isRevived || isEarlier(next.sequence, known.sequence);
}

/** Remembers the life of an instance; forgets the oldest instance if there are too many. */
function addLife(
  lives: Map<InstanceId, number>,
  instance: InstanceId,
  life: number | undefined,
  maxLives = MAX_ENDED_LIVES,
): void {
  if (life === undefined) return;
  lives.delete(instance);
  lives.set(instance, life);
  for (const oldest of lives.keys()) {
    if (lives.size <= maxLives) return;
    lives.delete(oldest);
  }
}

function isLaterLife(next: Announcement, known: Announcement): boolean {
  return isEarlier(known.life, next.life) || next.instance !== known.instance;
}

function isEarlier(left: number | undefined, right: number | undefined): boolean {
  return left !== undefined && right !== undefined && left < right;
}

function makeLocalServer(announcement: Announcement): LocalServer {
  return { announcement, consecutiveFailures: 0, ejections: 0, failingUntil: 0 as Instant };
}

/** The backend servers beside this proxy, from their announcements and from what calls saw. */
import { addMs, NEVER } from '../clock.js';
import type { Address, InstanceId, Instant } from '../ids.js';
import type { Announcement, Observation, ServerState } from '../messages/index.js';
import { MAX_OWN_SERVERS } from './timing.js';

/** One backend server beside this proxy. */
interface OwnServer {
  announcement: Announcement;
  /** Calls that failed since the last one that was answered. */
  failures: number;
  /** Times that the server was taken out since the last answered call. */
  strikes: number;
  /** Until then the server is published as failing. */
  failingUntil: Instant;
}

/**
 * Keeps the announcements until their heartbeat deadlines and forms what is published.
 *
 * `leaving` is final: until its announcement has lapsed, only `starting` begins a new life at the
 * same address. Calls that fail one after another take a server out long before its heartbeat lapses;
 * it comes back for a trial after a while, or with the first answered call.
 */
export class OwnServers {
  readonly #servers = new Map<Address, OwnServer>();
  /** Lives that have left or were leaving when their announcements lapsed, oldest first. */
  readonly #left = new Map<InstanceId, number>();
  #draining = false;

  /** Takes an announcement. Returns false when it is ignored. */
  apply(announcement: Announcement, now: Instant): boolean {
    this.removeLapsed(now);
    if (this.#hasLeft(announcement)) return false;
    const known = this.#servers.get(announcement.address);
    if (known === undefined) {
      if (this.#servers.size >= MAX_OWN_SERVERS) return false;
      this.#servers.set(announcement.address, makeServer(announcement));
      return true;
    }
    if (isOutdated(announcement, known.announcement)) return false;
    const isNewLife =
      isLaterLife(announcement, known.announcement) ||
      (announcement.state === 'starting' && known.announcement.state !== 'starting');
    if (known.announcement.state === 'leaving' && announcement.state !== 'leaving' && !isNewLife) {
      return false;
    }
    if (isNewLife) this.#servers.set(announcement.address, makeServer(announcement));
    else known.announcement = announcement;
    return true;
  }

  /** Marks the server of this id as leaving, unless the notice is about an earlier life. */
  removeInstance(instance: InstanceId, life: number | undefined): void {
    const known = [...this.#servers.values()].find((one) => one.announcement.instance === instance);
    if (isEarlier(life, known?.announcement.life)) return;
    this.#addLeft(instance, life ?? known?.announcement.life);
    for (const server of this.#servers.values()) {
      const { announcement } = server;
      if (announcement.instance !== instance || isEarlier(life, announcement.life)) continue;
      server.announcement = { ...announcement, state: 'leaving' };
    }
  }

  /** Takes what a call saw at one of the servers. */
  observe({ server, outcome }: Observation, now: Instant): void {
    const known = this.#servers.get(server);
    if (known === undefined) return;
    if (outcome === 'answered') {
      known.failures = 0;
      known.strikes = 0;
      known.failingUntil = now;
      return;
    }
    if (known.failingUntil > now) return;
    known.failures += 1;
    if (known.failures < FAILURES_TO_FAIL) return;
    known.failingUntil = addMs(now, FAILING_MS * 2 ** Math.min(known.strikes, MAX_DOUBLINGS));
    known.strikes += 1;
    known.failures = FAILURES_TO_FAIL - 1;
  }

  /** Publishes every server as draining from now on. */
  drain(): void {
    this.#draining = true;
  }

  /** Forgets the servers whose heartbeats have lapsed. */
  removeLapsed(now: Instant): void {
    for (const [address, { announcement }] of this.#servers) {
      if (announcement.heartbeatDeadline > now) continue;
      this.#servers.delete(address);
      const { instance, life, state } = announcement;
      if (instance !== undefined && state === 'draining') this.#addLeft(instance, life);
    }
  }

  /** Forms what is published at `now`, ordered by address. */
  form(now: Instant): Announcement[] {
    const published = [...this.#servers.values()].map((server) => ({
      ...server.announcement,
      state: this.#formState(server, now),
    }));
    return published.sort((left, right) => (left.address < right.address ? -1 : 1));
  }

  /** When the published servers may change without a message. */
  findDeadline(now: Instant): Instant {
    let deadline = NEVER;
    for (const { announcement, failingUntil } of this.#servers.values()) {
      deadline = Math.min(deadline, announcement.heartbeatDeadline) as Instant;
      if (failingUntil > now) deadline = Math.min(deadline, failingUntil) as Instant;
    }
    return deadline;
  }

  // Internals.

  /** An announcement may arrive long after its sender has left. */
  #hasLeft({ instance, life, state }: Announcement): boolean {
    if (instance === undefined || life === undefined || state === 'leaving') return false;
    return life <= (this.#left.get(instance) ?? Number.NEGATIVE_INFINITY);
  }

  #addLeft(instance: InstanceId, life: number | undefined): void {
    if (life === undefined) return;
    this.#left.delete(instance);
    this.#left.set(instance, life);
    for (const oldest of this.#left.keys()) {
      if (this.#left.size <= MAX_LEFT) return;
      this.#left.delete(oldest);
    }
  }

  #formState({ announcement, failingUntil }: OwnServer, now: Instant): ServerState {
    if (announcement.state === 'leaving') return 'leaving';
    if (this.#draining) return 'draining';
    if (announcement.state === 'ready' && failingUntil > now) return 'failing';
    return announcement.state;
  }
}

// Internals.

const FAILURES_TO_FAIL = 3;
const FAILING_MS = 5_000;
const MAX_DOUBLINGS = 4;
/** Lives of backend servers that are remembered after they have left. */
const MAX_LEFT = 64;

/** Announcements may arrive late, after those of a later life or after later ones of the same life. */
function isOutdated(next: Announcement, known: Announcement): boolean {
  if (isEarlier(next.life, known.life)) return true;
  if (next.life !== known.life || next.instance !== known.instance) return false;
  const isRevived = next.life !== undefined && known.state === 'draining' && next.state === 'ready';
  return isRevived || isEarlier(next.sequence, known.sequence);
}

function isLaterLife(next: Announcement, known: Announcement): boolean {
  return isEarlier(known.life, next.life) || next.instance !== known.instance;
}

function isEarlier(left: number | undefined, right: number | undefined): boolean {
  return left !== undefined && right !== undefined && left < right;
}

function makeServer(announcement: Announcement): OwnServer {
  return { announcement, failures: 0, strikes: 0, failingUntil: 0 as Instant };
}

/** Tracks requests that were in flight at backend servers that crashed. */
import { createHash } from 'node:crypto';
import type { Address, Digest, Instant } from '../ids.js';
import type { CrashSeen } from '../messages/index.js';

/** The number of servers that crashed with the request in flight: none, one, or at least two. */
export type CrashVerdict = 'clear' | 'suspect' | 'quarantined';

/**
 * Counts the servers that crashed while a request was in flight.
 *
 * A request that was in flight at two crashed servers is quarantined until its entry expires. An answered
 * run clears a request: its entry is removed, and crashes shortly afterwards are not attributed to it.
 */
export class CrashTable {
  readonly #crashes = new Map<Digest, CrashEntry>();
  readonly #answered = new Map<string, Instant>();

  /** Adds one crash, observed by this or another proxy. */
  addCrash({ fingerprint, server, until }: CrashSeen): void {
    const entry = this.#crashes.get(fingerprint) ?? { servers: new Set(), until };
    entry.servers.add(server);
    entry.until = Math.max(entry.until, until) as Instant;
    this.#crashes.delete(fingerprint);
    this.#crashes.set(fingerprint, entry);
    dropOldest(this.#crashes);
  }

  /** Judges a request before it runs. */
  findVerdict(subject: string, now: Instant): CrashVerdict {
    if (this.#crashes.size === 0) return 'clear';
    const fingerprint = buildFingerprint(subject);
    const entry = this.#crashes.get(fingerprint);
    if (entry === undefined) return 'clear';
    if (entry.until <= now) {
      this.#crashes.delete(fingerprint);
      return 'clear';
    }
    return entry.servers.size >= CRASHES_TO_QUARANTINE ? 'quarantined' : 'suspect';
  }

  /** Records a run that ended with an answer. */
  addAnswer(subject: string, now: Instant): void {
    this.#answered.delete(subject);
    this.#answered.set(subject, now);
    dropOldest(this.#answered);
    if (this.#crashes.size > 0) this.#crashes.delete(buildFingerprint(subject));
  }

  /** Tells whether this proxy has seen an answer to the request recently. */
  hasAnswered(subject: string, now: Instant): boolean {
    const at = this.#answered.get(subject);
    return at !== undefined && now - at <= ANSWER_VALIDITY_MS;
  }
}

/** Computes the fingerprint that identifies a crashing request in broadcasts between proxies. */
export function buildFingerprint(subject: string): Digest {
  return createHash('sha256').update(subject).digest('hex') as Digest;
}

// Internals.

interface CrashEntry {
  readonly servers: Set<Address>;
  until: Instant;
}

const CRASHES_TO_QUARANTINE = 2;
const ANSWER_VALIDITY_MS = 60_000;
const MAX_ENTRIES = 2_048;

function dropOldest<K, V>(table: Map<K, V>): void {
  if (table.size <= MAX_ENTRIES) return;
  for (const oldest of table.keys()) {
    table.delete(oldest);
    return;
  }
}

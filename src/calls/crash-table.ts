/** Remembers which requests were in flight at backend servers that died. */
import { createHash } from 'node:crypto';
import type { Address, Digest, Instant } from '../ids.js';
import type { Broadcast } from '../messages/index.js';

/** What is known of a request: nothing, one death beside it, or at least two. */
export type CrashVerdict = 'clear' | 'suspect' | 'quarantined';

/**
 * Counts the servers that died while a request was in flight.
 *
 * A request that was seen at two such servers is quarantined until its entry lapses. A run that ends
 * with an answer proves a request innocent: its entries are dropped, and deaths that follow soon are
 * not held against it.
 */
export class CrashTable {
  readonly #crashes = new Map<Digest, CrashEntry>();
  readonly #answered = new Map<string, Instant>();

  /** Adds one death, seen here or by another proxy. */
  addCrash({ fingerprint, server, until }: Broadcast): void {
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
    const fingerprint = formFingerprint(subject);
    const entry = this.#crashes.get(fingerprint);
    if (entry === undefined) return 'clear';
    if (entry.until <= now) {
      this.#crashes.delete(fingerprint);
      return 'clear';
    }
    return entry.servers.size >= CRASHES_TO_QUARANTINE ? 'quarantined' : 'suspect';
  }

  /** Notes a run that ended with an answer. */
  addAnswer(subject: string, now: Instant): void {
    this.#answered.delete(subject);
    this.#answered.set(subject, now);
    dropOldest(this.#answered);
    if (this.#crashes.size > 0) this.#crashes.delete(formFingerprint(subject));
  }

  /** Tells whether a request was answered here not long ago. */
  hasAnswered(subject: string, now: Instant): boolean {
    const at = this.#answered.get(subject);
    return at !== undefined && now - at <= ANSWER_PROOF_MS;
  }
}

/** Forms the fingerprint under which proxies tell each other of a crashing request. */
export function formFingerprint(subject: string): Digest {
  return createHash('sha256').update(subject).digest('hex') as Digest;
}

// Internals.

interface CrashEntry {
  readonly servers: Set<Address>;
  until: Instant;
}

const CRASHES_TO_QUARANTINE = 2;
const ANSWER_PROOF_MS = 60_000;
const MAX_ENTRIES = 2_048;

function dropOldest<K, V>(table: Map<K, V>): void {
  if (table.size <= MAX_ENTRIES) return;
  for (const oldest of table.keys()) {
    table.delete(oldest);
    return;
  }
}

/** The state machine of a ledger group: what is known of each key. */
import type { Digest, IdempotencyKey, Instant, RequestId } from '../ids.js';
import type {
  LedgerAnswer,
  LedgerCommand,
  LedgerRequest,
  StoredAnswer,
} from '../messages/index.js';

/** What is known of a key. */
interface KeyRecord {
  /** The attempt that claimed the key last. */
  readonly claim: RequestId;
  readonly digest: Digest | undefined;
  readonly deadline: Instant;
  readonly forgetAt: Instant;
  /** Whether the claim was given back before anything ran. */
  readonly released: boolean;
  readonly answer: StoredAnswer | undefined;
}

/** A table as plain data, for the snapshots of the log. */
export interface LedgerSnapshot {
  readonly now: Instant;
  readonly keys: readonly (readonly [IdempotencyKey, KeyRecord])[];
}

type Claim = Extract<LedgerRequest, { kind: 'claim' }>;

/**
 * Applies the commands of a group. The result depends on the commands alone, so that replicas agree:
 * time is the latest that a leader wrote into the log.
 *
 * A key that may have run is never granted again, whoever asks, until it is forgotten. A claim that
 * was released stays released, so that a late copy of it does not claim the key once more.
 */
export class LedgerTable {
  readonly #keys = new Map<IdempotencyKey, KeyRecord>();
  /** The keys to look at once a slot of time has passed. */
  readonly #slots = new Map<number, IdempotencyKey[]>();
  #now = 0 as Instant;
  #forgottenSlot = 0;

  /** Builds a table from a snapshot. */
  static open({ now, keys }: LedgerSnapshot): LedgerTable {
    const table = new LedgerTable();
    table.#now = now;
    table.#forgottenSlot = findSlot(now);
    for (const [key, record] of keys) table.#set(key, record);
    return table;
  }

  /** The number of keys that are remembered. */
  get size(): number {
    return this.#keys.size;
  }

  /** Forms the snapshot of the present state. */
  formSnapshot(): LedgerSnapshot {
    return { now: this.#now, keys: [...this.#keys] };
  }

  /** Applies one command and returns the answer to it. */
  apply({ request, at }: LedgerCommand): LedgerAnswer {
    if (at > this.#now) this.#now = at;
    this.#forget();
    switch (request.kind) {
      case 'claim':
        return this.#claim(request);
      case 'settle':
        return this.#settle(request);
      case 'release':
        return this.#release(request);
    }
  }

  // Internals.

  #claim(request: Claim): LedgerAnswer {
    const { id, key } = request;
    const record = this.#find(key);
    if (record?.released === true && record.claim === id) return { kind: 'unavailable', id };
    if (record === undefined || record.released) return this.#grant(request);
    if (record.digest !== request.digest) return { kind: 'key-reused', id };
    if (record.answer !== undefined) return { kind: 'answered', id, answer: record.answer };
    if (record.deadline <= this.#now) return { kind: 'may-have-run', id };
    if (record.claim === id) return { kind: 'granted', id };
    return { kind: 'in-progress', id, until: record.deadline };
  }

  /** Grants a claim, unless its time is over or the table is full. */
  #grant({ id, key, digest, deadline, forgetAt }: Claim): LedgerAnswer {
    const isFull = this.#keys.size >= MAX_KEYS && !this.#keys.has(key);
    if (deadline <= this.#now || isFull) return { kind: 'unavailable', id };
    const kept = Math.min(Math.max(forgetAt, deadline), this.#now + MAX_KEPT_MS) as Instant;
    const fields = { claim: id, digest, deadline, released: false, answer: undefined };
    this.#set(key, { ...fields, forgetAt: kept });
    return { kind: 'granted', id };
  }

  #settle({ id, key, answer }: Extract<LedgerRequest, { kind: 'settle' }>): LedgerAnswer {
    const record = this.#find(key);
    if (record?.claim === id && !record.released && record.answer === undefined) {
      this.#keys.set(key, { ...record, answer });
    }
    return { kind: 'recorded', id };
  }

  /** Gives a claim back. One that has not arrived yet is remembered, and refused when it comes. */
  #release({ id, key }: Extract<LedgerRequest, { kind: 'release' }>): LedgerAnswer {
    const record = this.#find(key);
    if (record === undefined) {
      const forgetAt = (this.#now + RELEASED_KEPT_MS) as Instant;
      const fields = { claim: id, digest: undefined, deadline: this.#now, answer: undefined };
      this.#set(key, { ...fields, forgetAt, released: true });
    } else if (record.claim === id && record.answer === undefined) {
      this.#keys.set(key, { ...record, released: true });
    }
    return { kind: 'recorded', id };
  }

  #find(key: IdempotencyKey): KeyRecord | undefined {
    const record = this.#keys.get(key);
    return record !== undefined && record.forgetAt > this.#now ? record : undefined;
  }

  #set(key: IdempotencyKey, record: KeyRecord): void {
    this.#keys.set(key, record);
    const slot = findSlot(record.forgetAt);
    const keys = this.#slots.get(slot);
    if (keys === undefined) this.#slots.set(slot, [key]);
    else keys.push(key);
  }

  /** Forgets the keys whose time is over, a slot at a time. */
  #forget(): void {
    const present = findSlot(this.#now);
    if (this.#forgottenSlot === 0) this.#forgottenSlot = present;
    for (; this.#forgottenSlot < present; this.#forgottenSlot += 1) {
      for (const key of this.#slots.get(this.#forgottenSlot) ?? []) {
        if (this.#find(key) === undefined) this.#keys.delete(key);
      }
      this.#slots.delete(this.#forgottenSlot);
    }
  }
}

// Internals.

const SLOT_MS = 10_000;
const MAX_KEYS = 2_000_000;
const MAX_KEPT_MS = 7 * 24 * 60 * 60 * 1_000;
const RELEASED_KEPT_MS = 10 * 60 * 1_000;

function findSlot(instant: Instant): number {
  return Math.floor(instant / SLOT_MS);
}

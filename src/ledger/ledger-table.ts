/** The state machine of a ledger group: the claim and the answer of each idempotency key. */
import type { Digest, IdempotencyKey, Instant, RequestId } from '../ids.js';
import type {
  LedgerAnswer,
  LedgerCommand,
  LedgerRequest,
  StoredAnswer,
} from '../messages/index.js';

/** The record of one key. */
interface KeyRecord {
  /** The id of the attempt that claimed the key last. */
  readonly claim: RequestId;
  readonly digest: Digest | undefined;
  readonly deadline: Instant;
  readonly forgetAt: Instant;
  /** Whether the claim was released because its call did not run. */
  readonly released: boolean;
  readonly answer: StoredAnswer | undefined;
}

/** A table as plain data, for snapshots of the log. */
export interface LedgerSnapshot {
  readonly now: Instant;
  readonly keys: readonly (readonly [IdempotencyKey, KeyRecord])[];
}

type Claim = Extract<LedgerRequest, { kind: 'claim' }>;

/**
 * Applies the commands of a group. The result depends on the commands only, so that all replicas agree: the
 * current time is the latest time that a leader wrote into the log.
 *
 * A key whose call may have run is not granted again until it expires. A released claim stays released, so that a
 * late copy of it does not claim the key again.
 */
export class LedgerTable {
  readonly #keys = new Map<IdempotencyKey, KeyRecord>();
  /** The keys that may expire in each time slot. */
  readonly #expirySlots = new Map<number, IdempotencyKey[]>();
  #now = 0 as Instant;
  #firstSlot = 0;

  /** Builds a table from a snapshot. */
  static open({ now, keys }: LedgerSnapshot): LedgerTable {
    const table = new LedgerTable();
    table.#now = now;
    table.#firstSlot = findSlot(now);
    for (const [key, record] of keys) table.#setRecord(key, record);
    return table;
  }

  /** The number of stored keys. */
  get size(): number {
    return this.#keys.size;
  }

  /** Builds a snapshot of the current state. */
  buildSnapshot(): LedgerSnapshot {
    return { now: this.#now, keys: [...this.#keys] };
  }

  /** Applies one command and returns the answer to it. */
  apply({ request, at }: LedgerCommand): LedgerAnswer {
    if (at > this.#now) this.#now = at;
    this.#forgetExpired();
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
    const record = this.#findRecord(key);
    if (record?.released === true && record.claim === id) return { kind: 'unavailable', id };
    if (record === undefined || record.released) return this.#grant(request);
    if (record.digest !== request.digest) return { kind: 'key-reused', id };
    if (record.answer !== undefined) return { kind: 'answered', id, answer: record.answer };
    if (record.deadline <= this.#now) return { kind: 'may-have-run', id };
    if (record.claim === id) return { kind: 'granted', id };
    return { kind: 'in-progress', id, until: record.deadline };
  }

  /** Grants a claim, unless its deadline has passed or the table is full. */
  #grant({ id, key, digest, deadline, forgetAt }: Claim): LedgerAnswer {
    const isFull = this.#keys.size >= MAX_KEYS && !this.#keys.has(key);
    if (deadline <= this.#now || isFull) return { kind: 'unavailable', id };
    const boundedForgetAt = Math.min(
      Math.max(forgetAt, deadline),
      this.#now + MAX_RETENTION_MS,
    ) as Instant;
    const fields = { claim: id, digest, deadline, released: false, answer: undefined };
    this.#setRecord(key, { ...fields, forgetAt: boundedForgetAt });
    return { kind: 'granted', id };
  }

  #settle({ id, key, answer }: Extract<LedgerRequest, { kind: 'settle' }>): LedgerAnswer {
    const record = this.#findRecord(key);
    if (record?.claim === id && !record.released && record.answer === undefined) {
      this.#keys.set(key, { ...record, answer });
    }
    return { kind: 'recorded', id };
  }

  /** Releases a claim. If the claim has not arrived yet, the release is stored, so that the claim is refused later. */
  #release({ id, key }: Extract<LedgerRequest, { kind: 'release' }>): LedgerAnswer {
    const record = this.#findRecord(key);
    if (record === undefined) {
      const forgetAt = (this.#now + RELEASED_RETENTION_MS) as Instant;
      const fields = { claim: id, digest: undefined, deadline: this.#now, answer: undefined };
      this.#setRecord(key, { ...fields, forgetAt, released: true });
    } else if (record.claim === id && record.answer === undefined) {
      this.#keys.set(key, { ...record, released: true });
    }
    return { kind: 'recorded', id };
  }

  #findRecord(key: IdempotencyKey): KeyRecord | undefined {
    const record = this.#keys.get(key);
    return record !== undefined && record.forgetAt > this.#now ? record : undefined;
  }

  #setRecord(key: IdempotencyKey, record: KeyRecord): void {
    this.#keys.set(key, record);
    const slot = findSlot(record.forgetAt);
    const keys = this.#expirySlots.get(slot);
    if (keys === undefined) this.#expirySlots.set(slot, [key]);
    else keys.push(key);
  }

  /** Removes expired keys, one time slot at a time. */
  #forgetExpired(): void {
    const currentSlot = findSlot(this.#now);
    if (this.#firstSlot === 0) this.#firstSlot = currentSlot;
    for (; this.#firstSlot < currentSlot; this.#firstSlot += 1) {
      for (const key of this.#expirySlots.get(this.#firstSlot) ?? []) {
        if (this.#findRecord(key) === undefined) this.#keys.delete(key);
      }
      this.#expirySlots.delete(this.#firstSlot);
    }
  }
}

// Internals.

const SLOT_MS = 10_000;
const MAX_KEYS = 2_000_000;
const MAX_RETENTION_MS = 7 * 24 * 60 * 60 * 1_000;
const RELEASED_RETENTION_MS = 10 * 60 * 1_000;

function findSlot(instant: Instant): number {
  return Math.floor(instant / SLOT_MS);
}

/** Claims on idempotency keys: the call of each key runs at most once. */
import type { Digest, IdempotencyKey, Instant, RequestId } from '../ids.js';

/** The stored answer of a call, returned when the call is sent again. */
export interface StoredAnswer {
  readonly status: number;
  /** Alternating header names and values. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/**
 * A request from the call pipe to the ledger. The `id` identifies the attempt to run a call: `settle` and
 * `release` repeat the id of the claim that they end. All three requests may be retried.
 */
export type LedgerRequest =
  | {
      readonly kind: 'claim';
      readonly id: RequestId;
      /** The caller's idempotency key, scoped to the caller and the request kind. */
      readonly key: IdempotencyKey;
      /** Digest of the request; detects a key that is reused for a different request. */
      readonly digest: Digest;
      /** The call does not run after this instant; an unsettled claim then has an unknown outcome. */
      readonly deadline: Instant;
      /** When the key expires from the ledger. */
      readonly forgetAt: Instant;
    }
  /** The call has ended and its complete answer is known. */
  | {
      readonly kind: 'settle';
      readonly id: RequestId;
      readonly key: IdempotencyKey;
      readonly answer: StoredAnswer;
    }
  /** The call certainly did not run, so the key can be claimed again. */
  | { readonly kind: 'release'; readonly id: RequestId; readonly key: IdempotencyKey };

/** The ledger's answer to a {@link LedgerRequest}. */
export type LedgerAnswer =
  /** The key is claimed for this request, which may run now. */
  | { readonly kind: 'granted'; readonly id: RequestId }
  | { readonly kind: 'in-progress'; readonly id: RequestId; readonly until: Instant }
  | { readonly kind: 'answered'; readonly id: RequestId; readonly answer: StoredAnswer }
  /** The call may have run before and never runs again. */
  | { readonly kind: 'may-have-run'; readonly id: RequestId }
  /** The key belongs to a different request. */
  | { readonly kind: 'key-reused'; readonly id: RequestId }
  /** The `settle` or `release` is recorded. */
  | { readonly kind: 'recorded'; readonly id: RequestId }
  /** No quorum answered. A claim with this answer is not granted, so its call must not run. */
  | { readonly kind: 'unavailable'; readonly id: RequestId };

/** One ledger command, as stored in the replicated log. */
export interface LedgerCommand {
  readonly request: LedgerRequest;
  /** When the leader received the request. */
  readonly at: Instant;
}

/** A message from a proxy to a ledger host. */
export interface GroupLedgerRequest {
  readonly kind: 'ask';
  /** The ledger group that owns the key. */
  readonly group: number;
  readonly request: LedgerRequest;
}

/** A message from a ledger host to a proxy. */
export type GroupLedgerReply =
  | { readonly kind: 'answer'; readonly group: number; readonly answer: LedgerAnswer }
  /** This host could not process the request; retrying it, here or at another host, is safe. */
  | { readonly kind: 'ask-again'; readonly group: number; readonly id: RequestId };

/** Claims of keyed calls: each key runs at most once. */
import type { Digest, IdempotencyKey, Instant, RequestId } from '../ids.js';

/** The answer of a call as it is kept for resends. */
export interface StoredAnswer {
  readonly status: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/**
 * What the call pipe asks of the ledger. The `id` names the attempt to run a call: `settle` and `release`
 * bring the id of the claim that they end, and all three may be sent again.
 */
export type LedgerRequest =
  | {
      readonly kind: 'claim';
      readonly id: RequestId;
      /** The caller's key, in the scope of its caller and request kind. */
      readonly key: IdempotencyKey;
      /** Digest of the request, so that a key is not used for two different requests. */
      readonly digest: Digest;
      /** After this instant the call runs no more; the claim is then an unknown outcome. */
      readonly deadline: Instant;
      /** The key is remembered until then. */
      readonly forgetAt: Instant;
    }
  /** The call has ended and its whole answer is known. */
  | {
      readonly kind: 'settle';
      readonly id: RequestId;
      readonly key: IdempotencyKey;
      readonly answer: StoredAnswer;
    }
  /** The call certainly did not run, so the key may be claimed again. */
  | { readonly kind: 'release'; readonly id: RequestId; readonly key: IdempotencyKey };

/** How the ledger answers. */
export type LedgerAnswer =
  /** The key is claimed for this request; it may run now. */
  | { readonly kind: 'granted'; readonly id: RequestId }
  | { readonly kind: 'in-progress'; readonly id: RequestId; readonly until: Instant }
  | { readonly kind: 'answered'; readonly id: RequestId; readonly answer: StoredAnswer }
  /** An earlier run may have happened; the call is never run again. */
  | { readonly kind: 'may-have-run'; readonly id: RequestId }
  /** The key belongs to a different request. */
  | { readonly kind: 'key-reused'; readonly id: RequestId }
  /** A settle or release has been recorded. */
  | { readonly kind: 'recorded'; readonly id: RequestId }
  /** No quorum answered; a claim that is answered so was not granted and must not run. */
  | { readonly kind: 'unavailable'; readonly id: RequestId };

/** One change of a ledger, as it stands in the log. */
export interface LedgerCommand {
  readonly request: LedgerRequest;
  /** When the leader received the request. */
  readonly at: Instant;
}

/** What a proxy sends to a ledger host. */
export interface LedgerAsk {
  readonly kind: 'ask';
  /** The group of the key. */
  readonly group: number;
  readonly request: LedgerRequest;
}

/** What a ledger host sends back. */
export type LedgerReply =
  | { readonly kind: 'answer'; readonly group: number; readonly answer: LedgerAnswer }
  /** This host could not do it; asking another one, or again, is safe. */
  | { readonly kind: 'ask-again'; readonly group: number; readonly id: RequestId };

/** Claims the idempotency key of a call in the ledger, so that the call runs at most once per key. */
import { createHash } from 'node:crypto';
import { addMs } from '../clock.js';
import type { CallId, Digest, IdempotencyKey, Instant, RequestId } from '../ids.js';
import type {
  LedgerAnswer,
  LedgerRequest,
  RefusalOutcome,
  RefusalReason,
  StoredAnswer,
} from '../messages/index.js';
import type { WakeRequest } from '../pipe/index.js';
import { Filter } from '../pipe/index.js';
import type { Step } from '../pipe/index.js';
import type { RoutedCall } from './classify-filter.js';
import { needsClaim } from './classify-filter.js';

/** Inputs of the claim filter. */
export type ClaimIn =
  | { readonly kind: 'routed'; readonly call: RoutedCall }
  | { readonly kind: 'ledger-answer'; readonly answer: LedgerAnswer }
  /** The call has ended with this answer; `undefined` if the answer is too large to store. */
  | { readonly kind: 'answered'; readonly id: CallId; readonly answer: StoredAnswer | undefined }
  /** The call has ended without an answer. */
  | { readonly kind: 'failed'; readonly id: CallId; readonly outcome: RefusalOutcome }
  /** The caller has disconnected. */
  | { readonly kind: 'gone'; readonly id: CallId }
  | { readonly kind: 'tick' };

/** Outputs of the claim filter. */
export type ClaimOut =
  | { readonly kind: 'claimed'; readonly call: RoutedCall }
  | { readonly kind: 'ledger'; readonly request: LedgerRequest }
  | { readonly kind: 'replay'; readonly id: CallId; readonly answer: StoredAnswer }
  | {
      readonly kind: 'refuse';
      readonly id: CallId;
      readonly reason: RefusalReason;
      readonly outcome: RefusalOutcome;
    }
  | WakeRequest;

/** A claim that has been requested or granted. */
interface Claim {
  readonly call: RoutedCall;
  readonly key: IdempotencyKey;
  /** The call is refused if the ledger has not answered by then. */
  readonly answerDeadline: Instant;
  stage: 'asked' | 'granted' | 'abandoned';
}

/** The claims of the open calls. */
export interface ClaimState {
  readonly claims: Map<RequestId, Claim>;
}

/**
 * Passes on a call that needs no claim immediately, and every other call when the ledger has granted its claim.
 *
 * A claim is released only if the call certainly did not run. A claim with an unknown outcome is kept, so
 * that the ledger answers resends with `may-have-run`.
 */
export class ClaimFilter extends Filter<ClaimState, ClaimIn, ClaimOut> {
  override createState(): ClaimState {
    return { claims: new Map() };
  }

  override decide(state: ClaimState, message: ClaimIn, now: Instant): Step<ClaimState, ClaimOut> {
    return { state, outputs: decideClaim(state.claims, message, now) };
  }

  /** Tells whether the ledger has granted the claim of a call. */
  hasGranted(state: ClaimState, id: CallId): boolean {
    return state.claims.get(buildRequestId(id))?.stage === 'granted';
  }
}

// Internals.

type Claims = ClaimState['claims'];

const LEDGER_TIMEOUT_MS = 2_000;
const FORGET_AFTER_MS = 24 * 60 * 60 * 1_000;

function decideClaim(claims: Claims, message: ClaimIn, now: Instant): ClaimOut[] {
  switch (message.kind) {
    case 'routed':
      return sendClaimRequest(claims, message.call, now);
    case 'ledger-answer':
      return handleAnswer(claims, message.answer);
    case 'answered':
      return settleClaim(claims, message.id, message.answer);
    case 'failed':
      return endClaim(claims, message.id, message.outcome);
    case 'gone':
      return abandonClaim(claims.get(buildRequestId(message.id)));
    case 'tick':
      return expireClaims(claims, now);
  }
}

function sendClaimRequest(claims: Claims, call: RoutedCall, now: Instant): ClaimOut[] {
  if (!needsClaim(call.requestKind, call.head)) return [{ kind: 'claimed', call }];
  const id = buildRequestId(call.head.id);
  const key = buildScopedKey(call);
  const answerDeadline = Math.min(call.deadline, addMs(now, LEDGER_TIMEOUT_MS)) as Instant;
  claims.set(id, { call, key, answerDeadline, stage: 'asked' });
  const request: LedgerRequest = {
    kind: 'claim',
    id,
    key,
    digest: buildRequestDigest(call),
    deadline: call.deadline,
    forgetAt: addMs(now, FORGET_AFTER_MS),
  };
  return [
    { kind: 'ledger', request },
    { kind: 'wake', at: answerDeadline },
  ];
}

function handleAnswer(claims: Claims, answer: LedgerAnswer): ClaimOut[] {
  const claim = claims.get(answer.id);
  if (claim === undefined || claim.stage === 'granted') return [];
  if (claim.stage === 'abandoned') {
    claims.delete(answer.id);
    return answer.kind === 'granted' ? [buildRelease(answer.id, claim)] : [];
  }
  if (answer.kind === 'granted') {
    claim.stage = 'granted';
    return [{ kind: 'claimed', call: claim.call }];
  }
  claims.delete(answer.id);
  const { id } = claim.call.head;
  switch (answer.kind) {
    case 'answered':
      return [{ kind: 'replay', id, answer: answer.answer }];
    case 'in-progress':
    case 'may-have-run':
      return [{ kind: 'refuse', id, reason: answer.kind, outcome: 'unknown' }];
    case 'key-reused':
      return [{ kind: 'refuse', id, reason: 'key-reused', outcome: 'not-run' }];
    case 'recorded':
    case 'unavailable':
      return [{ kind: 'refuse', id, reason: 'ledger-unavailable', outcome: 'not-run' }];
  }
}

function settleClaim(claims: Claims, call: CallId, answer: StoredAnswer | undefined): ClaimOut[] {
  const id = buildRequestId(call);
  const claim = claims.get(id);
  if (claim?.stage !== 'granted') return [];
  claims.delete(id);
  if (answer === undefined) return [];
  return [{ kind: 'ledger', request: { kind: 'settle', id, key: claim.key, answer } }];
}

function endClaim(claims: Claims, call: CallId, outcome: RefusalOutcome): ClaimOut[] {
  const id = buildRequestId(call);
  const claim = claims.get(id);
  if (claim?.stage !== 'granted') return [];
  claims.delete(id);
  return outcome === 'not-run' ? [buildRelease(id, claim)] : [];
}

/** Marks a pending claim as abandoned; it is released if the ledger still grants it. */
function abandonClaim(claim: Claim | undefined): ClaimOut[] {
  if (claim?.stage === 'asked') claim.stage = 'abandoned';
  return [];
}

function expireClaims(claims: Claims, now: Instant): ClaimOut[] {
  const outputs: ClaimOut[] = [];
  for (const [id, claim] of claims) {
    if (claim.stage === 'abandoned' && addMs(claim.call.deadline, LEDGER_TIMEOUT_MS) <= now) {
      claims.delete(id);
    }
    if (claim.stage !== 'asked') continue;
    if (claim.answerDeadline > now) {
      outputs.push({ kind: 'wake', at: claim.answerDeadline });
      continue;
    }
    claim.stage = 'abandoned';
    const refusal = { reason: 'ledger-unavailable', outcome: 'not-run' } as const;
    outputs.push({ kind: 'refuse', id: claim.call.head.id, ...refusal });
    outputs.push({ kind: 'wake', at: addMs(claim.call.deadline, LEDGER_TIMEOUT_MS) });
  }
  return outputs;
}

function buildRelease(id: RequestId, claim: Claim): ClaimOut {
  return { kind: 'ledger', request: { kind: 'release', id, key: claim.key } };
}

/** Scopes an idempotency key to its caller and request kind, so that equal keys do not collide. */
function buildScopedKey({ head, requestKind }: RoutedCall): IdempotencyKey {
  const scope = JSON.stringify([head.caller ?? '', requestKind.name, head.key]);
  return digestText(scope) as string as IdempotencyKey;
}

function buildRequestDigest({ head }: RoutedCall): Digest {
  return digestText(JSON.stringify([head.method, head.url, head.bodyDigest ?? '']));
}

function digestText(text: string): Digest {
  return createHash('sha256').update(text).digest('hex') as Digest;
}

/** Each call requests one claim, so the call id also identifies its ledger requests. */
function buildRequestId(id: CallId): RequestId {
  return id as string as RequestId;
}

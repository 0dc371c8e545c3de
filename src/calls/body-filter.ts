/** Holds forwarded attempts with large bodies until their bodies have arrived over the link of this host. */
import { addMs } from '../clock.js';
import type { Address, AttemptId, CallId, Instant } from '../ids.js';
import type { RefusalReason } from '../messages/index.js';
import type { Step, WakeRequest } from '../pipe/index.js';
import { Filter } from '../pipe/index.js';
import type { BodyDecision } from './body-admission.js';
import { BodyAdmission } from './body-admission.js';
import type { ForwardedAttempt } from './intake-filter.js';

/** Events of the bodies that other proxies send. */
export type BodyEvent =
  /** Bytes of a permitted body have arrived. */
  | { readonly kind: 'body-part'; readonly attempt: AttemptId; readonly bytes: number }
  /** The body is complete, or as much of it as is held in memory: the attempt can run. */
  | { readonly kind: 'body-ready'; readonly attempt: AttemptId }
  /** The last byte of the body has arrived. */
  | { readonly kind: 'body-complete'; readonly attempt: AttemptId };

/** Inputs of the body filter. */
export type BodyIn =
  /** An attempt asks for permission to send its body of `bytes`; its run is expected to take `runMs`. */
  | {
      readonly kind: 'ask';
      readonly work: ForwardedAttempt;
      readonly bytes: number;
      readonly runMs: number;
    }
  | BodyEvent
  /** The attempt has ended, or its entry proxy has gone. */
  | { readonly kind: 'ended'; readonly attempt: AttemptId }
  | { readonly kind: 'stopping'; readonly answerBy: Instant }
  | { readonly kind: 'drain' }
  | { readonly kind: 'tick' };

/** Permits the entry proxy of an attempt to send its body. */
export interface BodyGrant {
  readonly kind: 'grant-body';
  readonly id: CallId;
  readonly attempt: AttemptId;
  readonly bytesPerSecond: number;
  /** How long the attempt has waited for the permission. */
  readonly waitedMs: number;
}

/** Outputs of the body filter. */
export type BodyOut =
  | BodyGrant
  /** The body is here: the attempt asks for a slot. */
  | ForwardedAttempt
  | {
      readonly kind: 'reject-body';
      readonly id: CallId;
      readonly attempt: AttemptId;
      readonly server: Address;
      readonly reason: RefusalReason;
      /** Whether the body was permitted and has not arrived in time. */
      readonly isGranted: boolean;
      readonly waitedMs: number;
    }
  | BodyCounts
  | WakeRequest;

/** Reports how many bodies wait and arrive; used only for metrics. */
export interface BodyCounts {
  readonly kind: 'body-counts';
  /** Bodies that wait for a permission. */
  readonly waiting: number;
  /** Permitted bodies that have not arrived completely. */
  readonly arriving: number;
}

/** The state of the body filter; updated in place. */
export interface BodyState {
  readonly admission: BodyAdmission;
  readonly asked: Map<AttemptId, AskedBody>;
}

/** An attempt that asked for permission and has not ended. */
export interface AskedBody {
  readonly work: ForwardedAttempt;
  readonly askedAt: Instant;
  isGranted: boolean;
}

/** Decides which attempts may send their bodies; an attempt asks for a slot when its body is here. */
export class BodyFilter extends Filter<BodyState, BodyIn, BodyOut> {
  readonly #linkBytesPerSecond: number;

  /** @param linkBytesPerSecond The bandwidth of the link of this host. */
  constructor(linkBytesPerSecond: number) {
    super();
    this.#linkBytesPerSecond = linkBytesPerSecond;
  }

  override createState(): BodyState {
    return { admission: new BodyAdmission(this.#linkBytesPerSecond), asked: new Map() };
  }

  override decide(state: BodyState, message: BodyIn, now: Instant): Step<BodyState, BodyOut> {
    return { state, outputs: handleMessage(state, message, now) };
  }
}

// Internals.

/** Time for the answer to leave the guard, and for late timers. */
const ANSWER_MARGIN_MS = 10;

function handleMessage(state: BodyState, message: BodyIn, now: Instant): BodyOut[] {
  const { admission } = state;
  switch (message.kind) {
    case 'ask':
      return addBody(state, message, now);
    case 'body-part':
      return receivePart(state, message.attempt, message.bytes, now);
    case 'body-ready':
      return startAttempt(state, message.attempt);
    case 'body-complete':
      return buildOutputs(state, admission.complete(message.attempt, now), now);
    case 'ended':
      if (!state.asked.delete(message.attempt)) return [];
      return buildOutputs(state, admission.remove(message.attempt, now), now);
    case 'stopping':
      admission.limitDeadlines(message.answerBy);
      return buildOutputs(state, admission.check(now), now);
    case 'drain':
      return buildOutputs(state, admission.rejectWaiting('draining'), now);
    case 'tick':
      return buildOutputs(state, admission.check(now), now);
  }
}

/** Most parts decide nothing, and cost no outputs. */
function receivePart(state: BodyState, attempt: AttemptId, bytes: number, now: Instant): BodyOut[] {
  const decisions = state.admission.receive(attempt, bytes, now);
  return decisions.length === 0 ? [] : buildOutputs(state, decisions, now);
}

function addBody(
  state: BodyState,
  { work, bytes, runMs }: Extract<BodyIn, { kind: 'ask' }>,
  now: Instant,
): BodyOut[] {
  const { attempt, worth, deadline, replyBy, aim, onlyIfFree = false } = work.head;
  const afterMs = runMs + ANSWER_MARGIN_MS;
  const dueBy = addMs(Math.min(replyBy ?? deadline, deadline) as Instant, -afterMs);
  const aimBy = aim === undefined ? dueBy : (Math.min(dueBy, addMs(aim, -afterMs)) as Instant);
  state.asked.set(attempt, { work, askedAt: now, isGranted: false });
  const body = { attempt, bytes, worth, dueBy, aimBy, onlyIfFree };
  return buildOutputs(state, state.admission.add(body, now), now);
}

/** The attempt now waits for a slot, whatever it would have accepted before its body was sent. */
function startAttempt({ admission, asked }: BodyState, attempt: AttemptId): BodyOut[] {
  const work = asked.get(attempt)?.work;
  if (work === undefined) return [];
  admission.markRunning(attempt);
  return [{ ...work, head: { ...work.head, onlyIfFree: false } }];
}

function buildOutputs(
  state: BodyState,
  decisions: readonly BodyDecision[],
  now: Instant,
): BodyOut[] {
  const outputs: BodyOut[] = [];
  for (const decision of decisions) {
    const { attempt } = decision;
    const asked = state.asked.get(attempt);
    if (asked === undefined) continue;
    const { id, head } = asked.work;
    const waitedMs = now - asked.askedAt;
    if (decision.kind === 'reject') {
      const { server } = head;
      const { isGranted } = asked;
      state.asked.delete(attempt);
      outputs.push({ ...decision, kind: 'reject-body', id, server, isGranted, waitedMs });
      outputs.push(...buildOutputs(state, state.admission.remove(attempt, now), now));
    } else {
      asked.isGranted = true;
      outputs.push({ ...decision, id, waitedMs });
    }
  }
  const { waiting, sending: arriving } = state.admission;
  outputs.push({ kind: 'body-counts', waiting, arriving });
  const at = state.admission.findNextCheck(now);
  return at === undefined ? outputs : [...outputs, { kind: 'wake', at }];
}

/** Where the attempts of a call go, and whether they may wait there. */
import { addMs } from '../clock.js';
import type { Address, AttemptId, Instant, ServiceName } from '../ids.js';
import type { AttemptFailure, CallTarget, RefusalOutcome } from '../messages/index.js';
import type { AttemptOut, SendAgainReason, SentAgain } from './attempt-messages.js';
import type { AttemptState, OpenCall } from './attempt-state.js';
import { needsClaim } from './classify-filter.js';
import type { PickContext, Picker } from './picker.js';
import type { ServerRecord } from './server-table.js';

/** The attempt after which a call is sent again. */
export interface LastAttempt {
  readonly server: Address | undefined;
  readonly reason: SendAgainReason;
  readonly outcome: RefusalOutcome;
}

/** Where an attempt was declined. */
export interface Declined {
  readonly server: Address;
  readonly reason: AttemptFailure['reason'];
}

/**
 * Places attempts at backend servers. What an entry proxy knows of their load is as old as their last answers,
 * so an attempt waits at a guard only where no other server is believed to have a free slot.
 */
export class AttemptPlacement {
  readonly #picker: Picker;

  constructor(picker: Picker) {
    this.#picker = picker;
  }

  /**
   * Starts an attempt at the server that costs least; no output where none is left to try. A call is not sent
   * again where no answer can come in time: that would only put in doubt what is known of its former attempts.
   */
  start(state: AttemptState, call: OpenCall, now: Instant, last?: LastAttempt): AttemptOut[] {
    const { service, head, requestKind, deadline, aim, subject } = call.routed;
    const tiers = state.servers.listTiers(service);
    const record = this.#picker.pick(tiers, formPickContext(call, now));
    if (record === undefined) return [];
    const server = record.announcement.address;
    const { host } = record.member;
    const lastStart = addMs(findAttemptDeadline(deadline), -state.ways.findWay(host));
    if (last !== undefined && lastStart <= now) return [];
    const attempt = `${head.id}.${call.started}` as AttemptId;
    call.started += 1;
    call.tried.add(server);
    call.running.add(attempt);
    record.outstanding += 1;
    record.startedAts.set(attempt, now);
    state.attempts.set(attempt, { call, record, startedAt: now });
    const { name, worth } = requestKind;
    const { suspect } = call;
    const count = head.attempt + call.started - 1;
    return [
      ...(last === undefined ? [] : [formSentAgain(call, last, server, count)]),
      {
        kind: 'dispatch',
        id: head.id,
        target: formTarget(record, service),
        head: {
          attempt,
          server,
          requestKind: name,
          worth,
          deadline: findAttemptDeadline(deadline),
          replyBy: state.ways.findReplyBy(host, findAttemptDeadline(deadline), now),
          ...(aim === undefined ? {} : { aim }),
          subject,
          suspect,
          onlyIfFree: this.#mayBeDeclined(state, call, now),
        },
        count,
        keepsAnswer: needsClaim(requestKind, head),
      },
    ];
  }

  /** Tells whether a refused attempt goes to another server without counting as a retry. */
  mayPassOn({ declinedBy, routed }: OpenCall, { reason }: AttemptFailure): boolean {
    if (reason === 'busy') return true;
    if (reason !== 'proxy-overloaded' || !routed.head.repeatable) return false;
    return declinedBy.length < MAX_DECLINES;
  }

  /**
   * Tries another server after one without a free slot, or waits at one of those that were asked. A proxy that had
   * no time is not asked again at once: nothing waits there.
   */
  passOn(
    state: AttemptState,
    call: OpenCall,
    { server, reason }: Declined,
    now: Instant,
  ): AttemptOut[] {
    call.declinedBy.push(server);
    if (!this.#hasAlternative(state, call, now)) {
      const kept = reason === 'busy' ? undefined : server;
      for (const one of call.declinedBy) {
        if (one !== kept && !call.reached.has(one)) call.tried.delete(one);
      }
    }
    return this.start(state, call, now, { server, reason: 'busy', outcome: 'not-run' });
  }

  // Internals.

  /** An attempt that finds no free slot is better sent elsewhere than left to wait. */
  #mayBeDeclined(state: AttemptState, call: OpenCall, now: Instant): boolean {
    const { head, requestKind } = call.routed;
    if (!head.repeatable || requestKind.largeAnswers === true) return false;
    if (call.declinedBy.length >= MAX_DECLINES) return false;
    return this.#hasAlternative(state, call, now);
  }

  /** Tells whether a server that was not tried yet is believed to have a free slot. */
  #hasAlternative(state: AttemptState, call: OpenCall, now: Instant): boolean {
    const tiers = state.servers.listTiers(call.routed.service);
    return this.#picker.hasRoom(tiers, formPickContext(call, now));
  }
}

/** The deadline of the attempts of a call. */
export function findAttemptDeadline(deadline: Instant): Instant {
  return addMs(deadline, -ANSWER_MARGIN_MS);
}

// Internals.

/** Servers without a free slot, or behind a proxy without time, that a call asks before it waits at one. */
const MAX_DECLINES = 2;
/** The guard gives up a little earlier, so that its answer "not run" still reaches the caller. */
const ANSWER_MARGIN_MS = 3;

function formPickContext({ routed, tried }: OpenCall, now: Instant): PickContext {
  const { name, largeAnswers } = routed.requestKind;
  return { now, tried, requestKind: name, staysNear: largeAnswers };
}

function formSentAgain(
  { routed }: OpenCall,
  { server: from, reason, outcome }: LastAttempt,
  to: Address,
  attempt: number,
): SentAgain {
  const { id } = routed.head;
  const { idempotent: isIdempotent } = routed.requestKind;
  return { kind: 'sent-again', id, attempt, from, to, reason, outcome, isIdempotent };
}

function formTarget(record: ServerRecord, service: ServiceName): CallTarget {
  const { member, announcement } = record;
  return {
    service,
    host: member.host,
    guard: member.calls,
    pass: member.pass,
    server: announcement.address,
  };
}

/** Chooses the backend servers of attempts and decides whether an attempt may wait for a slot there. */
import { addMs } from '../clock.js';
import type { Address, AttemptId, Instant, ServiceName } from '../ids.js';
import type { AttemptFailure, AttemptTarget, RefusalOutcome } from '../messages/index.js';
import type { AttemptOut, SendAgainReason, SentAgain } from './attempt-messages.js';
import type { AttemptState, OpenCall } from './attempt-state.js';
import { needsClaim } from './classify-filter.js';
import type { PickContext, Picker } from './picker.js';
import type { ServerRecord } from './server-table.js';

/** The attempt that precedes a retry or hedge. */
export interface PreviousAttempt {
  readonly server: Address | undefined;
  readonly reason: SendAgainReason;
  readonly outcome: RefusalOutcome;
}

/** A server at which an attempt found no free slot or whose proxy was overloaded. */
export interface DecliningServer {
  readonly server: Address;
  readonly reason: AttemptFailure['reason'];
}

/**
 * Places attempts at backend servers. Load information is only as fresh as the last answer of each server, so
 * an attempt waits at a guard only if no other server is believed to have a free slot.
 */
export class AttemptPlacement {
  readonly #picker: Picker;
  readonly #asksForBodies: boolean;

  /** @param asksForBodies Whether guards permit large bodies before they are sent. */
  constructor(picker: Picker, asksForBodies = false) {
    this.#picker = picker;
    this.#asksForBodies = asksForBodies;
  }

  /**
   * Starts an attempt at the server with the lowest cost; returns no outputs if no candidate is left. A call is
   * not sent again if no answer can arrive in time: that would only make a known outcome uncertain.
   */
  start(state: AttemptState, call: OpenCall, now: Instant, last?: PreviousAttempt): AttemptOut[] {
    const { service, head, requestKind, worth, account, deadline, aim, subject } = call.routed;
    const isHedge = last?.reason === 'hedge';
    const record = this.#pick(state, call, now, isHedge);
    if (record === undefined) return [];
    const server = record.announcement.address;
    const { host } = record.member;
    const lastStart = addMs(
      findAttemptDeadline(deadline),
      -state.guardRoundTrips.findRoundTrip(host),
    );
    if (last !== undefined && lastStart <= now) return [];
    const attempt = `${head.id}.${call.started}` as AttemptId;
    call.started += 1;
    call.triedServers.add(server);
    call.running.add(attempt);
    record.outstanding += 1;
    record.unansweredStarts.set(attempt, now);
    const onlyIfFree = isHedge || this.#mayBeDeclined(state, call, now);
    state.attempts.set(attempt, { call, record, startedAt: now, isHedge, mayWait: !onlyIfFree });
    const { name } = requestKind;
    const { suspect } = call;
    const count = head.attempt + call.started - 1;
    return [
      ...(last === undefined ? [] : [buildSentAgain(call, last, server, count)]),
      {
        kind: 'dispatch',
        id: head.id,
        target: buildTarget(record, service),
        head: {
          attempt,
          server,
          requestKind: name,
          worth,
          deadline: findAttemptDeadline(deadline),
          replyBy: state.guardRoundTrips.findReplyDeadline(
            host,
            findAttemptDeadline(deadline),
            now,
          ),
          ...(aim === undefined ? {} : { aim }),
          ...(account === undefined ? {} : { account: account.name }),
          subject,
          suspect,
          onlyIfFree,
        },
        count,
        keepsAnswer: needsClaim(requestKind, head),
        ...(requestKind.largeBodies === true ? { hasLargeBody: true } : {}),
      },
    ];
  }

  /** Tells whether a refused attempt may be redirected to another server without counting as a retry. */
  mayPassOn({ declinedBy, routed }: OpenCall, { reason }: AttemptFailure): boolean {
    if (reason === 'busy') return true;
    if (reason !== 'proxy-overloaded' || !routed.head.repeatable) return false;
    return declinedBy.length < MAX_DECLINES;
  }

  /**
   * Redirects an attempt that was declined; if no alternative has a free slot, it waits at a server that declined
   * it before. An overloaded proxy is not retried immediately, because no attempt waits there.
   */
  passOn(
    state: AttemptState,
    call: OpenCall,
    { server, reason }: DecliningServer,
    now: Instant,
  ): AttemptOut[] {
    call.declinedBy.push(server);
    if (!this.hasAlternative(state, call, now)) {
      const kept = reason === 'busy' ? undefined : server;
      for (const one of call.declinedBy) {
        if (one !== kept && !call.possiblyReached.has(one)) call.triedServers.delete(one);
      }
    }
    return this.start(state, call, now, { server, reason: 'busy', outcome: 'not-run' });
  }

  /** Tells whether an untried server is believed to have a free slot. */
  hasAlternative(state: AttemptState, call: OpenCall, now: Instant): boolean {
    const tiers = state.servers.listTiers(call.routed.service, call.side);
    return this.#picker.hasRoom(tiers, buildPickContext(call, now));
  }

  // Internals.

  /** Tells whether the guard should decline the attempt if no slot is free, so that it can be redirected. */
  #mayBeDeclined(state: AttemptState, call: OpenCall, now: Instant): boolean {
    const { head, requestKind } = call.routed;
    // A guard that declines a large body has not received any of it, so a streamed one can go to another server.
    const isUnsent = this.#asksForBodies && requestKind.largeBodies === true;
    if (!(head.repeatable || isUnsent) || requestKind.largeAnswers === true) return false;
    if (call.declinedBy.length >= MAX_DECLINES) return false;
    return this.hasAlternative(state, call, now);
  }

  /**
   * Picks a server of the version of the call. A call for an ordered version goes over to the version in use when
   * the roll-out has ended, or when no server of the ordered version has room or, at the whole share, is there. Once all
   * calls go to the ordered version, so do further attempts of earlier calls. A hedge stays with the version of its call.
   */
  #pick(
    state: AttemptState,
    call: OpenCall,
    now: Instant,
    isHedge: boolean,
  ): ServerRecord | undefined {
    const { service } = call.routed;
    const context = buildPickContext(call, now);
    if (isHedge) {
      return this.#picker.pickFree(state.servers.listTiers(service, call.side), context);
    }
    if (
      call.side === 'in-use' &&
      call.started > 0 &&
      state.versions?.hasMoved(service, now) === true
    )
      call.side = 'ordered';
    if (call.side === 'ordered') {
      const rule = state.versions?.findRule(service);
      const tiers = state.servers.listTiers(service, call.side);
      const isKept =
        rule?.isRunning === true && (!rule.mayFallBack || this.#picker.hasRoom(tiers, context));
      const record = isKept ? this.#picker.pick(tiers, context) : undefined;
      if (isKept && (record !== undefined || call.started > 0)) return record;
      call.side = 'in-use';
    }
    return this.#picker.pick(state.servers.listTiers(service, call.side), context);
  }
}

/** Returns the deadline of the attempts of a call, which is shortly before that of the call. */
export function findAttemptDeadline(deadline: Instant): Instant {
  return addMs(deadline, -ANSWER_MARGIN_MS);
}

// Internals.

/** Number of servers that may decline a call (no free slot, or an overloaded proxy) before it waits at one. */
const MAX_DECLINES = 2;
/** The guard gives up this much earlier, so that its `not-run` refusal still reaches the caller in time. */
const ANSWER_MARGIN_MS = 3;

function buildPickContext({ routed, triedServers: tried }: OpenCall, now: Instant): PickContext {
  const { name, largeAnswers } = routed.requestKind;
  return { now, tried, requestKind: name, prefersOwnDataCentre: largeAnswers };
}

function buildSentAgain(
  { routed }: OpenCall,
  { server: from, reason, outcome }: PreviousAttempt,
  to: Address,
  attempt: number,
): SentAgain {
  const { id } = routed.head;
  const { idempotent: isIdempotent } = routed.requestKind;
  return { kind: 'sent-again', id, attempt, from, to, reason, outcome, isIdempotent };
}

function buildTarget(record: ServerRecord, service: ServiceName): AttemptTarget {
  const { member, announcement } = record;
  return {
    service,
    host: member.host,
    guard: member.calls,
    pass: member.pass,
    server: announcement.address,
  };
}

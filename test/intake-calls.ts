/** Calls as the intake sees them. */
import { addMs } from '../src/clock.js';
import type { IntakeIn } from '../src/calls/index.js';
import type {
  Address,
  AttemptId,
  CallId,
  Instant,
  RequestKindName,
  ServiceName,
} from '../src/ids.js';
import { makeHead, makeKind } from './call-resources.js';

/** What distinguishes a call for the intake. */
export interface IntakeCall {
  readonly now: Instant;
  readonly worth?: number;
  /** Milliseconds until the aim. */
  readonly aimMs?: number;
  readonly deadlineMs?: number;
}

/** Makes a caller's call. */
export function makeRouted(id: string, call: IntakeCall): IntakeIn {
  const { now, worth = 1, aimMs = 400, deadlineMs = 20_000 } = call;
  return {
    kind: 'routed',
    call: {
      head: makeHead(id),
      service: 'shop' as ServiceName,
      requestKind: makeKind('read', { worth }),
      deadline: addMs(now, deadlineMs),
      aim: addMs(now, aimMs),
      subject: id,
    },
  };
}

/** Makes an attempt of another proxy. */
export function makeForwarded(id: string, call: IntakeCall): IntakeIn {
  const { now, worth = 1, aimMs = 400, deadlineMs = 20_000 } = call;
  return {
    kind: 'forwarded',
    id: id as CallId,
    count: 1,
    head: {
      attempt: `${id}.forwarded` as AttemptId,
      server: '127.0.0.1:9000' as Address,
      requestKind: 'read' as RequestKindName,
      worth,
      deadline: addMs(now, deadlineMs),
      aim: addMs(now, aimMs),
      subject: id,
      suspect: false,
    },
  };
}

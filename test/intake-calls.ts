/** Test fixtures for the intake filter. */
import { addMs } from '../src/clock.js';
import type { IntakeIn } from '../src/calls/index.js';
import type {
  Address,
  AttemptId,
  CallId,
  ClientAccountName,
  Instant,
  RequestKindName,
  ServiceName,
  Version,
} from '../src/ids.js';
import { makeHead, makeKind } from './call-resources.js';

/** Properties of a call that the intake filter uses. */
export interface IntakeCallOptions {
  readonly now: Instant;
  readonly worth?: number;
  /** Milliseconds until the full-value deadline. */
  readonly fullValueMs?: number;
  readonly deadlineMs?: number;
  /** The client account. */
  readonly account?: ClientAccountName | undefined;
}

/** Makes a call from a caller. */
export function makeRouted(id: string, call: IntakeCallOptions): IntakeIn {
  const { now, worth = 1, fullValueMs: aimMs = 400, deadlineMs = 20_000, account } = call;
  return {
    kind: 'routed',
    call: {
      head: makeHead(id),
      version: 3 as Version,
      service: 'shop' as ServiceName,
      requestKind: makeKind('read', { worth }),
      worth,
      ...(account && { account: { kind: 'client-account', name: account, keys: [] } }),
      deadline: addMs(now, deadlineMs),
      aim: addMs(now, aimMs),
      subject: id,
    },
  };
}

/** Makes an attempt forwarded by another proxy. */
export function makeForwarded(id: string, call: IntakeCallOptions): IntakeIn {
  const { now, worth = 1, fullValueMs: aimMs = 400, deadlineMs = 20_000, account } = call;
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
      ...(account && { account }),
      subject: id,
      suspect: false,
    },
  };
}

/** Builds the answers to operators: HTTP status and JSON body. */
import type { Address, HostId } from '../ids.js';
import type { LogRefusal, NoteAnswer } from '../messages/index.js';
import type { OperatorRequestFault } from './operator-request.js';

/** An HTTP answer. */
export interface OperatorAnswer {
  readonly status: number;
  /** Sent as JSON; bytes are sent unchanged, as encoded JSON. */
  readonly body: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Returns the operator address of another source host; undefined if it is unknown. */
export type FindOperator = (host: HostId) => Address | undefined;

/** Builds the answer to a command; that to a repeated one is the same as that to the first. */
export function buildCommandAnswer(answer: NoteAnswer): OperatorAnswer {
  const status = ANSWER_STATUS[answer.kind];
  if (answer.kind !== 'accepted') return { status, body: answer };
  const { kind, receipt } = answer;
  return { status, body: { kind, receipt } };
}

/** Builds the answer to an invalid request. */
export function buildFaultAnswer(fault: OperatorRequestFault): OperatorAnswer {
  return { status: FAULT_STATUS[fault.kind], body: fault };
}

/** Builds the answer of a replica that does not lead or has no answer from a quorum. */
export function buildRefusalAnswer(
  refusal: LogRefusal,
  findOperator: FindOperator,
): OperatorAnswer {
  if (refusal.kind !== 'not-leader') return OUTCOME_UNKNOWN;
  const { leader } = refusal;
  const operator = leader === undefined ? undefined : findOperator(leader);
  const message = `nothing was done: this source host does not lead; ${buildAdvice(leader, operator)}`;
  return { status: UNAVAILABLE, body: { kind: refusal.kind, message, leader, operator } };
}

/** The answer if no quorum answers in time. */
export const OUTCOME_UNKNOWN: OperatorAnswer = {
  status: 503,
  body: {
    kind: 'outcome-unknown',
    message:
      'no quorum of the source has answered; a command may or may not take effect; send the same one again, it takes effect once at most',
  },
};

/** The answer to a request without the correct token. */
export const UNAUTHORIZED: OperatorAnswer = {
  status: 401,
  body: {
    kind: 'unauthorized',
    message: 'send "Authorization: Bearer TOKEN" with the token of this source',
  },
};

/** The answer if too many requests are pending. */
export const BUSY: OperatorAnswer = {
  status: 503,
  body: { kind: 'busy', message: 'nothing was done: too many open requests; try again later' },
};

// Internals.

const UNAVAILABLE = 503;

const ANSWER_STATUS: Record<NoteAnswer['kind'], number> = {
  accepted: 200,
  refused: 422,
  'number-taken': 409,
  'stale-revision': 409,
  'stale-base': 412,
  'would-undo': 409,
  'rested-on': 409,
  'unknown-note': 404,
  rollout: 200,
  'rollout-in-progress': 409,
  'rollout-refused': 400,
  'rollout-moved': 409,
  'rollouts-off': 404,
};

const FAULT_STATUS: Record<OperatorRequestFault['kind'], number> = {
  'unknown-path': 404,
  'wrong-method': 405,
  'bad-request': 400,
  refused: 422,
};

function buildAdvice(leader: HostId | undefined, operator: Address | undefined): string {
  if (leader === undefined) return 'no leader is known yet; try again later';
  return operator === undefined ? `ask ${leader}` : `ask ${leader} at ${operator}`;
}

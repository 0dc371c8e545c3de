/** Judges what the head of a backend server's answer proves about its attempt. */

/** The evidence in the head of an answer, independent of its encoding. */
export interface AnswerEvidence {
  /** Whether the answer names the attempt; an answer without an attempt id may belong to any request. */
  readonly hasAttemptId: boolean;
  /** Whether a backend server has signed the answer. */
  readonly isSigned: boolean;
  /** Whether the answer states that the backend server did not run the attempt. */
  readonly statesNotRun: boolean;
  /** Whether callers interpret the status as a guarantee that the call never runs. */
  readonly impliesNotRun: boolean;
}

/**
 * The verdict on an attempt: the answer belongs to it, it certainly did not run, or its outcome is unknown
 * and the connection must not be reused.
 */
export type AnswerVerdict = 'answer' | 'not-run' | 'unproven';

/**
 * Judges an answer. Only this proxy may guarantee to a caller that a call never runs, so a status with that
 * meaning is accepted only together with a statement that the attempt did not run.
 */
export function judgeAnswer(proof: AnswerEvidence): AnswerVerdict {
  const { hasAttemptId, isSigned, statesNotRun, impliesNotRun } = proof;
  if (!hasAttemptId) return 'unproven';
  if (statesNotRun) return 'not-run';
  return isSigned && !impliesNotRun ? 'answer' : 'unproven';
}

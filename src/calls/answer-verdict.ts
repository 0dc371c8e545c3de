/** What the head of a backend server's answer proves of the attempt that it came for. */

/** What the head of an answer shows, whatever its encoding. */
export interface AnswerProof {
  /** Whether it names the attempt; bytes that name none may belong to any request. */
  readonly isOwn: boolean;
  /** Whether a backend server has signed it. */
  readonly isSigned: boolean;
  /** Whether it states that the backend server did not run the attempt. */
  readonly statesNotRun: boolean;
  /** Whether callers take its status for the promise that the call never runs. */
  readonly isPromise: boolean;
}

/**
 * What follows for the attempt: this is its answer, it certainly did not run, or nothing is known of it
 * and the connection cannot be trusted any longer.
 */
export type AnswerVerdict = 'answer' | 'not-run' | 'unproven';

/**
 * Judges an answer. A promise that the call never runs is formed by this proxy alone, so an answer with such
 * a status is either the proof for it or no answer at all.
 */
export function judgeAnswer(proof: AnswerProof): AnswerVerdict {
  const { isOwn, isSigned, statesNotRun, isPromise } = proof;
  if (!isOwn) return 'unproven';
  if (statesNotRun) return 'not-run';
  return isSigned && !isPromise ? 'answer' : 'unproven';
}

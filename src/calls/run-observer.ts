/** Observes the runs at the backend servers beside this proxy, as evidence on the versions of these servers. */
import type { AttemptId, Instant } from '../ids.js';
import type { AttemptHead } from '../messages/index.js';
import type { RunBegun, RunOver } from '../rollouts/index.js';
import type { GuardOut, RunEnding } from './guard-filter.js';

/** Holds the runs that have begun while a roll-out was running, until they are answered or have ended. */
export class RunObserver {
  readonly #runs = new Map<AttemptId, OpenRun>();

  /** Handles a run that begins. */
  handleStart({ attempt, server, requestKind }: AttemptHead, now: Instant): RunBegun {
    this.#runs.set(attempt, { server, requestKind, startedAt: now, isTimedOut: false });
    return { kind: 'run-begun', server, requestKind };
  }

  /** Handles the head of an answer. */
  handleAnswer(attempt: AttemptId, status: number): RunOver[] {
    return this.#end(attempt, status >= FIRST_FAILURE_STATUS ? 'failed' : 'answered');
  }

  /** Handles the request to stop a run. */
  handleStop({ attempt, reason }: Extract<GuardOut, { kind: 'stop-run' }>): void {
    const run = this.#runs.get(attempt);
    if (run !== undefined) run.isTimedOut = reason === 'deadline';
  }

  /** Handles the end of a run. */
  handleEnd(attempt: AttemptId, ending: RunEnding): RunOver[] {
    const run = this.#runs.get(attempt);
    if (run === undefined) return [];
    if (ending === 'lost' || ending === 'shed') return this.#end(attempt, 'failed');
    if (ending === 'answered') return this.#end(attempt, 'answered');
    return this.#end(attempt, run.isTimedOut ? 'timed-out' : 'ignored');
  }

  // Internals.

  #end(attempt: AttemptId, result: RunOver['result']): RunOver[] {
    const run = this.#runs.get(attempt);
    if (run === undefined) return [];
    this.#runs.delete(attempt);
    const { server, requestKind, startedAt } = run;
    return [{ kind: 'run-over', server, requestKind, startedAt, result }];
  }
}

// Internals.

const FIRST_FAILURE_STATUS = 500;

interface OpenRun extends Omit<RunOver, 'kind' | 'result'> {
  /** Whether it is being stopped because its deadline has passed. */
  isTimedOut: boolean;
}

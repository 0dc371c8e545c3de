/** Logs and counts what the readiness endpoint answered. */
import type { ReadinessAnswer } from '../edge/index.js';
import type { MetricsRegistry } from '../metrics/index.js';
import { Counter, DurationSummary } from '../metrics/index.js';
import type { Log } from './logger.js';

/** Writes a line when the status differs from that of the last answer, and for each slow or unsent answer. */
export class ReadinessAnswers {
  readonly #log: Log;
  readonly #answers: Counter;
  readonly #durations: DurationSummary;
  #lastStatus: number | undefined;

  constructor(log: Log, registry: MetricsRegistry) {
    this.#log = log;
    this.#answers = registry.add(
      new Counter('readiness_answers_total', 'Answers of the readiness endpoint, by status.'),
    );
    const help = 'Time from a request at the readiness endpoint until its answer was sent.';
    this.#durations = registry.add(new DurationSummary('readiness_answer_seconds', help));
  }

  /** Handles one answer. */
  handle({ status, isSent, milliseconds }: ReadinessAnswer): void {
    this.#answers.add({ status: `${status}`, sent: `${isSent}` });
    this.#durations.record({}, milliseconds);
    const isChanged = status !== this.#lastStatus;
    this.#lastStatus = status;
    if (!isChanged && isSent && milliseconds < MIN_SLOW_MS) return;
    this.#log('readiness-answered', { status, isSent, ms: Math.round(milliseconds) });
  }
}

// Internals.

/** A quarter of the second that load balancers usually wait. */
const MIN_SLOW_MS = 250;

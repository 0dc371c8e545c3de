/** Metrics of the calls of a proxy. */
import type { AnswerDrop, AttemptEnd, CallEnd, SentAgain } from '../calls/index.js';
import { CallObserver } from '../calls/index.js';
import type { CounterSeries, DurationSeries, MetricsRegistry } from '../metrics/index.js';
import { Counter, DurationSummary, Gauge } from '../metrics/index.js';

/** Counts and times the calls of one proxy. Labels have few values, whatever callers send. */
export class CallMetrics extends CallObserver {
  #running = 0;
  readonly #durations: DurationSummary;
  readonly #durationSeries = new Map<string, DurationSeries>();
  readonly #attempts: DurationSummary;
  readonly #attemptSeries = new Map<string, AttemptSeries>();
  readonly #refusals: Counter;
  readonly #attemptEnds: Counter;
  readonly #sentAgain: Counter;
  readonly #drops: Counter;

  constructor(registry: MetricsRegistry) {
    super();
    const readRunning = () => [{ value: this.#running }];
    registry.add(new Gauge('calls_running', 'Calls that have not ended.', readRunning));
    this.#durations = registry.add(
      new DurationSummary('call_duration_seconds', 'Time from arrival to the end of a call.'),
    );
    this.#attempts = registry.add(
      new DurationSummary('attempt_duration_seconds', 'Time of an attempt at a backend server.'),
    );
    this.#refusals = registry.add(
      new Counter('refused_calls_total', 'Calls refused, by reason and outcome.'),
    );
    this.#attemptEnds = registry.add(
      new Counter('attempts_total', 'Attempts that ended, by outcome, reason and proof.'),
    );
    this.#sentAgain = registry.add(
      new Counter('calls_sent_again_total', 'Further attempts of calls, by reason.'),
    );
    this.#drops = registry.add(
      new Counter('dropped_answers_total', 'Answers that did not get over the link in time.'),
    );
  }

  override startCall(): void {
    this.#running += 1;
  }

  override endCall({ isForwarded, status, reason, outcome, milliseconds }: CallEnd): void {
    this.#running -= 1;
    const side = isForwarded ? 'guard' : 'entry';
    this.#findDurations(side, formatStatus(status)).record(milliseconds);
    if (reason !== undefined) this.#refusals.add({ side, reason, outcome: outcome ?? 'unknown' });
  }

  override endAttempt(end: AttemptEnd): void {
    const { durations, ends } = this.#findAttempts(end);
    durations.record(end.milliseconds);
    ends.add();
  }

  override dropAnswer({ sentBytes }: AnswerDrop): void {
    this.#drops.add({ begun: String(sentBytes > 0) });
  }

  override sendAgain(
    _request: string | undefined,
    { reason, outcome, isIdempotent }: SentAgain,
  ): void {
    this.#sentAgain.add({ reason, outcome, idempotent: String(isIdempotent) });
  }

  // Internals.

  #findDurations(side: string, status: string): DurationSeries {
    const key = `${side} ${status}`;
    const known = this.#durationSeries.get(key);
    if (known !== undefined) return known;
    const fresh = this.#durations.findSeries({ side, status });
    this.#durationSeries.set(key, fresh);
    return fresh;
  }

  #findAttempts(end: AttemptEnd): AttemptSeries {
    const { isLocal, status, outcome, reason = 'none', proof } = end;
    const target = isLocal ? 'backend-server' : 'proxy';
    const statusClass = formatStatus(status);
    const key = `${target} ${statusClass} ${outcome} ${reason} ${proof}`;
    const known = this.#attemptSeries.get(key);
    if (known !== undefined) return known;
    const fresh: AttemptSeries = {
      durations: this.#attempts.findSeries({ target, status: statusClass }),
      ends: this.#attemptEnds.findSeries({ target, outcome, reason, proof }),
    };
    this.#attemptSeries.set(key, fresh);
    return fresh;
  }
}

// Internals.

/** What is counted at the ends of attempts that ended alike. */
interface AttemptSeries {
  readonly durations: DurationSeries;
  readonly ends: CounterSeries;
}

const STATUS_CLASS = 100;

/** Writes the class of a status, so that odd statuses make no series of their own. */
function formatStatus(status: number | undefined): string {
  return status === undefined ? 'none' : `${Math.floor(status / STATUS_CLASS)}xx`;
}

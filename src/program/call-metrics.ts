/** Metrics of the calls of a proxy. */
import type { AnswerDrop, AttemptEnd, CallEnd, SentAgain } from '../calls/index.js';
import { CallObserver } from '../calls/index.js';
import type { MetricsRegistry } from '../metrics/index.js';
import { Counter, DurationSummary, Gauge } from '../metrics/index.js';

/** Counts and times the calls of one proxy. Labels have few values, whatever callers send. */
export class CallMetrics extends CallObserver {
  #running = 0;
  readonly #durations: DurationSummary;
  readonly #attempts: DurationSummary;
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
    this.#durations.record({ side, status: formatStatus(status) }, milliseconds);
    if (reason !== undefined) this.#refusals.add({ side, reason, outcome: outcome ?? 'unknown' });
  }

  override endAttempt(end: AttemptEnd): void {
    const { isLocal, status, outcome, reason = 'none', proof, milliseconds } = end;
    const target = isLocal ? 'backend-server' : 'proxy';
    this.#attempts.record({ target, status: formatStatus(status) }, milliseconds);
    this.#attemptEnds.add({ target, outcome, reason, proof });
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
}

// Internals.

const STATUS_CLASS = 100;

/** Writes the class of a status, so that odd statuses make no series of their own. */
function formatStatus(status: number | undefined): string {
  return status === undefined ? 'none' : `${Math.floor(status / STATUS_CLASS)}xx`;
}

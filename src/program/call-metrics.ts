/** Metrics of the calls of a proxy. */
import type {
  BodyWaitEnd,
  DroppedAnswer,
  AttemptEnd,
  CallEnd,
  HedgeResult,
  ObservedCall,
  SentAgain,
} from '../calls/index.js';
import { CallObserver } from '../calls/index.js';
import type { RefusalReason } from '../messages/index.js';
import type { CounterSeries, DurationSeries, MetricsRegistry } from '../metrics/index.js';
import { Counter, DurationSummary, Gauge } from '../metrics/index.js';

/**
 * Counts and measures the calls of one proxy. Label values do not depend on input of callers, which bounds
 * the number of series.
 */
export class CallMetrics extends CallObserver {
  #runningCalls = 0;
  readonly #durations: DurationSummary;
  readonly #durationSeries = new Map<string, DurationSeries>();
  readonly #attemptDurations: DurationSummary;
  readonly #attemptSeries = new Map<string, AttemptSeries>();
  readonly #refusals: Counter;
  readonly #accountRefusals: Counter;
  readonly #accounts = new Set<string>();
  readonly #attemptEnds: Counter;
  readonly #sentAgain: Counter;
  readonly #hedges: Counter;
  readonly #droppedAnswers: Counter;
  readonly #bodies: Counter;

  constructor(registry: MetricsRegistry) {
    super();
    const readRunning = () => [{ value: this.#runningCalls }];
    registry.add(new Gauge('calls_running', 'Calls that have not ended.', readRunning));
    this.#durations = registry.add(
      new DurationSummary('call_duration_seconds', 'Time from arrival to the end of a call.'),
    );
    this.#attemptDurations = registry.add(
      new DurationSummary('attempt_duration_seconds', 'Time of an attempt at a backend server.'),
    );
    this.#refusals = registry.add(
      new Counter('refused_calls_total', 'Calls refused, by reason and outcome.'),
    );
    this.#accountRefusals = registry.add(
      new Counter('account_refused_calls_total', 'Calls refused by key or allowance, by account.'),
    );
    this.#attemptEnds = registry.add(
      new Counter('attempts_total', 'Attempts that ended, by outcome, reason and proof.'),
    );
    this.#sentAgain = registry.add(
      new Counter('calls_sent_again_total', 'Further attempts of calls, by reason.'),
    );
    this.#hedges = registry.add(
      new Counter(
        'hedges_total',
        'Hedges started, by result, and slow calls not hedged, by limit.',
      ),
    );
    this.#droppedAnswers = registry.add(
      new Counter('dropped_answers_total', 'Answers that did not get over the link in time.'),
    );
    this.#bodies = registry.add(
      new Counter('link_bodies_total', 'Large bodies of other proxies, by outcome and reason.'),
    );
  }

  override endBodyWait({ outcome, reason }: BodyWaitEnd): void {
    this.#bodies.add({ outcome, reason: reason ?? 'none' });
  }

  override startCall(): void {
    this.#runningCalls += 1;
  }

  override endCall({ isForwarded, status, reason, outcome, account, milliseconds }: CallEnd): void {
    this.#runningCalls -= 1;
    const side = isForwarded ? 'guard' : 'entry';
    this.#findDurations(side, formatStatusClass(status)).record(milliseconds);
    if (isAccountRefusal(reason)) {
      this.#accountRefusals.add({ account: this.#findAccountLabel(account), reason });
    }
    if (reason !== undefined) this.#refusals.add({ side, reason, outcome: outcome ?? 'unknown' });
  }

  override endAttempt(end: AttemptEnd): void {
    const { durations, ends } = this.#findAttempts(end);
    durations.record(end.milliseconds);
    ends.add();
  }

  override dropAnswer({ sentBytes }: DroppedAnswer): void {
    this.#droppedAnswers.add({ begun: String(sentBytes > 0) });
  }

  override sendAgain(
    _call: ObservedCall | undefined,
    { reason, outcome, isIdempotent }: SentAgain,
  ): void {
    this.#sentAgain.add({ reason, outcome, idempotent: String(isIdempotent) });
    if (reason === 'hedge') this.#hedges.add({ result: 'started' });
  }

  override reportHedge(_call: ObservedCall | undefined, result: HedgeResult): void {
    this.#hedges.add({ result });
  }

  // Internals.

  /** Accounts beyond the first ones share a label, which bounds the number of series. */
  #findAccountLabel(account: string | undefined): string {
    if (account === undefined) return 'none';
    if (!this.#accounts.has(account) && this.#accounts.size >= MAX_ACCOUNT_LABELS) return 'other';
    this.#accounts.add(account);
    return account;
  }

  #findDurations(side: string, status: string): DurationSeries {
    const key = `${side} ${status}`;
    const existing = this.#durationSeries.get(key);
    if (existing !== undefined) return existing;
    const series = this.#durations.findSeries({ side, status });
    this.#durationSeries.set(key, series);
    return series;
  }

  #findAttempts(end: AttemptEnd): AttemptSeries {
    const { isLocal, status, outcome, reason = 'none', proof } = end;
    const target = isLocal ? 'backend-server' : 'proxy';
    const statusClass = formatStatusClass(status);
    const key = `${target} ${statusClass} ${outcome} ${reason} ${proof}`;
    const existing = this.#attemptSeries.get(key);
    if (existing !== undefined) return existing;
    const series: AttemptSeries = {
      durations: this.#attemptDurations.findSeries({ target, status: statusClass }),
      ends: this.#attemptEnds.findSeries({ target, outcome, reason, proof }),
    };
    this.#attemptSeries.set(key, series);
    return series;
  }
}

// Internals.

/** The series of attempts with the same labels. */
interface AttemptSeries {
  readonly durations: DurationSeries;
  readonly ends: CounterSeries;
}

const STATUS_CLASS_SIZE = 100;
const MAX_ACCOUNT_LABELS = 128;

type AccountRefusalReason = 'unknown-key' | 'over-allowance' | 'no-allowance';

function isAccountRefusal(reason: RefusalReason | undefined): reason is AccountRefusalReason {
  return reason === 'unknown-key' || reason === 'over-allowance' || reason === 'no-allowance';
}

/** Formats the class of a status, for example `5xx`, so that unusual statuses create no further series. */
function formatStatusClass(status: number | undefined): string {
  return status === undefined ? 'none' : `${Math.floor(status / STATUS_CLASS_SIZE)}xx`;
}

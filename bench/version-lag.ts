/** Judges the answers of a version soak: how long proxies in touch decided by older versions. */
import type { ProbeAnswer } from './version-prober.js';

/** A span in which a trouble acted on a host; open until its end is known. */
interface Disturbance {
  readonly host: string;
  readonly trouble: string;
  readonly startedAt: number;
  endedAt: number;
}

/** The name under which disturbances of the source hosts stand. */
export const CORE = 'core';

/** Records which troubles acted on which hosts, and when. */
export class DisturbanceRecord {
  readonly #disturbances: Disturbance[] = [];

  /** Records the start of a trouble, and returns a function that records its end. */
  start(host: string, trouble: string): () => void {
    const disturbance = { host, trouble, startedAt: Date.now(), endedAt: Infinity };
    this.#disturbances.push(disturbance);
    return () => {
      disturbance.endedAt = Date.now();
    };
  }

  /** Adds a trouble that has ended. */
  add(host: string, trouble: string, startedAt: number, endedAt: number): void {
    this.#disturbances.push({ host, trouble, startedAt, endedAt });
  }

  /** Returns whether a trouble acted on a host between two instants. */
  isDisturbed(host: string, from: number, to: number): boolean {
    return this.#disturbances
      .filter((disturbance) => disturbance.host === host)
      .some(({ startedAt, endedAt }) => startedAt <= to && endedAt >= from);
  }

  /** Lists the troubles that acted on any host between two instants. */
  listTroubles(from: number, to: number): string[] {
    const active = this.#disturbances.filter(
      ({ startedAt, endedAt }) => startedAt <= to && endedAt >= from,
    );
    return [...new Set(active.map(({ trouble }) => trouble))];
  }
}

/** The latest request after an acknowledgement that was still handled by an older version. */
export interface VersionLag {
  readonly lagMs: number;
  readonly answer: ProbeAnswer;
  readonly troubles: readonly string[];
}

/** What the answers of a run show. */
export interface LagReport {
  /** The longest lag of proxies in touch; undefined if none was older. */
  readonly longest: VersionLag | undefined;
  /** The same for proxies that were not disturbed themselves, while the core was unstable. */
  readonly longestUnstable: VersionLag | undefined;
  /** One for each proxy and note beyond the bound, with its latest request; the longest first. */
  readonly late: readonly VersionLag[];
  /** The number of answers of proxies in touch, and of those the refusals by reason. */
  readonly answers: number;
  readonly refusals: ReadonlyMap<string, number>;
}

/** A version must be in force this long after its acknowledgement. */
export const APPLY_BOUND_MS = 2_000;

/** Judges the answers of a run. */
export function reportLags(
  answers: readonly ProbeAnswer[],
  disturbances: DisturbanceRecord,
): LagReport {
  const undisturbed = answers.filter(
    ({ proxy, sentAt, endedAt }) =>
      !disturbances.isDisturbed(proxy, sentAt - CONTACT_WINDOW_MS, endedAt),
  );
  const isStable = ({ sentAt, endedAt }: ProbeAnswer): boolean =>
    !disturbances.isDisturbed(CORE, sentAt - CONTACT_WINDOW_MS, endedAt);
  const inTouch = undisturbed.filter(isStable);
  const lags = listLags(inTouch, disturbances);
  const unstable = undisturbed.filter((answer) => !isStable(answer));
  return {
    longest: lags[0],
    longestUnstable: listLags(unstable, disturbances)[0],
    late: lags.filter(({ lagMs }) => lagMs > APPLY_BOUND_MS),
    answers: inTouch.length,
    refusals: countRefusals(inTouch),
  };
}

/** Formats a lag for the output of a run. */
export function formatLag(lag: VersionLag | undefined): string {
  if (lag === undefined) return 'none';
  const { proxy, number, path, sentAt, reading } = lag.answer;
  const found = reading.reason ?? reading.service ?? '';
  const troubles = lag.troubles.join(' + ') || 'calm';
  return `${lag.lagMs} ms at ${proxy}, note ${number} ${path} sent ${sentAt}, ${reading.status} ${found}, during ${troubles}`;
}

// Internals.

const CONTACT_WINDOW_MS = 3_000;
const UNAVAILABLE = 503;

/** Lists the latest older answer of each proxy for each note, the longest lag first. */
function listLags(answers: readonly ProbeAnswer[], disturbances: DisturbanceRecord): VersionLag[] {
  const latest = new Map<string, ProbeAnswer>();
  for (const answer of answers.filter(({ isOlder }) => isOlder)) {
    const key = `${answer.proxy} ${answer.number}`;
    if (answer.sentAt >= (latest.get(key)?.sentAt ?? -Infinity)) latest.set(key, answer);
  }
  return [...latest.values()]
    .map((answer) => {
      const { sentAt, endedAt, acknowledgedAt } = answer;
      const from = Math.min(acknowledgedAt, sentAt - CONTACT_WINDOW_MS);
      const troubles = disturbances.listTroubles(from, endedAt);
      return { lagMs: sentAt - acknowledgedAt, answer, troubles };
    })
    .sort((left, right) => right.lagMs - left.lagMs);
}

function countRefusals(answers: readonly ProbeAnswer[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { reading } of answers) {
    if (reading.status !== UNAVAILABLE) continue;
    const reason = reading.reason ?? '';
    counts.set(reason, (counts.get(reason) ?? 0) + 1);
  }
  return counts;
}

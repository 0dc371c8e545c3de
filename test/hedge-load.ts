/** Plays a load in virtual time: entry proxies with real filters, guards, and servers that stall at times. */
import { EventQueue } from '../bench/event-queue.js';
import type { AttemptIn, AttemptOut } from '../src/calls/attempt-messages.js';
import { AttemptFilter } from '../src/calls/attempt-filter.js';
import type { AttemptState } from '../src/calls/attempt-state.js';
import type { GuardIn, GuardOut, GuardState } from '../src/calls/guard-filter.js';
import { GuardFilter } from '../src/calls/guard-filter.js';
import { PrioritySlotPolicy, TwoChoicesPicker } from '../src/calls/index.js';
import type { RetryBudgetLimits } from '../src/calls/index.js';
import { addMs, NEVER } from '../src/clock.js';
import type { Address, AttemptId, Instant, ServiceName, Version } from '../src/ids.js';
import type { RequestKindResource } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';
import { makeHead, makeKind, makeMember, makeServer, START } from './call-resources.js';

/** A load on one service. */
export interface LoadPlan {
  readonly share: number;
  readonly callsPerSecond: number;
  readonly seconds: number;
  readonly kind?: Partial<RequestKindResource>;
  readonly servers?: number;
  readonly slots?: number;
  readonly retries?: RetryBudgetLimits;
  /** Mean time in milliseconds between the stalls of one server. */
  readonly stallEveryMs?: number;
  /** Bounds of the length of a stall in milliseconds. */
  readonly stallMs?: readonly [min: number, max: number];
  readonly seed?: number;
}

/** What a load resulted in. */
export interface LoadFigures {
  calls: number;
  answered: number;
  /** Runs that began at the servers. */
  runs: number;
  /** Number of each result of hedges, and of `started`. */
  readonly hedges: Record<string, number>;
  readonly latencies: number[];
}

/** Runs a plan. */
export function runPlan(plan: LoadPlan): LoadFigures {
  return new LoadPlayer(plan).run();
}

/** Returns a percentile of the latencies in whole milliseconds. */
export function findPercentile({ latencies }: LoadFigures, percent: number): number {
  const sorted = latencies.toSorted((left, right) => left - right);
  return Math.round(sorted[Math.floor((sorted.length * percent) / 100)] ?? Number.NaN);
}

// Internals.

const ENTRIES = 4;
const LINK_MS = 1;
const MEAN_RUN_MS = 100;
const SPREAD = 0.3;
/** The slowest server takes this much longer than the fastest one. */
const SLOWEST = 2.5;
const USUAL_STALL_MS = [300, 800] as const;
const WARM_AT = addMs(START, 60_000);
const SERVICE = 'shop' as ServiceName;

/** A filter with its state, one timer, and the receiver of its outputs. */
class Runner<State, In, Out extends { readonly kind: string }> {
  #wakeAt: Instant = NEVER;

  constructor(
    readonly queue: EventQueue,
    readonly filter: {
      decide(state: State, message: In, now: Instant): { outputs: readonly Out[] };
    },
    readonly state: State,
    readonly tick: In,
    readonly handle: (output: Out) => void,
  ) {}

  post(message: In): void {
    for (const output of this.filter.decide(this.state, message, this.queue.now).outputs) {
      if (output.kind === 'wake') this.#wake((output as unknown as { at: Instant }).at);
      else this.handle(output);
    }
  }

  #wake(at: Instant): void {
    if (at >= this.#wakeAt) return;
    this.#wakeAt = at;
    this.queue.addEvent(at, () => {
      if (this.#wakeAt !== at) return;
      this.#wakeAt = NEVER;
      this.post(this.tick);
    });
  }
}

/** The stalls of one server, as instants of begin and end in order. */
type Stalls = readonly (readonly [from: number, to: number])[];

class LoadPlayer {
  readonly #plan: LoadPlan;
  /** Arrivals and stalls, which are the same with and without hedges. */
  readonly #random: SeededRandom;
  /** Run times, whose number depends on the hedges. */
  readonly #runRandom = new SeededRandom(7);
  readonly #queue = new EventQueue(WARM_AT);
  readonly #entries: Runner<AttemptState, AttemptIn, AttemptOut>[] = [];
  readonly #guards = new Map<Address, Runner<GuardState, GuardIn, GuardOut>>();
  readonly #entryOf = new Map<AttemptId, Runner<AttemptState, AttemptIn, AttemptOut>>();
  readonly #startedAt = new Map<string, Instant>();
  readonly #figures: LoadFigures = { calls: 0, answered: 0, runs: 0, hedges: {}, latencies: [] };
  readonly #endsAt: Instant;

  constructor(plan: LoadPlan) {
    this.#plan = plan;
    this.#random = new SeededRandom(plan.seed ?? 1);
    this.#endsAt = addMs(WARM_AT, 1_000 * plan.seconds);
    for (let index = 0; index < ENTRIES; index += 1) this.#addEntry(index);
    const servers = plan.servers ?? 12;
    for (let index = 0; index < servers; index += 1) this.#addServer(index, servers);
  }

  run(): LoadFigures {
    this.#queue.addEvent(WARM_AT, () => {
      this.#sendCall();
    });
    this.#queue.runUntil(addMs(this.#endsAt, 10_000));
    return this.#figures;
  }

  #addEntry(index: number): void {
    const place = { ...makeMember(`entry-${index}`, []) };
    const filter = new AttemptFilter({
      place,
      picker: new TwoChoicesPicker(new SeededRandom(100 + index)),
      retries: this.#plan.retries ?? { perCall: 0.2, burst: 20, isShared: false },
      hedging: { share: this.#plan.share },
    });
    const entry = new Runner<AttemptState, AttemptIn, AttemptOut>(
      this.#queue,
      filter,
      filter.createState(),
      { kind: 'tick' },
      (output) => {
        this.#handleEntry(entry, output);
      },
    );
    this.#entries.push(entry);
  }

  #addServer(index: number, servers: number): void {
    const announcement = makeServer(`10.0.0.${index}:1`, { slots: this.#plan.slots ?? 8 });
    const filter = new GuardFilter(() => new PrioritySlotPolicy());
    const speed = 1 + ((SLOWEST - 1) * index) / Math.max(1, servers - 1);
    const stalls = this.#makeStalls();
    const guard = new Runner<GuardState, GuardIn, GuardOut>(
      this.#queue,
      filter,
      filter.createState(),
      { kind: 'tick' },
      (output) => {
        this.#handleGuard(guard, output, speed, stalls);
      },
    );
    this.#guards.set(announcement.address, guard);
    filter.decide(guard.state, { kind: 'servers', servers: [announcement] }, START);
    const member = makeMember(`host-${index}`, [announcement]);
    for (const { filter: entry, state } of this.#entries) {
      entry.decide(state, { kind: 'member-up', member }, START);
    }
  }

  #makeStalls(): Stalls {
    const { stallEveryMs, stallMs: [min, max] = USUAL_STALL_MS } = this.#plan;
    const stalls: [number, number][] = [];
    if (stallEveryMs === undefined) return stalls;
    for (let at: number = WARM_AT; ;) {
      at += -Math.log(1 - this.#random.next()) * stallEveryMs;
      if (at > this.#endsAt) return stalls;
      const lastsMs = min + this.#random.next() * (max - min);
      stalls.push([at, at + lastsMs]);
      at += lastsMs;
    }
  }

  #sendCall(): void {
    const requestKind = makeKind('k', { hedge: true, timeoutMs: 5_000, ...this.#plan.kind });
    const id = `c${this.#figures.calls}`;
    this.#figures.calls += 1;
    const { now } = this.#queue;
    this.#startedAt.set(id, now);
    const call = {
      head: makeHead(id),
      version: 1 as Version,
      service: SERVICE,
      requestKind,
      worth: 1,
      deadline: addMs(now, requestKind.timeoutMs),
      subject: id,
    };
    this.#random.pick(this.#entries).post({ kind: 'claimed', call });
    const gapMs = (-Math.log(1 - this.#random.next()) * 1_000) / this.#plan.callsPerSecond;
    if (now + gapMs < this.#endsAt) {
      this.#queue.addEvent(now + gapMs, () => {
        this.#sendCall();
      });
    }
  }

  #handleEntry(entry: Runner<AttemptState, AttemptIn, AttemptOut>, output: AttemptOut): void {
    const { hedges, latencies } = this.#figures;
    if (output.kind === 'dispatch') {
      const { head, target } = output;
      this.#entryOf.set(head.attempt, entry);
      this.#sendLater(() => this.#guards.get(target.server)?.post({ kind: 'admit', head }));
    } else if (output.kind === 'cancel') {
      const { attempt } = output;
      for (const guard of this.#guards.values()) {
        if (!guard.state.serversByAttempt.has(attempt)) continue;
        this.#sendLater(() => {
          guard.post({ kind: 'withdraw', attempt });
        });
      }
    } else if (output.kind === 'relay') {
      this.#figures.answered += 1;
      const at = this.#startedAt.get(output.id) ?? START;
      latencies.push(this.#queue.now - at);
    } else if (output.kind === 'hedge-reported') {
      hedges[output.result] = (hedges[output.result] ?? 0) + 1;
    } else if (output.kind === 'sent-again' && output.reason === 'hedge') {
      hedges.started = (hedges.started ?? 0) + 1;
    }
  }

  #handleGuard(
    guard: Runner<GuardState, GuardIn, GuardOut>,
    output: GuardOut,
    speed: number,
    stalls: Stalls,
  ): void {
    if (output.kind === 'run') {
      this.#figures.runs += 1;
      const { attempt } = output.head;
      const workMs = MEAN_RUN_MS * speed * Math.exp(SPREAD * this.#drawNormal());
      this.#queue.addEvent(findEnd(this.#queue.now, workMs, stalls), () => {
        this.#answer(guard, attempt);
      });
    } else if (output.kind === 'reject') {
      const { attempt, reason, load } = output;
      const failure = { outcome: 'not-run', reason, ...(load && { load }) } as const;
      this.#sendLater(() =>
        this.#entryOf.get(attempt)?.post({ kind: 'attempt-failed', attempt, failure }),
      );
    } else if (output.kind === 'stop-run') {
      const { attempt } = output;
      guard.post({ kind: 'run-ended', attempt, ending: 'cancelled' });
      const failure = { outcome: 'unknown', reason: 'deadline' } as const;
      this.#sendLater(() =>
        this.#entryOf.get(attempt)?.post({ kind: 'attempt-failed', attempt, failure }),
      );
    }
  }

  #answer(guard: Runner<GuardState, GuardIn, GuardOut>, attempt: AttemptId): void {
    const server = guard.state.serversByAttempt.get(attempt);
    if (server?.findRun(attempt) === undefined) return;
    const load = server.measureLoadAfter(attempt, this.#queue.now);
    guard.post({ kind: 'run-ended', attempt, ending: 'answered' });
    this.#sendLater(() => {
      const entry = this.#entryOf.get(attempt);
      entry?.post({ kind: 'answer-started', attempt, status: 200, load });
      entry?.post({ kind: 'answer-complete', attempt });
    });
  }

  #sendLater(send: () => void): void {
    this.#queue.addEvent(addMs(this.#queue.now, LINK_MS), send);
  }

  #drawNormal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.#runRandom.next()));
    return radius * Math.cos(2 * Math.PI * this.#runRandom.next());
  }
}

/** Returns when a run ends that makes no progress during stalls. */
function findEnd(startAt: number, workMs: number, stalls: Stalls): number {
  let end = startAt + workMs;
  for (const [from, to] of stalls) {
    if (to > startAt && from < end) end += to - Math.max(from, startAt);
  }
  return end;
}

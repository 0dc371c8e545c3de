/**
 * Compares ways to share out slots, in virtual time and seeded: `npm run bench -- slots [SECONDS]`.
 *
 * Both users' mixes arrive at 0.5 to 3 times the capacity of one guarded backend server. What counts
 * is the worth of the calls that finish before their deadlines.
 */
import { DeadlineHeap } from '../src/calls/deadline-heap.js';
import type { Admission } from '../src/calls/guarded-server.js';
import { GuardedServer } from '../src/calls/guarded-server.js';
import type { SlotPolicy } from '../src/calls/index.js';
import { SharedSlots } from '../src/calls/index.js';
import { addMs } from '../src/clock.js';
import type { Address, AttemptId, Instant, RequestKindName, ServiceName } from '../src/ids.js';
import type { AttemptHead } from '../src/messages/index.js';
import type { Random } from '../src/random.js';
import { SeededRandom } from '../src/random.js';
import { ReservedSlots } from './private-slot-policy.js';

/** One request kind of a mix. */
interface MixKind {
  readonly name: string;
  readonly share: number;
  readonly worth: number;
  readonly runMs: number;
  readonly timeoutMs: number;
}

interface Mix {
  readonly name: string;
  readonly slots: number;
  readonly kinds: readonly MixKind[];
}

/** What became of the calls of one run. */
interface Outcome {
  arrived: number;
  inTime: number;
  cut: number;
  /** Slot time of the calls that finished in time, in milliseconds. */
  busyMs: number;
  worthArrived: number;
  worthInTime: number;
}

const MIXES: readonly Mix[] = [
  {
    name: 'Napernyo',
    slots: 20,
    kinds: [
      { name: 'browse', share: 0.6, worth: 1, runMs: 15, timeoutMs: 400 },
      { name: 'stock', share: 0.2, worth: 5, runMs: 10, timeoutMs: 150 },
      { name: 'quote', share: 0.1, worth: 8, runMs: 60, timeoutMs: 1_000 },
      { name: 'drawing', share: 0.05, worth: 10, runMs: 300, timeoutMs: 5_000 },
      { name: 'order', share: 0.05, worth: 50, runMs: 80, timeoutMs: 2_000 },
    ],
  },
  {
    name: 'Cooperativa',
    slots: 6,
    kinds: [
      { name: 'stock', share: 0.6, worth: 4, runMs: 10, timeoutMs: 150 },
      { name: 'sale', share: 0.25, worth: 20, runMs: 25, timeoutMs: 800 },
      { name: 'prices', share: 0.1, worth: 2, runMs: 40, timeoutMs: 1_000 },
      { name: 'order', share: 0.05, worth: 60, runMs: 60, timeoutMs: 2_000 },
    ],
  },
];

const POLICIES: readonly (readonly [string, () => SlotPolicy])[] = [
  ['shared', () => new SharedSlots()],
  ['private 0.2', () => new ReservedSlots(0.2)],
  ['private 0.5', () => new ReservedSlots(0.5)],
];
const LOADS = [0.5, 1, 1.5, 2, 2.5, 3];
const SEEDS = [1, 2];
const START = 1e6 as Instant;
const SERVER = '10.0.0.1:80' as Address;
const seconds = Number(process.argv[2] ?? 30);

function runSeeds(mix: Mix, load: number, createPolicy: () => SlotPolicy): string {
  const outcomes = SEEDS.map((seed) => runMix(mix, load, createPolicy(), new SeededRandom(seed)));
  const mean = (read: (outcome: Outcome) => number): number =>
    outcomes.reduce((sum, outcome) => sum + read(outcome), 0) / outcomes.length;
  const goodput = mean(({ busyMs }) => busyMs) / (seconds * 1_000 * mix.slots);
  const worth = mean(({ worthInTime }) => worthInTime) / mean(({ worthArrived }) => worthArrived);
  return `${goodput.toFixed(3)} ${worth.toFixed(3)} ${mean(({ cut }) => cut).toFixed(0)}`;
}

function runMix(mix: Mix, load: number, policy: SlotPolicy, random: Random): Outcome {
  const meanMs = mix.kinds.reduce((sum, { share, runMs }) => sum + share * runMs, 0);
  const gapMs = meanMs / (mix.slots * load);
  const simulation = new Simulation(mix.slots, policy, random);
  const end = addMs(START, WARM_MS + seconds * 1_000);
  for (let now = START; now < end; now = addMs(now, -Math.log(1 - random.next()) * gapMs)) {
    simulation.advance(now);
    simulation.arrive(pickKind(mix, random), now, now >= addMs(START, WARM_MS));
  }
  simulation.advance(addMs(end, DRAIN_MS));
  return simulation.outcome;
}

function pickKind({ kinds }: Mix, random: Random): MixKind {
  let place = random.next();
  const found = kinds.find(({ share }) => (place -= share) < 0) ?? kinds[0];
  if (found === undefined) throw new Error('a mix needs at least one kind');
  return found;
}

const WARM_MS = 6_000;
const DRAIN_MS = 10_000;
const TICK_MS = 5;

/** One guarded server whose runs take random times. */
class Simulation {
  readonly outcome: Outcome = {
    arrived: 0,
    inTime: 0,
    cut: 0,
    busyMs: 0,
    worthArrived: 0,
    worthInTime: 0,
  };
  readonly #server: GuardedServer;
  readonly #random: Random;
  readonly #events = new DeadlineHeap<(now: Instant) => void>();
  readonly #calls = new Map<AttemptId, { readonly kind: MixKind; readonly isCounted: boolean }>();
  #count = 0;

  constructor(slots: number, policy: SlotPolicy, random: Random) {
    const announcement = {
      service: 'shop' as ServiceName,
      address: SERVER,
      slots,
      connections: 10 * slots,
      state: 'ready' as const,
      heartbeatDeadline: Number.POSITIVE_INFINITY as Instant,
    };
    this.#server = new GuardedServer(announcement, policy, START);
    this.#random = random;
    this.#tickAt(addMs(START, TICK_MS));
  }

  advance(now: Instant): void {
    for (let at = this.#events.findNext(() => true); at !== undefined && at <= now;) {
      for (const event of this.#events.takeDue(at)) event(at);
      at = this.#events.findNext(() => true);
    }
  }

  arrive(kind: MixKind, now: Instant, isCounted: boolean): void {
    const attempt = `a${this.#count}` as AttemptId;
    this.#count += 1;
    this.#calls.set(attempt, { kind, isCounted });
    if (isCounted) {
      this.outcome.arrived += 1;
      this.outcome.worthArrived += kind.worth;
    }
    const head: AttemptHead = {
      attempt,
      server: SERVER,
      requestKind: kind.name as RequestKindName,
      worth: kind.worth,
      deadline: addMs(now, kind.timeoutMs),
      subject: attempt,
      suspect: false,
    };
    this.#apply(this.#server.admit(head, now), now);
  }

  #apply(admissions: readonly Admission[], now: Instant): void {
    for (const admission of admissions) {
      if (admission.kind === 'run') this.#run(admission.head, now);
    }
  }

  #run(head: AttemptHead, now: Instant): void {
    const call = this.#calls.get(head.attempt);
    if (call === undefined) return;
    const endsAt = addMs(now, call.kind.runMs * this.#pickFactor());
    const isInTime = endsAt <= head.deadline;
    this.#events.add(isInTime ? endsAt : head.deadline, (at) => {
      this.#server.endRun(head.attempt, isInTime ? 'answered' : 'cancelled', at);
      if (call.isCounted) this.#countEnd(call.kind, isInTime, endsAt - now);
      this.#apply(this.#server.startWaiting(at), at);
    });
  }

  #countEnd({ worth }: MixKind, isInTime: boolean, runMs: number): void {
    if (!isInTime) {
      this.outcome.cut += 1;
      return;
    }
    this.outcome.inTime += 1;
    this.outcome.worthInTime += worth;
    this.outcome.busyMs += runMs;
  }

  /** A log-normal factor around 1, as run times of real servers have long tails. */
  #pickFactor(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.#random.next()));
    const normal = radius * Math.cos(2 * Math.PI * this.#random.next());
    return Math.exp(SIGMA * normal - (SIGMA * SIGMA) / 2);
  }

  #tickAt(at: Instant): void {
    this.#events.add(at, (now) => {
      this.#apply([...this.#server.rejectLate(now), ...this.#server.startWaiting(now)], now);
      this.#tickAt(addMs(now, TICK_MS));
    });
  }
}

const SIGMA = 0.5;

for (const mix of MIXES) {
  console.log(`${mix.name}: load, then goodput/capacity, worth share, runs cut at the deadline`);
  for (const load of LOADS) {
    const cells = POLICIES.map(([name, createPolicy]) => {
      return `${name} ${runSeeds(mix, load, createPolicy)}`;
    });
    console.log([load.toFixed(1), ...cells].join(' | '));
  }
}

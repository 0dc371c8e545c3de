/** Plays the load of client accounts against a guarded backend server or an intake queue, in virtual time. */
import type { Admission } from '../src/calls/guarded-server.js';
import { GuardedServer } from '../src/calls/guarded-server.js';
import type { IntakeOut } from '../src/calls/index.js';
import { IntakeFilter, PrioritySlotPolicy } from '../src/calls/index.js';
import { DeadlineHeap } from '../src/calls/deadline-heap.js';
import { addMs } from '../src/clock.js';
import type {
  Address,
  AttemptId,
  ClientAccountName,
  Instant,
  RequestKindName,
} from '../src/ids.js';
import { SeededRandom } from '../src/random.js';
import { makeServer, START } from './call-resources.js';
import { makeRouted } from './intake-calls.js';

/** One client account of a load; rates are parts of the room. */
export interface LoadAccount {
  readonly name: ClientAccountName;
  readonly usual: number;
  readonly surge: number;
  readonly worth: number;
}

/** What was asked and served of each account in the surge. */
export interface Served {
  readonly asked: Map<string, number>;
  readonly served: Map<string, number>;
}

/** How a load is played. */
export interface LoadOptions {
  readonly accounts: readonly LoadAccount[];
  /** Whether the code under test sees the accounts; otherwise its order is the one without accounts. */
  readonly named: boolean;
  readonly seed: number;
}

const WARM_UP_MS = 60_000;
const SURGE_MS = 6_000;
/** The usual load goes on after the surge, so that what it left waiting does not find an empty room. */
const AFTER_MS = 6_000;
const SLOTS = 8;
const RUN_MS = 257;
const TURN_MS = 5;
const SERVER = '10.0.0.1:80' as Address;

/** Makes accounts with sizes by a power law; `surging` maps ranks, from 1, to factors. */
export function makeAccounts(
  count: number,
  total: number,
  surging: ReadonlyMap<number, number>,
  findWorth: (rank: number) => number = () => 1,
): LoadAccount[] {
  const sizes = Array.from({ length: count }, (_, index) => (index + 1) ** -1.2);
  const sum = sizes.reduce((left, right) => left + right);
  return sizes.map((size, index) => ({
    name: `account-${index + 1}` as ClientAccountName,
    usual: (total * size) / sum,
    surge: surging.get(index + 1) ?? 1,
    worth: findWorth(index + 1),
  }));
}

/** Divides a room of 1 by max-min fairness relative to the usual rates, with full knowledge; returns served parts. */
export function findFairParts(accounts: readonly LoadAccount[], room = 1): Map<string, number> {
  const parts = new Map<string, number>();
  let left = room;
  let open = accounts.reduce((sum, { usual }) => sum + usual, 0);
  for (const { name, usual, surge } of accounts.toSorted((one, other) => one.surge - other.surge)) {
    const got = Math.min(usual * surge, (left * usual) / open);
    parts.set(name, got / (usual * surge));
    left -= got;
    open -= usual;
  }
  return parts;
}

/** Plays a load against a backend server with eight slots. */
export function playGuard(options: LoadOptions): Served {
  const random = new SeededRandom(options.seed);
  const result: Served = { asked: new Map(), served: new Map() };
  const announcement = makeServer(SERVER, { slots: SLOTS, warmAt: START });
  const server = new GuardedServer(announcement, new PrioritySlotPolicy(), START);
  const ends = new DeadlineHeap<AttemptId>();
  const counted = new Map<AttemptId, string>();
  const apply = (admissions: readonly Admission[], now: Instant): void => {
    for (const admission of admissions) {
      if (admission.kind === 'reject') continue;
      const { attempt } = admission.head;
      ends.add(addMs(now, RUN_MS * (0.5 + random.next())), attempt);
      addOne(result.served, counted.get(attempt));
    }
  };
  const advance = (until: Instant): void => {
    for (let at = ends.findNext(() => true); at !== undefined && at <= until;) {
      for (const attempt of ends.takeDue(at)) {
        server.endRun(attempt, 'answered', at);
        apply(server.startWaiting(at), at);
      }
      at = ends.findNext(() => true);
    }
    apply(server.rejectLate(until), until);
  };
  playArrivals(options, RUN_MS / SLOTS, random, ({ name, worth }, id, now, isCounted) => {
    advance(now);
    if (isCounted) {
      addOne(result.asked, name);
      counted.set(id as AttemptId, name);
    }
    const head = {
      attempt: id as AttemptId,
      server: SERVER,
      requestKind: 'read' as RequestKindName,
      worth,
      deadline: addMs(now, 3_000),
      aim: addMs(now, 1_500),
      ...(options.named ? { account: name } : {}),
      subject: id,
      suspect: false,
    };
    apply(server.admit(head, now), now);
  });
  advance(addMs(START, 10 * WARM_UP_MS));
  return result;
}

/** Plays a load against an intake queue that gets a turn every 5 ms. */
export function playIntake(options: LoadOptions): Served {
  const random = new SeededRandom(options.seed);
  const result: Served = { asked: new Map(), served: new Map() };
  const filter = new IntakeFilter();
  const state = filter.createState();
  const counted = new Map<string, string>();
  let turn = START;
  const count = (outputs: readonly IntakeOut[]): void => {
    for (const output of outputs) {
      if (output.kind === 'routed') addOne(result.served, counted.get(output.call.head.id));
    }
  };
  const advance = (until: Instant): void => {
    for (; turn <= until; turn = addMs(turn, TURN_MS)) {
      count(filter.decide(state, { kind: 'turn' }, turn).outputs);
      filter.decide(state, { kind: 'turn-over' }, turn);
    }
  };
  playArrivals(options, TURN_MS, random, ({ name, worth }, id, now, isCounted) => {
    advance(now);
    if (isCounted) {
      addOne(result.asked, name);
      counted.set(id, name);
    }
    const account = options.named ? name : undefined;
    filter.decide(state, makeRouted(id, { now, worth, account, fullValueMs: 1_000 }), now);
  });
  advance(addMs(turn, WARM_UP_MS));
  return result;
}

// Internals.

/** Plays arrivals at random instants: a minute of usual load, the surge, and the usual load again. */
function playArrivals(
  { accounts }: LoadOptions,
  roomMs: number,
  random: SeededRandom,
  arrive: (account: LoadAccount, id: string, now: Instant, isCounted: boolean) => void,
): void {
  const surgeAt = addMs(START, WARM_UP_MS);
  const surgeEnd = addMs(surgeAt, SURGE_MS);
  const end = addMs(surgeEnd, AFTER_MS);
  const isSurge = (now: Instant): boolean => now >= surgeAt && now < surgeEnd;
  const addNext = (account: LoadAccount, now: Instant): void => {
    const rate = account.usual * (isSurge(now) ? account.surge : 1);
    const at = addMs(now, (-Math.log(1 - random.next()) * roomMs) / rate);
    // An arrival beyond a change of the rate is drawn again at the new rate.
    const change = [surgeAt, surgeEnd, end].find((one) => now < one && at >= one);
    if (change === undefined) arrivals.add(at, account);
    else if (change < end) addNext(account, change);
  };
  const arrivals = new DeadlineHeap<LoadAccount>();
  for (const account of accounts) addNext(account, START);
  let played = 0;
  for (let at = arrivals.findNext(() => true); at !== undefined;) {
    for (const account of arrivals.takeDue(at)) {
      played += 1;
      arrive(account, `a${played}`, at, isSurge(at));
      addNext(account, at);
    }
    at = arrivals.findNext(() => true);
  }
}

function addOne(counts: Map<string, number>, name: string | undefined): void {
  if (name !== undefined) counts.set(name, (counts.get(name) ?? 0) + 1);
}

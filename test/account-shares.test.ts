/** How the room of a class of priority is shared among client accounts, under load. */
import { setImmediate } from 'node:timers/promises';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { AccountShares } from '../src/calls/account-shares.js';
import type { Admission } from '../src/calls/guarded-server.js';
import { GuardedServer } from '../src/calls/guarded-server.js';
import { IntakeFilter, PrioritySlotPolicy } from '../src/calls/index.js';
import { addMs } from '../src/clock.js';
import type {
  Address,
  AttemptId,
  ClientAccountName,
  Instant,
  RequestKindName,
} from '../src/ids.js';
import { SeededRandom } from '../src/random.js';
import type { LoadAccount, LoadOptions, Served } from './account-load.js';
import { findFairParts, makeAccounts, playGuard, playIntake } from './account-load.js';
import { makeServer, START } from './call-resources.js';
import { makeRouted } from './intake-calls.js';

const SERVER = '10.0.0.1:80' as Address;
const SURGE = 7.5;
/** No account is served less than this part of how often all are. */
const LEAST_PART = 1 / 4;
/** The worst tenth gets at least this part of what it gets by max-min shares with full knowledge. */
const LEAST_OF_REFERENCE = 0.8;
/** Accounts with fewer calls are counted together, because their parts are random. */
const FEW_CALLS = 60;
const URGENT = 4;
const LESS_URGENT = 1;

/** Plays one seed of a load. */
interface Player {
  readonly play: (options: LoadOptions) => Served;
  /** Enough that most accounts have {@link FEW_CALLS} in the surge. */
  readonly seeds: number;
}

const GUARD: Player = { play: playGuard, seeds: 24 };
const INTAKE: Player = { play: playIntake, seeds: 4 };

interface Figures {
  /** The served part of all calls. */
  readonly all: number;
  /** The served part of the account that is served least. */
  readonly least: number;
  /** The mean served part of the tenth of the accounts that are served least, without those that surge. */
  readonly worstTenth: number;
  /** The served part of the accounts that surge. */
  readonly surging: number;
}

function playSeeds(
  { play, seeds }: Player,
  accounts: readonly LoadAccount[],
  named: boolean,
): Served {
  const sum: Served = { asked: new Map(), served: new Map() };
  for (let seed = 1; seed <= seeds; seed += 1) {
    const one = play({ accounts, named, seed });
    for (const key of ['asked', 'served'] as const) {
      for (const [name, count] of one[key]) sum[key].set(name, (sum[key].get(name) ?? 0) + count);
    }
  }
  return sum;
}

function measureParts(accounts: readonly LoadAccount[], { asked, served }: Served): Figures {
  const part = (some: readonly LoadAccount[]): number => {
    const total = (counts: Map<string, number>): number =>
      some.reduce((sum, { name }) => sum + (counts.get(name) ?? 0), 0);
    return total(served) / Math.max(1, total(asked));
  };
  const hasFew = ({ name }: LoadAccount): boolean => (asked.get(name) ?? 0) < FEW_CALLS;
  const alone = accounts.filter((one) => !hasFew(one)).map((one) => [one]);
  const groups = [...alone, accounts.filter(hasFew)].filter((group) => group.length > 0);
  const usual = groups.filter(([one]) => one?.surge === 1).map(part);
  return {
    all: part(accounts),
    least: Math.min(...groups.map(part)),
    worstTenth: findWorstTenth(usual),
    surging: part(accounts.filter(({ surge }) => surge > 1)),
  };
}

function findWorstTenth(parts: readonly number[]): number {
  const worst = parts.toSorted((left, right) => left - right);
  const tenth = worst.slice(0, Math.max(1, Math.round(worst.length / 10)));
  return tenth.reduce((sum, part) => sum + part, 0) / tenth.length;
}

function formatFigures(figures: Figures): string {
  const { all, least, worstTenth, surging } = figures;
  const named = { all, least, 'worst tenth': worstTenth, surging };
  return Object.entries(named)
    .map(([name, part]) => `${name} ${part.toFixed(2)}`)
    .join(', ');
}

/** Plays a load with and without accounts, prints what callers got, and checks the shares of each class. */
async function checkShares(
  t: ExecutionContext,
  player: Player,
  accounts: readonly LoadAccount[],
  classes: readonly LoadClass[] = [{ accounts, room: 1 }],
): Promise<void> {
  // Lets the test runner report the tests before this one, whose time limit is for the time without a report.
  await setImmediate();
  const shared = playSeeds(player, accounts, true);
  const byArrival = playSeeds(player, accounts, false);
  for (const { accounts: members, room } of classes) {
    const figures = measureParts(members, shared);
    const fair = findFairParts(members, room);
    const usual = members.filter(({ surge }) => surge === 1);
    const reference = findWorstTenth(usual.map(({ name }) => fair.get(name) ?? 0));
    t.log(`shared     ${formatFigures(figures)}`);
    t.log(`by arrival ${formatFigures(measureParts(members, byArrival))}`);
    t.log(`reference  worst tenth ${reference.toFixed(2)}`);
    t.true(figures.least >= LEAST_PART * figures.all, 'an account is served too seldom');
    t.true(figures.worstTenth >= LEAST_OF_REFERENCE * reference, 'the worst tenth is not served');
  }
}

/** A class of priority and the part of the room that is left to it. */
interface LoadClass {
  readonly accounts: readonly LoadAccount[];
  readonly room: number;
}

/** Divides accounts by worth; each class gets what the demand of the more urgent ones leaves. */
function listClasses(accounts: readonly LoadAccount[]): LoadClass[] {
  let room = 1;
  return [URGENT, LESS_URGENT].map((worth) => {
    const members = accounts.filter((one) => one.worth === worth);
    const found = { accounts: members, room };
    room -= members.reduce((sum, { usual, surge }) => sum + usual * surge, 0);
    return found;
  });
}

const SURGES: readonly (readonly [string, ReadonlyMap<number, number>])[] = [
  ['no surge', new Map()],
  ['largest surges', new Map([[1, SURGE]])],
  ['10th surges', new Map([[10, SURGE]])],
  ['four surge', new Map([2, 7, 20, 45].map((rank) => [rank, SURGE]))],
];

for (const [name, player] of [
  ['guard', GUARD],
  ['intake', INTAKE],
] as const) {
  // Guard against an account that takes the room of the others, and against shares that starve it.
  for (const load of [0.8, 1.2, 2]) {
    for (const [surge, surging] of SURGES) {
      test.serial(`${name}, load ${load}: ${surge}`, async (t) => {
        await checkShares(t, player, makeAccounts(81, load, surging));
      });
    }
  }

  // Guards against shares that are kept across classes, so that one class pays for the surge of another one.
  for (const rank of [9, 10]) {
    test.serial(`${name}, two classes, load 1.2: ${rank}th surges`, async (t) => {
      const findWorth = (one: number): number => (one % 2 === 1 ? URGENT : LESS_URGENT);
      const accounts = makeAccounts(81, 1.2, new Map([[rank, SURGE]]), findWorth);
      await checkShares(t, player, accounts, listClasses(accounts));
    });
  }

  // Guards against an account that gets nothing because nothing is known of its usual load.
  test.serial(`${name}, load 1.2 and a new account`, async (t) => {
    const account = { name: 'new' as ClientAccountName, usual: 1e-5, surge: 1e4, worth: 1 };
    await checkShares(t, player, [...makeAccounts(81, 1.2, new Map()), account]);
  });

  // Guards against a weight that is too uncertain for accounts whose last call is long ago.
  test.serial(`${name}, few calls beside a large account that surges`, async (t) => {
    const [large, ...further] = makeAccounts(81, 1, new Map([[1, SURGE]]));
    const small = further.map((one) => ({ ...one, usual: 0.003 }));
    await checkShares(
      t,
      player,
      large === undefined ? small : [{ ...large, usual: 0.5 }, ...small],
    );
  });
}

/** Drives a guarded server with random arrivals and equal run times, and lists what it decides. */
function listDecisions(seed: number, account: ClientAccountName | undefined): string[] {
  const random = new SeededRandom(seed);
  const announcement = makeServer(SERVER, { slots: 2, warmAt: START });
  const server = new GuardedServer(announcement, new PrioritySlotPolicy(), START);
  const decisions: Admission[] = [];
  const ends = new Map<AttemptId, Instant>();
  const apply = (admissions: readonly Admission[], now: Instant): void => {
    decisions.push(...admissions);
    for (const one of admissions) {
      if (one.kind === 'run') ends.set(one.head.attempt, addMs(now, 30));
    }
  };
  for (let index = 0; index < 600; index += 1) {
    const now = addMs(START, index * 5);
    for (const [attempt, at] of ends) {
      if (at > now) continue;
      ends.delete(attempt);
      server.endRun(attempt, 'answered', now);
      apply([...server.startWaiting(now), ...server.rejectLate(now)], now);
    }
    // Each kind runs once alone, so that its run time is known from then on.
    if (index < 30 && index % 10 !== 0) continue;
    const kind = index < 30 ? index / 10 : Math.floor(random.next() * 3);
    const head = {
      attempt: `a${index}` as AttemptId,
      server: SERVER,
      requestKind: `k${kind}` as RequestKindName,
      worth: 2 ** kind,
      deadline: addMs(now, 200 + 900 * random.next()),
      aim: addMs(now, 400 * random.next()),
      ...(account && { account }),
      subject: '',
      suspect: false,
    };
    apply(server.admit(head, now), now);
  }
  return decisions.map((one) =>
    one.kind === 'run' ? `run ${one.head.attempt}` : `${one.reason} ${one.attempt}`,
  );
}

// Guards against memory that grows with every account that ever called.
test('accounts that no longer call are forgotten', (t) => {
  const shares = new AccountShares(START);
  for (let index = 0; index < 10_000; index += 1) {
    const now = addMs(START, index * 1_000);
    shares.addAsked(`account-${index}` as ClientAccountName, 1, now);
    shares.addGot(`account-${index}` as ClientAccountName, 1, now);
  }
  t.true(shares.size < 1_000);
});

// Guards against a sharing that also changes the order of the calls of one account.
test('one account alone: same decisions as without accounts', (t) => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const expected = listDecisions(seed, undefined);
    t.deepEqual(listDecisions(seed, 'a' as ClientAccountName), expected);
    t.true(expected.some((one) => one.startsWith('overloaded')));
  }
});

// Guards against a full queue that refuses the calls of all accounts for the surge of one.
test('full intake: the account with the most waiting calls loses one', (t) => {
  const filter = new IntakeFilter();
  const state = filter.createState();
  let now = START;
  const post = (id: string, account: string) => {
    const call = { now, fullValueMs: 60_000, account: account as ClientAccountName };
    return filter.decide(state, makeRouted(id, call), now).outputs;
  };
  for (const account of Array.from({ length: 20 }, () => ['large', 'small']).flat()) {
    now = addMs(now, 1_000);
    post('usual', account);
    filter.decide(state, { kind: 'turn' }, now);
  }
  for (let index = 0; index < 1_024; index += 1) post(`large-${index}`, 'large');
  t.like(post('small-1', 'small'), [{ kind: 'refuse', id: 'large-1023' }]);
  t.like(post('large-again', 'large'), [{ kind: 'refuse', id: 'large-again' }]);
});

// Guards against a full server that rejects the attempts of all accounts for the surge of one.
test('full server: the account with the most waiting attempts loses one', (t) => {
  const server = new GuardedServer(
    makeServer(SERVER, { slots: 1 }),
    new PrioritySlotPolicy(),
    START,
  );
  const admit = (attempt: string, account: string) => {
    return server.admit(
      {
        attempt: attempt as AttemptId,
        server: SERVER,
        requestKind: 'k' as RequestKindName,
        worth: 1,
        deadline: addMs(START, 60_000),
        account: account as ClientAccountName,
        subject: '',
        suspect: false,
      },
      START,
    );
  };
  for (let index = 0; index <= 50; index += 1) admit(`large-${index}`, 'large');
  t.like(admit('small-1', 'small'), [{ kind: 'reject', attempt: 'large-50' }]);
});

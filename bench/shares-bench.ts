/**
 * Measures the processor time that sharing by client account adds to a pick: `npm run bench -- shares`.
 *
 * Attempts of accounts arrive at a slot policy and calls arrive at an intake queue in which others wait; each arrival
 * is followed by a pick.
 */
import { AccountIndex } from '../src/calls/account-index.js';
import { IntakeFilter, PrioritySlotPolicy } from '../src/calls/index.js';
import { addMs, NEVER } from '../src/clock.js';
import type {
  AccountKey,
  Address,
  AttemptId,
  CallId,
  ClientAccountName,
  Instant,
  RequestKindName,
} from '../src/ids.js';
import type { AttemptHead } from '../src/messages/index.js';
import { buildKeyDigest } from '../src/notes/index.js';
import { SeededRandom } from '../src/random.js';

const START = 1e6 as Instant;
const WAITING_COUNTS = [4, 400];
const ROUNDS = 200_000;
const KEYS_PER_ACCOUNT = 10;
const US_PER_MS = 1_000;

function makeHead(index: number, account: string | undefined, now: Instant): AttemptHead {
  return {
    attempt: `a${index}` as AttemptId,
    server: '10.0.0.1:80' as Address,
    requestKind: 'read' as RequestKindName,
    worth: 1,
    deadline: addMs(now, 60_000),
    ...(account === undefined ? {} : { account: account as ClientAccountName }),
    subject: '',
    suspect: false,
  };
}

/** Returns the microseconds per arrival and pick. */
function measure(
  waiting: number,
  count: number,
  play: (index: number, account: string | undefined) => void,
): number {
  const random = new SeededRandom(1);
  const pick = () => (count === 0 ? undefined : `account-${Math.floor(random.next() * count)}`);
  const accounts = Array.from({ length: ROUNDS + waiting }, pick);
  const half = waiting + ROUNDS / 2;
  for (let index = 0; index < half; index += 1) play(index, accounts[index]);
  const startedAt = performance.now();
  for (let index = half; index < accounts.length; index += 1) play(index, accounts[index]);
  return ((performance.now() - startedAt) * US_PER_MS) / (ROUNDS / 2);
}

function measurePolicy(waiting: number, count: number): number {
  const policy = new PrioritySlotPolicy();
  return measure(waiting, count, (index, account) => {
    const now = addMs(START, index);
    const head = makeHead(index, account, now);
    policy.addAsked(head, 100, now);
    policy.countAhead(0.01, head);
    policy.add({ head, arrivedAt: now, priority: 0.01, runMs: 100, latestStart: NEVER });
    if (index >= waiting) policy.takeNext(8, now);
  });
}

function measureIntake(waiting: number, count: number): number {
  const filter = new IntakeFilter();
  const state = filter.createState();
  return measure(waiting, count, (index, account) => {
    const now = addMs(START, index / 100);
    const head = makeHead(index, account, now);
    filter.decide(state, { kind: 'forwarded', id: `c${index}` as CallId, head, count: 1 }, now);
    if (index >= waiting) filter.decide(state, { kind: 'turn' }, now);
  });
}

function measureKeys(count: number): number {
  const accounts = new AccountIndex();
  const buildKey = (name: string, key: number) => `${name}-key-${key}` as AccountKey;
  for (let index = 0; index < count; index += 1) {
    const name = `account-${index}` as ClientAccountName;
    const keys = Array.from({ length: KEYS_PER_ACCOUNT }, (_, key) => buildKey(name, key));
    accounts.add({ kind: 'client-account', name, keys: keys.map(buildKeyDigest) });
  }
  return measure(0, count, (index, account) => {
    accounts.find(buildKey(account ?? '', index % KEYS_PER_ACCOUNT));
  });
}

for (const waiting of WAITING_COUNTS) {
  console.log(`${waiting} waiting; microseconds per arrival and pick, and per search of a key`);
  for (const count of [0, 1, 10, 81, 1_000]) {
    const figures = {
      guard: measurePolicy(waiting, count),
      intake: measureIntake(waiting, count),
      keys: count === 0 ? 0 : measureKeys(count),
    };
    const texts = Object.entries(figures).map(([name, us]) => `${name} ${us.toFixed(1)}`);
    console.log([`${count} accounts`, ...texts].join(' | '));
  }
}

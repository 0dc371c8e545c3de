/** Claims, load balancing, retries and hedges, without sockets. */
import test from 'ava';
import fc from 'fast-check';
import type { AttemptIn, AttemptOut } from '../src/calls/attempt-messages.js';
import { AttemptFilter } from '../src/calls/attempt-filter.js';
import { ClaimFilter } from '../src/calls/claim-filter.js';
import type { RoutedCall } from '../src/calls/classify-filter.js';
import { TwoChoicesPicker } from '../src/calls/index.js';
import { measureLoad, measureSilence } from '../src/calls/server-load.js';
import type { Locality, ServerRecord } from '../src/calls/server-table.js';
import { ServerTable } from '../src/calls/server-table.js';
import { addMs } from '../src/clock.js';
import type {
  AttemptId,
  DataCentreId,
  HostId,
  IdempotencyKey,
  Instant,
  RegionId,
  RequestId,
  ServiceName,
  Version,
} from '../src/ids.js';
import type { CallHead, RequestKindResource } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';
import { makeHead, makeKind, makeMember, makeServer, START } from './call-resources.js';

const SHOP = 'shop' as ServiceName;
const PLACE: Locality = {
  host: 'entry' as HostId,
  dataCentre: 'a' as DataCentreId,
  region: 'hu-central' as RegionId,
};
const FAILED = { outcome: 'unknown', reason: 'upstream-failed' } as const;
const NOT_RUN = { outcome: 'not-run', reason: 'overloaded' } as const;

function makeCall(
  id: string,
  kind: Partial<RequestKindResource> = {},
  head: Partial<CallHead> = {},
): RoutedCall {
  const requestKind = makeKind('k', kind);
  const deadline = addMs(START, requestKind.timeoutMs);
  const version = 3 as Version;
  return {
    head: makeHead(id, head),
    version,
    service: SHOP,
    requestKind,
    worth: requestKind.worth,
    deadline,
    subject: id,
  };
}

/** Drives an attempt filter with the given number of servers, one per host. */
class FilterDriver {
  readonly #filter = new AttemptFilter({
    place: PLACE,
    picker: new TwoChoicesPicker(new SeededRandom(1)),
    hedging: { share: 1 },
  });
  readonly #state = this.#filter.createState();

  constructor(servers: number) {
    for (let index = 0; index < servers; index += 1) {
      const server = makeServer(`10.0.0.${index}:1`);
      this.post({ kind: 'member-up', member: makeMember(`host-${index}`, [server]) });
    }
  }

  post(message: AttemptIn, now: Instant = WARMED_UP): AttemptOut[] {
    const { outputs } = this.#filter.decide(this.#state, message, now);
    return outputs.filter(({ kind }) => !REPORTS.has(kind));
  }

  /** Lists the kinds of all outputs of a message, including reports. */
  listAll(message: AttemptIn): string[] {
    return this.#filter.decide(this.#state, message, WARMED_UP).outputs.map(({ kind }) => kind);
  }

  listKinds(message: AttemptIn, now?: Instant): string[] {
    return this.post(message, now).map((output) =>
      output.kind === 'refuse' ? `${output.reason} ${output.outcome}` : output.kind,
    );
  }
}

/** Outputs that carry no decision about a call. */
const REPORTS: ReadonlySet<AttemptOut['kind']> = new Set([
  'wake',
  'observed',
  'sent-again',
  'hedge-reported',
]);
const WARMED_UP = addMs(START, 60_000);
const makeAttemptId = (id: string, count = 0): AttemptId => `${id}.${count}` as AttemptId;

test('retry: not run', (t) => {
  const driver = new FilterDriver(2);
  const call = makeCall('c', { idempotent: false, timeoutMs: 100_000 });
  t.deepEqual(driver.listKinds({ kind: 'claimed', call }), ['dispatch']);
  const failed = { kind: 'attempt-failed', attempt: makeAttemptId('c'), failure: NOT_RUN } as const;
  t.deepEqual(driver.listKinds(failed), ['dispatch']);
});

test('no retry: may have run', (t) => {
  const driver = new FilterDriver(2);
  driver.post({ kind: 'claimed', call: makeCall('c', { idempotent: false, timeoutMs: 1e6 }) });
  const failed = { kind: 'attempt-failed', attempt: makeAttemptId('c'), failure: FAILED } as const;
  t.deepEqual(driver.listKinds(failed), ['upstream-failed unknown']);
});

test('no retry: no time left', (t) => {
  const driver = new FilterDriver(2);
  driver.post({ kind: 'claimed', call: makeCall('c', { timeoutMs: 100_000 }) });
  const failed = { kind: 'attempt-failed', attempt: makeAttemptId('c'), failure: FAILED } as const;
  const now = addMs(START, 99_998);
  t.deepEqual(driver.listKinds(failed, now), ['upstream-failed unknown']);
});

test('answer too late: no retry, not a server failure', (t) => {
  const driver = new FilterDriver(2);
  for (let index = 0; index < 20; index += 1) {
    const id = `c${index}`;
    driver.post({ kind: 'claimed', call: makeCall(id, { timeoutMs: 1e6 }) });
    const failure = { outcome: 'unknown', reason: 'deadline' } as const;
    const failed = { kind: 'attempt-failed', attempt: makeAttemptId(id), failure } as const;
    t.deepEqual(driver.listAll(failed), ['refuse']);
  }
});

test('planned stop: caps the deadlines of open calls', (t) => {
  const driver = new FilterDriver(1);
  driver.post({ kind: 'claimed', call: makeCall('c', { timeoutMs: 1e6 }) });
  const answerBy = addMs(WARMED_UP, 100);
  t.deepEqual(driver.listKinds({ kind: 'stopping', answerBy }), []);
  t.deepEqual(driver.listKinds({ kind: 'tick' }, addMs(WARMED_UP, 99)), []);
  t.deepEqual(driver.listKinds({ kind: 'tick' }, answerBy), ['cancel']);
  const failed = { kind: 'attempt-failed', attempt: makeAttemptId('c'), failure: FAILED } as const;
  t.deepEqual(driver.listKinds(failed, answerBy), ['deadline unknown']);
});

test('planned stop: caps the deadline of a call claimed later', (t) => {
  const driver = new FilterDriver(1);
  driver.post({ kind: 'stopping', answerBy: addMs(WARMED_UP, 100) });
  driver.post({ kind: 'claimed', call: makeCall('c', { timeoutMs: 1e6 }) });
  t.deepEqual(driver.listKinds({ kind: 'tick' }, addMs(WARMED_UP, 100)), ['cancel']);
});

test('planned stop: call that is expected to take longer is refused as not run', (t) => {
  const driver = new FilterDriver(1);
  const answerAfter = (name: string, sentAt: Instant, tookMs: number): void => {
    driver.post({ kind: 'claimed', call: makeCall(name, { timeoutMs: 1e6 }) }, sentAt);
    const attempt = makeAttemptId(name);
    const answeredAt = addMs(sentAt, tookMs);
    driver.post({ kind: 'answer-started', attempt, status: 200, load: undefined }, answeredAt);
    driver.post({ kind: 'answer-complete', attempt }, answeredAt);
  };
  for (let count = 0; count < 60; count += 1) {
    answerAfter(`c${count}`, addMs(WARMED_UP, 1_000 * count), 500);
  }
  const now = addMs(WARMED_UP, 60_000);
  driver.post({ kind: 'stopping', answerBy: addMs(now, 1_000) }, now);
  const call = makeCall('early', { timeoutMs: 1e6 });
  t.deepEqual(driver.listKinds({ kind: 'claimed', call }, now), ['dispatch']);
  const late = { kind: 'claimed', call: makeCall('late', { timeoutMs: 1e6 }) } as const;
  t.deepEqual(driver.listKinds(late, addMs(now, 600)), ['draining not-run']);
});

test('no retry: forwarded call', (t) => {
  const driver = new FilterDriver(2);
  driver.post({ kind: 'claimed', call: makeCall('c', { timeoutMs: 1e6 }, { attempt: 2 }) });
  const failed = { kind: 'attempt-failed', attempt: makeAttemptId('c'), failure: FAILED } as const;
  t.deepEqual(driver.listKinds(failed), ['upstream-failed unknown']);
});

test('not-run retry after an unknown outcome: unknown', (t) => {
  const driver = new FilterDriver(2);
  driver.post({ kind: 'claimed', call: makeCall('c', { timeoutMs: 1e6 }) });
  driver.post({ kind: 'attempt-failed', attempt: makeAttemptId('c'), failure: FAILED });
  const second = {
    kind: 'attempt-failed',
    attempt: makeAttemptId('c', 1),
    failure: NOT_RUN,
  } as const;
  t.deepEqual(driver.listKinds(second), ['overloaded unknown']);
});

test('connection lost twice: no third server', (t) => {
  const driver = new FilterDriver(3);
  driver.post({ kind: 'claimed', call: makeCall('c', { timeoutMs: 1e6 }) });
  const lost = (count: number) =>
    ({ kind: 'attempt-failed', attempt: makeAttemptId('c', count), failure: FAILED }) as const;
  const [retry] = driver.post(lost(0));
  t.true(retry?.kind === 'dispatch' && retry.head.suspect);
  t.deepEqual(driver.listKinds(lost(1)), ['upstream-failed unknown']);
});

test('retry budget', (t) => {
  const driver = new FilterDriver(3);
  let dispatched = 0;
  for (let index = 0; index < 1_000; index += 1) {
    const call = makeCall(`c${index}`, { timeoutMs: 1e6 });
    dispatched += driver.post({ kind: 'claimed', call }).length;
    for (let count = 0; count < 3; count += 1) {
      const attempt = makeAttemptId(`c${index}`, count);
      const outputs = driver.post({ kind: 'attempt-failed', attempt, failure: NOT_RUN });
      dispatched += outputs.filter(({ kind }) => kind === 'dispatch').length;
    }
  }
  t.true(dispatched > 1_050 && dispatched <= 1_105, `${dispatched} attempts for 1000 calls`);
});

test('retry budget: unknown outcome at a draining guard uses it', (t) => {
  const driver = new FilterDriver(3);
  const failure = { outcome: 'unknown', reason: 'draining' } as const;
  let dispatched = 0;
  for (let index = 0; index < 1_000; index += 1) {
    const id = `c${index}`;
    dispatched += driver.post({ kind: 'claimed', call: makeCall(id, { timeoutMs: 1e6 }) }).length;
    const outputs = driver.post({ kind: 'attempt-failed', attempt: makeAttemptId(id), failure });
    dispatched += outputs.filter(({ kind }) => kind === 'dispatch').length;
  }
  t.true(dispatched > 1_050 && dispatched <= 1_125, `${dispatched} attempts for 1000 calls`);
});

test('hedge: first answer wins', (t) => {
  const driver = new FilterDriver(2);
  const kind = { hedge: true, timeoutMs: 1e6 };
  const load = { running: 0, waiting: 0, runMs: 10, heldMs: 10 };
  const answer = (attempt: AttemptId) =>
    ({ kind: 'answer-started', attempt, status: 200, load }) as const;
  for (let count = 0; count < 50; count += 1) {
    const id = `a${count}`;
    driver.post({ kind: 'claimed', call: makeCall(id, kind) });
    driver.post(answer(makeAttemptId(id)), addMs(WARMED_UP, 10));
    driver.post({ kind: 'answer-complete', attempt: makeAttemptId(id) });
  }
  driver.post({ kind: 'claimed', call: makeCall('b', kind) });
  t.deepEqual(driver.listKinds({ kind: 'tick' }, addMs(WARMED_UP, 100)), ['dispatch']);
  t.deepEqual(driver.listKinds(answer(makeAttemptId('b', 1))), ['relay', 'cancel']);
});

test('shed answer: retried on another server', (t) => {
  const driver = new FilterDriver(2);
  driver.post({ kind: 'claimed', call: makeCall('c', { timeoutMs: 1e6 }) });
  const shed = { kind: 'answer-started', status: 503, load: undefined } as const;
  t.deepEqual(driver.listKinds({ ...shed, attempt: makeAttemptId('c') }), ['cancel', 'dispatch']);
  t.deepEqual(driver.listKinds({ ...shed, attempt: makeAttemptId('c', 1) }), ['relay']);
});

/** Lists the outputs of a tick at the deadline of a call with a running attempt, then of each message. */
function listAfterDeadline(messages: readonly AttemptIn[]): string[][] {
  const driver = new FilterDriver(1);
  const idempotent = false;
  driver.post({ kind: 'claimed', call: makeCall('c', { idempotent, timeoutMs: 100_000 }) });
  const end = addMs(START, 100_000);
  return [{ kind: 'tick' } as const, ...messages].map((one) => driver.listKinds(one, end));
}

test('deadline cancels a running attempt', (t) => {
  const attempt = makeAttemptId('c');
  const cancelled = { kind: 'attempt-failed', attempt, failure: FAILED } as const;
  t.deepEqual(listAfterDeadline([cancelled]), [['cancel'], ['deadline unknown']]);
});

test('deadline: unsent attempt is not-run', (t) => {
  const attempt = makeAttemptId('c');
  const unsent = { kind: 'attempt-failed', attempt, failure: NOT_RUN } as const;
  t.deepEqual(listAfterDeadline([unsent]), [['cancel'], ['deadline not-run']]);
});

test('deadline: answer after the cancellation is ignored', (t) => {
  const attempt = makeAttemptId('c');
  const started = { kind: 'answer-started', attempt, status: 200, load: undefined } as const;
  const complete = { kind: 'answer-complete', attempt } as const;
  t.deepEqual(listAfterDeadline([started, complete]), [['cancel'], [], ['deadline unknown']]);
});

test('ejection leaves half of the servers', (t) => {
  const driver = new FilterDriver(4);
  const kind = { idempotent: false, timeoutMs: 1e6 };
  const used = new Set<string>();
  for (let index = 0; index < 400; index += 1) {
    const call = makeCall(`c${index}`, kind);
    for (const output of driver.post({ kind: 'claimed', call })) {
      if (output.kind === 'dispatch' && index >= 300) used.add(output.target.server);
    }
    driver.post({ kind: 'attempt-failed', attempt: makeAttemptId(`c${index}`), failure: FAILED });
  }
  t.is(used.size, 2);
});

test('server that is down is avoided', (t) => {
  const driver = new FilterDriver(2);
  const dead = '10.0.0.0:1';
  let sent = 0;
  for (let index = 0; index < 100; index += 1) {
    const [first] = driver.post({
      kind: 'claimed',
      call: makeCall(`c${index}`, { timeoutMs: 1e6 }),
    });
    if (first?.kind !== 'dispatch' || first.target.server !== dead) continue;
    sent += 1;
    const failure = { outcome: 'not-run', reason: 'no-server' } as const;
    const failed = { kind: 'attempt-failed', attempt: first.head.attempt, failure } as const;
    t.deepEqual(driver.listKinds(failed), ['dispatch']);
  }
  t.is(sent, 1);
});

test('near servers first', (t) => {
  const table = new ServerTable(PLACE);
  const remote = { dataCentre: 'b' as DataCentreId };
  for (let index = 0; index < 40; index += 1) {
    const member = makeMember(
      `h${index}`,
      [makeServer(`10.0.0.${index}:1`)],
      index < 20 ? {} : remote,
    );
    table.apply({ kind: 'member-up', member }, START);
  }
  const picker = new TwoChoicesPicker(new SeededRandom(3));
  const used = new Set<string>();
  for (let index = 0; index < 500; index += 1) {
    const record = picker.pick(table.listTiers(SHOP), { now: WARMED_UP, tried: new Set() });
    t.is(record?.member.dataCentre, PLACE.dataCentre);
    used.add(record?.announcement.address ?? '');
  }
  t.is(used.size, 16);
});

test('two choices: close to the naive best', (t) => {
  const run = (choose: (records: readonly ServerRecord[]) => ServerRecord | undefined): number => {
    const table = new ServerTable(PLACE);
    const random = new SeededRandom(5);
    for (let index = 0; index < 12; index += 1) {
      const member = makeMember(`h${index}`, [makeServer(`10.0.0.${index}:1`)]);
      table.apply({ kind: 'member-up', member }, START);
    }
    const records = table.listTiers(SHOP).flat();
    let worst = 0;
    for (let step = 0; step < 5_000; step += 1) {
      const picked = choose(records);
      if (picked !== undefined) picked.outstanding += 1;
      const ended = random.pick(records);
      if (step > 100 && ended.outstanding > 0) ended.outstanding -= 1;
      worst = Math.max(worst, ...records.map((one) => one.outstanding));
    }
    return worst;
  };
  const picker = new TwoChoicesPicker(new SeededRandom(9));
  const naive = run((records) => records.toSorted((a, b) => a.outstanding - b.outstanding)[0]);
  const ours = run((records) => picker.pick([[], records], { now: WARMED_UP, tried: new Set() }));
  t.true(ours <= naive * 1.5, `${ours} outstanding at worst, ${naive} with the naive picker`);
});

test('picked server is usable', (t) => {
  const states = fc.constantFrom('ready' as const, 'starting' as const, 'draining' as const);
  const server = fc.record({ state: states, tried: fc.boolean(), load: fc.nat(40) });
  fc.assert(
    fc.property(fc.array(server, { maxLength: 8 }), fc.integer(), (list, seed) => {
      const table = new ServerTable(PLACE);
      list.forEach(({ state }, index) => {
        const member = makeMember(`h${index}`, [makeServer(`10.0.0.${index}:1`, { state })]);
        table.apply({ kind: 'member-up', member }, START);
      });
      const records = table.listTiers(SHOP).flat();
      records.forEach((record, index) => (record.outstanding = list[index]?.load ?? 0));
      const isTried = (_: unknown, index: number): boolean => list[index]?.tried === true;
      const tried = new Set(records.filter(isTried).map((one) => one.announcement.address));
      const usable = records.filter(
        ({ announcement }) => announcement.state === 'ready' && !tried.has(announcement.address),
      );
      const picker = new TwoChoicesPicker(new SeededRandom(seed));
      const picked = picker.pick(table.listTiers(SHOP), { now: WARMED_UP, tried });
      if (usable.length === 0) return picked === undefined;
      const worst = Math.max(...usable.map((one) => measureLoad(one, WARMED_UP)));
      return (
        picked !== undefined && usable.includes(picked) && measureLoad(picked, WARMED_UP) <= worst
      );
    }),
    { seed: 11 },
  );
  t.pass();
});

test('claim: late grant is released', (t) => {
  const filter = new ClaimFilter();
  const state = filter.createState();
  const call = makeCall('c', { claim: true }, { key: 'k1' as IdempotencyKey });
  filter.decide(state, { kind: 'routed', call }, START);
  const kinds = filter.decide(state, { kind: 'tick' }, call.deadline).outputs;
  t.deepEqual(kinds[0], {
    kind: 'refuse',
    id: call.head.id,
    reason: 'ledger-unavailable',
    outcome: 'not-run',
  });
  const answer = { kind: 'granted', id: 'c' as RequestId } as const;
  const [late] = filter.decide(state, { kind: 'ledger-answer', answer }, call.deadline).outputs;
  t.is(late?.kind === 'ledger' ? late.request.kind : late?.kind, 'release');
});

test('claim: release only if not run', (t) => {
  for (const outcome of ['not-run', 'unknown'] as const) {
    const filter = new ClaimFilter();
    const state = filter.createState();
    const call = makeCall('c', { claim: true }, { key: 'k1' as IdempotencyKey });
    filter.decide(state, { kind: 'routed', call }, START);
    const answer = { kind: 'granted', id: 'c' as RequestId } as const;
    filter.decide(state, { kind: 'ledger-answer', answer }, START);
    const { outputs } = filter.decide(state, { kind: 'failed', id: call.head.id, outcome }, START);
    t.is(outputs.length, outcome === 'not-run' ? 1 : 0);
  }
});

test('status 500: retried on another server', (t) => {
  const driver = new FilterDriver(3);
  const failed = (count: number) =>
    ({
      kind: 'answer-started',
      attempt: makeAttemptId('c', count),
      status: 500,
      load: undefined,
    }) as const;
  driver.post({ kind: 'claimed', call: makeCall('c', { timeoutMs: 1e6, maxAttempts: 2 }) });
  t.deepEqual(driver.listKinds(failed(0)), ['cancel', 'dispatch']);
  t.deepEqual(driver.listKinds(failed(1)), ['relay']);
});

test('status 500: no retry if not idempotent', (t) => {
  const driver = new FilterDriver(3);
  driver.post({ kind: 'claimed', call: makeCall('c', { timeoutMs: 1e6, idempotent: false }) });
  const failed = { kind: 'answer-started', status: 500, load: undefined } as const;
  t.deepEqual(driver.listKinds({ ...failed, attempt: makeAttemptId('c') }), ['relay']);
});

test('maximum number of attempts of a request kind', (t) => {
  const shed = { outcome: 'not-run', reason: 'shed' } as const;
  const fail = (count: number) =>
    ({ kind: 'attempt-failed', attempt: makeAttemptId('c', count), failure: shed }) as const;
  const driver = new FilterDriver(4);
  driver.post({ kind: 'claimed', call: makeCall('c', { timeoutMs: 1e6, maxAttempts: 2 }) });
  t.deepEqual(driver.listKinds(fail(0)), ['dispatch']);
  t.deepEqual(driver.listKinds(fail(1)), ['shed not-run']);
  const once = new FilterDriver(4);
  once.post({ kind: 'claimed', call: makeCall('c', { timeoutMs: 1e6, maxAttempts: 1 }) });
  t.deepEqual(once.listKinds(fail(0)), ['shed not-run']);
});

test('failing server gets fewer calls', (t) => {
  const driver = new FilterDriver(2);
  const counts = new Map<string, number>();
  for (let index = 0; index < 400; index += 1) {
    const id = `c${index}`;
    const call = makeCall(id, { timeoutMs: 1e6, idempotent: false });
    const [output] = driver.post({ kind: 'claimed', call });
    const server = output?.kind === 'dispatch' ? output.target.server : '';
    counts.set(server, (counts.get(server) ?? 0) + 1);
    const isBad = server === '10.0.0.0:1' && index % 2 === 0;
    const attempt = makeAttemptId(id);
    driver.post({ kind: 'answer-started', attempt, status: isBad ? 500 : 200, load: undefined });
    driver.post({ kind: 'answer-complete', attempt });
  }
  const [bad = 0, good = 0] = [counts.get('10.0.0.0:1'), counts.get('10.0.0.1:1')];
  t.true(bad < good / 2, `${bad} and ${good} calls`);
});

test('status 500, then shed: outcome unknown', (t) => {
  const driver = new FilterDriver(3);
  driver.post({ kind: 'claimed', call: makeCall('c', { timeoutMs: 1e6, maxAttempts: 2 }) });
  const failed = { kind: 'answer-started', status: 500, load: undefined } as const;
  t.deepEqual(driver.listKinds({ ...failed, attempt: makeAttemptId('c') }), ['cancel', 'dispatch']);
  const shed = { outcome: 'not-run', reason: 'shed' } as const;
  const second = { kind: 'attempt-failed', attempt: makeAttemptId('c', 1), failure: shed } as const;
  t.deepEqual(driver.listKinds(second), ['shed unknown']);
});

test('busy: other servers first, then waits', (t) => {
  const driver = new FilterDriver(3);
  const [first] = driver.post({
    kind: 'claimed',
    call: makeCall('c', { timeoutMs: 1e6, idempotent: false }),
  });
  const asked: string[] = [];
  const conditions: (boolean | undefined)[] = [];
  let output = first;
  for (const running of [25, 21]) {
    if (output?.kind !== 'dispatch') break;
    asked.push(output.target.server);
    conditions.push(output.head.onlyIfFree);
    const load = { running, waiting: 0 };
    const failure = { outcome: 'not-run', reason: 'busy', load } as const;
    const { attempt } = output.head;
    [output] = driver.post({ kind: 'attempt-failed', attempt, failure });
  }
  t.is(output?.kind, 'dispatch');
  if (output?.kind !== 'dispatch') return;
  t.is(new Set(asked).size, 2);
  t.deepEqual(conditions, [true, true]);
  t.false(output.head.onlyIfFree);
  t.false(asked.includes(output.target.server), 'the third server has not declined the call');
});

test('busy everywhere: waits at the least loaded', (t) => {
  const driver = new FilterDriver(2);
  const busy = (count: number, running: number) =>
    ({
      kind: 'attempt-failed',
      attempt: makeAttemptId('c', count),
      failure: { outcome: 'not-run', reason: 'busy', load: { running, waiting: 0 } },
    }) as const;
  const [first] = driver.post({ kind: 'claimed', call: makeCall('c', { timeoutMs: 1e6 }) });
  const [second] = driver.post(busy(0, 25));
  const [last] = driver.post(busy(1, 21));
  if (first?.kind !== 'dispatch' || second?.kind !== 'dispatch' || last?.kind !== 'dispatch') {
    t.fail('a declined attempt was not redirected');
    return;
  }
  t.not(first.target.server, second.target.server);
  t.is(last.target.server, second.target.server);
  t.false(last.head.onlyIfFree);
});

test('busy: no retry is spent, later failures count', (t) => {
  const driver = new FilterDriver(4);
  const fail = (count: number, reason: 'busy' | 'shed') =>
    ({
      kind: 'attempt-failed',
      attempt: makeAttemptId('c', count),
      failure: { outcome: 'not-run', reason },
    }) as const;
  driver.post({ kind: 'claimed', call: makeCall('c', { timeoutMs: 1e6, maxAttempts: 2 }) });
  t.deepEqual(driver.listKinds(fail(0, 'busy')), ['dispatch']);
  t.deepEqual(driver.listKinds(fail(1, 'busy')), ['dispatch']);
  t.deepEqual(driver.listKinds(fail(2, 'shed')), ['dispatch']);
  t.deepEqual(driver.listKinds(fail(3, 'shed')), ['shed not-run']);
});

test('onlyIfFree: not for a single server or an unrepeatable body', (t) => {
  const alone = new FilterDriver(1);
  const [only] = alone.post({ kind: 'claimed', call: makeCall('c', { timeoutMs: 1e6 }) });
  t.false(only?.kind === 'dispatch' && only.head.onlyIfFree);
  const driver = new FilterDriver(3);
  const [once] = driver.post({
    kind: 'claimed',
    call: makeCall('c', { timeoutMs: 1e6 }, { repeatable: false }),
  });
  t.false(once?.kind === 'dispatch' && once.head.onlyIfFree);
});

test('proxy overloaded: unrepeatable body is not redirected', (t) => {
  const driver = new FilterDriver(3);
  const call = makeCall('c', { timeoutMs: 1e6 }, { repeatable: false });
  driver.post({ kind: 'claimed', call });
  t.deepEqual(driver.listKinds(makeOverloadFailure(0)), ['proxy-overloaded not-run']);
});

test('proxy overloaded: not retried on the same server', (t) => {
  const driver = new FilterDriver(1);
  driver.post({ kind: 'claimed', call: makeCall('c', { timeoutMs: 1e6 }) });
  t.deepEqual(driver.listKinds(makeOverloadFailure(0)), ['proxy-overloaded not-run']);
});

function makeOverloadFailure(count: number): AttemptIn {
  const failure = { outcome: 'not-run', reason: 'proxy-overloaded' } as const;
  return { kind: 'attempt-failed', attempt: makeAttemptId('c', count), failure };
}

/** Creates a filter with one server. */
function startFilter() {
  const picker = new TwoChoicesPicker(new SeededRandom(1));
  const filter = new AttemptFilter({ place: PLACE, picker });
  const state = filter.createState();
  const member = makeMember('host-0', [makeServer('10.0.0.0:1')]);
  filter.decide(state, { kind: 'member-up', member }, START);
  return { filter, state };
}

test('ended calls cause no wake-up', (t) => {
  const { filter, state } = startFilter();
  const wakes: number[] = [];
  for (let index = 0; index < 100; index += 1) {
    const now = addMs(START, index);
    const call = { ...makeCall(`c${index}`), deadline: addMs(now, 50) };
    const { outputs } = filter.decide(state, { kind: 'claimed', call }, now);
    for (const output of outputs) if (output.kind === 'wake') wakes.push(output.at - now);
    const attempt = makeAttemptId(`c${index}`);
    filter.decide(state, { kind: 'answer-started', attempt, status: 200, load: undefined }, now);
    filter.decide(state, { kind: 'answer-complete', attempt }, now);
  }
  t.true(wakes.every((left) => left === 50));
});

test('a long answer does not count as silence', (t) => {
  const { filter, state } = startFilter();
  filter.decide(state, { kind: 'claimed', call: makeCall('c', { timeoutMs: 1e6 }) }, START);
  const [record] = state.servers.listTiers(SHOP).flat();
  if (record === undefined) throw new Error('the server table is empty');
  t.is(measureSilence(record, addMs(START, 900)), 900);
  const answered = { kind: 'answer-started', attempt: makeAttemptId('c'), status: 200 } as const;
  filter.decide(state, { ...answered, load: undefined }, addMs(START, 100));
  t.is(measureSilence(record, addMs(START, 900)), 0);
});

/**
 * Ends the attempts of one call as given, and lists the servers that got the call again after it had reached them.
 */
function listServersReachedTwice(ends: readonly AttemptEnding[]): string[] {
  const driver = new FilterDriver(3);
  const reached = new Set<string>();
  const reachedTwice: string[] = [];
  const kind = { idempotent: true, timeoutMs: 1e6 };
  let outputs = driver.post({ kind: 'claimed', call: makeCall('c', kind) });
  for (const [step, { isBusy, isLost, running, others }] of ends.entries()) {
    others.forEach((load, index) => {
      answerOtherCall(driver, `o${step}-${index}`, load);
    });
    const sent = outputs.find((output) => output.kind === 'dispatch');
    if (sent === undefined) break;
    const { attempt, server, onlyIfFree } = sent.head;
    if (reached.has(server)) reachedTwice.push(server);
    const load = { running, waiting: running };
    const isDeclined = isBusy && onlyIfFree === true;
    if (!isDeclined) reached.add(server);
    const failure = isLost ? FAILED : ({ outcome: 'not-run', reason: 'shed', load } as const);
    const busy = { outcome: 'not-run', reason: 'busy', load } as const;
    outputs = driver.post({
      kind: 'attempt-failed',
      attempt,
      failure: isDeclined ? busy : failure,
    });
  }
  return reachedTwice;
}

interface AttemptEnding {
  readonly isBusy: boolean;
  readonly isLost: boolean;
  readonly running: number;
  /** The loads that servers report meanwhile with the answers to other calls. */
  readonly others: readonly number[];
}

function answerOtherCall(driver: FilterDriver, id: string, running: number): void {
  driver.post({ kind: 'claimed', call: makeCall(id, { timeoutMs: 1e6 }) });
  const load = { running, waiting: running };
  driver.post({ kind: 'answer-started', attempt: makeAttemptId(id), status: 200, load });
  driver.post({ kind: 'answer-complete', attempt: makeAttemptId(id) });
}

// A server may send its refusal of a call twice; the second one could be mistaken for that of a later attempt.
test('call is not sent twice to a server that it reached', (t) => {
  const ending = fc.record({
    isBusy: fc.boolean(),
    isLost: fc.boolean(),
    running: fc.constantFrom(0, 19, 40),
    others: fc.array(fc.constantFrom(0, 40), { maxLength: 4 }),
  });
  const property = fc.property(fc.array(ending, { maxLength: 8 }), (ends) => {
    t.deepEqual(listServersReachedTwice(ends), []);
  });
  fc.assert(property, { numRuns: 5_000, seed: 7 });
});

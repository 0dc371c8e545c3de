/** Log lines of calls and members: their fields and rate limits. */
import test from 'ava';
import type { AttemptEnd, CallEnd, ObservedCall, SentAgain } from '../src/calls/index.js';
import { NoopObserver } from '../src/calls/index.js';
import type { Address, CallId, HostId, Version } from '../src/ids.js';
import { CallLog } from '../src/program/call-log.js';
import { RateLimitedLog } from '../src/program/logger.js';
import { MembershipLog } from '../src/program/membership-log.js';
import { makeMember, makeServer } from './call-resources.js';
import { ListSink } from './list-sink.js';
import { ManualClock } from './manual-clock.js';

const FAILED_CALL: CallEnd = {
  isForwarded: false,
  request: 'a-1',
  version: 7 as Version,
  account: undefined,
  path: '/read/x',
  attempt: 0,
  status: 503,
  reason: 'no-server',
  outcome: 'not-run',
  lateMs: undefined,
  attemptMs: undefined,
  milliseconds: 3.4,
};

const LOST_ATTEMPT: AttemptEnd = {
  server: '10.0.0.1:80' as Address,
  request: 'a-1',
  version: 7 as Version,
  attempt: 2,
  isLocal: true,
  status: undefined,
  cause: 'other side closed',
  outcome: 'unknown',
  reason: 'upstream-failed',
  proof: 'none',
  milliseconds: 5,
};
const RETRY: SentAgain = {
  kind: 'sent-again',
  id: 'c' as CallId,
  attempt: 2,
  from: '10.0.0.1:80' as Address,
  to: '10.0.0.2:80' as Address,
  reason: 'shed',
  outcome: 'not-run',
  isIdempotent: false,
};
const CALL: ObservedCall = { requestId: 'a-1', version: 7 as Version };
const OTHER_CALL: ObservedCall = { requestId: 'a-0', version: 6 as Version };

function startLog() {
  const clock = new ManualClock();
  const sink = new ListSink();
  const { write: log } = new RateLimitedLog({
    host: 'host-0' as HostId,
    level: 'info',
    clock,
    sink,
  });
  return { lines: sink.lines, clock, log };
}

test('failed call: logged with id and reason', (t) => {
  const { lines, log } = startLog();
  const calls = new CallLog({ log, next: new NoopObserver() });
  calls.endCall({ ...FAILED_CALL, status: 200, reason: undefined });
  calls.endCall(FAILED_CALL);
  t.is(lines.length, 1);
  t.like(lines[0], { event: 'call-failed', side: 'entry', request: 'a-1', reason: 'no-server' });
  t.is(lines[0]?.version, 7);
});

test('late answer: logged with attempt time and lateness', (t) => {
  const { lines, log } = startLog();
  const calls = new CallLog({ log, next: new NoopObserver() });
  const answered = {
    ...FAILED_CALL,
    status: 200,
    reason: undefined,
    outcome: undefined,
    attempt: 1,
  };
  calls.endCall({ ...answered, lateMs: -20, attemptMs: 3, milliseconds: 80 });
  calls.endCall({ ...answered, lateMs: 40, attemptMs: 90, milliseconds: 140 });
  t.is(lines.length, 1);
  t.like(lines[0], { event: 'call-late', request: 'a-1', ms: 140, attemptMs: 90, lateMs: 40 });
  t.is(lines[0]?.version, 7);
});

test('failed attempt: logged with cause', (t) => {
  const { lines, log } = startLog();
  const calls = new CallLog({ log, next: new NoopObserver() });
  const answered = { outcome: 'answered', reason: undefined, proof: 'marked-answer' } as const;
  calls.endAttempt({ ...LOST_ATTEMPT, ...answered, status: 404, cause: undefined });
  calls.endAttempt(LOST_ATTEMPT);
  t.is(lines.length, 1);
  t.like(lines[0], { event: 'attempt-failed', cause: 'other side closed', request: 'a-1' });
  t.is(lines[0]?.version, 7);
  t.like(lines[0], { attempt: 2, outcome: 'unknown', reason: 'upstream-failed', proof: 'none' });
});

test('failed attempt with a status below 500: logged', (t) => {
  const { lines, log } = startLog();
  const calls = new CallLog({ log, next: new NoopObserver() });
  const shed = { outcome: 'not-run', reason: 'shed', proof: 'marked-answer' } as const;
  calls.endAttempt({ ...LOST_ATTEMPT, ...shed, status: 421, cause: undefined });
  calls.endAttempt({ ...LOST_ATTEMPT, status: 200 });
  t.deepEqual(
    lines.map(({ status, outcome }) => [status, outcome]),
    [
      [421, 'not-run'],
      [200, 'unknown'],
    ],
  );
});

test('lost attempt after many refused ones: logged', (t) => {
  const { lines, log } = startLog();
  const calls = new CallLog({ log, next: new NoopObserver() });
  const refused = {
    ...LOST_ATTEMPT,
    outcome: 'not-run',
    reason: 'busy',
    proof: 'guard-answer',
  } as const;
  for (let count = 0; count < 1_000; count += 1) calls.endAttempt(refused);
  calls.endAttempt(LOST_ATTEMPT);
  t.like(lines.at(-1), { outcome: 'unknown' });
});

test('retry of a non-idempotent call after many others: logged', (t) => {
  const { lines, log } = startLog();
  const calls = new CallLog({ log, next: new NoopObserver() });
  for (let count = 0; count < 1_000; count += 1) {
    calls.sendAgain(OTHER_CALL, { ...RETRY, isIdempotent: true });
  }
  calls.sendAgain(CALL, RETRY);
  t.is(lines.length, 51);
  const { attempt, from, to, reason, outcome } = RETRY;
  const fields = {
    request: 'a-1',
    version: 7,
    attempt,
    from,
    to,
    reason,
    outcome,
    isIdempotent: false,
  };
  t.like(lines.at(-1), { event: 'call-sent-again', ...fields });
});

test('hedge: logged with its result', (t) => {
  const { lines, log } = startLog();
  const calls = new CallLog({ log, next: new NoopObserver() });
  calls.reportHedge(CALL, 'won');
  t.like(lines[0], { event: 'call-hedged', request: CALL.requestId, result: 'won' });
});

test('refused connection: logged with cause', (t) => {
  const { lines, log } = startLog();
  const calls = new CallLog({ log, next: new NoopObserver() });
  calls.refuseConnection('ERR_HTTP_REQUEST_TIMEOUT');
  t.is(lines.length, 1);
  t.like(lines[0], { event: 'connection-refused', cause: 'ERR_HTTP_REQUEST_TIMEOUT' });
});

test('shed calls after many without a free slot: logged', (t) => {
  const { lines, log } = startLog();
  const calls = new CallLog({ log, next: new NoopObserver() });
  const refused = { ...LOST_ATTEMPT, outcome: 'not-run', proof: 'guard-answer' } as const;
  for (let count = 0; count < 1_000; count += 1) {
    calls.sendAgain(OTHER_CALL, { ...RETRY, reason: 'busy' });
    calls.endAttempt({ ...refused, reason: 'busy' });
  }
  calls.sendAgain(CALL, RETRY);
  calls.endAttempt({ ...refused, reason: 'shed' });
  t.deepEqual(
    lines.slice(-2).map(({ event, reason }) => [event, reason]),
    [
      ['call-sent-again', 'shed'],
      ['attempt-failed', 'shed'],
    ],
  );
});

test('dropped answer: logged with bytes and time', (t) => {
  const { lines, log } = startLog();
  const calls = new CallLog({ log, next: new NoopObserver() });
  calls.dropAnswer({ request: 'a-1', path: '/x', sentBytes: 0, leftBytes: 9, heldMs: 6_000.4 });
  t.like(lines[0], { event: 'answer-dropped', request: 'a-1', sentBytes: 0, leftBytes: 9 });
  t.is(lines[0]?.heldMs, 6_000);
});

test('planned stop: remaining work is logged', (t) => {
  const { lines, log } = startLog();
  const calls = new CallLog({ log, next: new NoopObserver() });
  const end = { unanswered: 0, answering: 1, guardUnanswered: 0, guardAnswering: 2, attempts: 0 };
  calls.endStop(end);
  t.like(lines[0], { event: 'calls-stopped', ...end });
});

test('many failed calls: limited, dropped lines counted', (t) => {
  const { lines, clock, log } = startLog();
  const calls = new CallLog({ log, next: new NoopObserver() });
  for (let count = 0; count < 1_000; count += 1) calls.endCall(FAILED_CALL);
  t.is(lines.length, 50);
  clock.advance(1_000);
  calls.endCall(FAILED_CALL);
  t.like(lines.at(-1), { dropped: 950 });
});

test('servers and members: only changes are logged', (t) => {
  const { lines, log } = startLog();
  const members = new MembershipLog('host-0' as HostId, log);
  const own = makeMember('host-0', [makeServer('10.0.0.1:80')]);
  for (let count = 0; count < 3; count += 1) members.handle({ kind: 'member-up', member: own });
  members.handle({ kind: 'member-up', member: { ...own, servers: [] } });
  members.handle({ kind: 'member-up', member: makeMember('host-1', []) });
  members.handle({ kind: 'member-up', member: makeMember('host-1', []) });
  members.handle({ kind: 'member-gone', host: 'host-1' as HostId });
  t.deepEqual(
    lines.map(({ event, state }) => state ?? event),
    ['ready', 'lapsed', 'member-up', 'member-gone'],
  );
});

test('many new members: limited separately from losses', (t) => {
  const { lines, log } = startLog();
  const members = new MembershipLog('host-0' as HostId, log);
  for (let index = 1; index <= 1_000; index += 1) {
    members.handle({ kind: 'member-up', member: makeMember(`host-${index}`, []) });
  }
  members.handle({ kind: 'member-gone', host: 'host-7' as HostId });
  t.is(lines.length, 11);
  t.like(lines.at(-1), { event: 'member-gone', member: 'host-7' });
});

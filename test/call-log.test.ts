/** Logs of failed calls: their ids, and their bounds. */
import test from 'ava';
import type { CallEnd } from '../src/calls/index.js';
import { NoObserver } from '../src/calls/index.js';
import type { Address, HostId } from '../src/ids.js';
import { CallLog } from '../src/program/call-log.js';
import { MembershipLog } from '../src/program/membership-log.js';
import { makeMember, makeServer } from './call-resources.js';
import { ManualClock } from './manual-clock.js';

const FAILED: CallEnd = {
  isForwarded: false,
  request: 'a-1',
  path: '/read/x',
  status: 503,
  reason: 'no-server',
  outcome: 'not-run',
  milliseconds: 3.4,
};

function startLog() {
  const lines: Record<string, unknown>[] = [];
  const clock = new ManualClock();
  const log = (event: string, fields = {}) => lines.push({ event, ...fields });
  return { lines, clock, log };
}

test('failed call: id and reason', (t) => {
  const { lines, clock, log } = startLog();
  const calls = new CallLog({ log, clock, next: new NoObserver() });
  calls.endCall({ ...FAILED, status: 200, reason: undefined });
  calls.endCall(FAILED);
  t.is(lines.length, 1);
  t.like(lines[0], { event: 'call-failed', side: 'entry', request: 'a-1', reason: 'no-server' });
});

test('failed attempt: cause', (t) => {
  const { lines, clock, log } = startLog();
  const calls = new CallLog({ log, clock, next: new NoObserver() });
  const server = '10.0.0.1:80' as Address;
  const end = { service: undefined, server, request: 'a-1', isLocal: true, milliseconds: 5 };
  calls.endAttempt({ ...end, status: 404, cause: undefined });
  calls.endAttempt({ ...end, status: undefined, cause: 'other side closed' });
  t.is(lines.length, 1);
  t.like(lines[0], { event: 'attempt-failed', cause: 'other side closed', request: 'a-1' });
});

test('refused connection: cause', (t) => {
  const { lines, clock, log } = startLog();
  const calls = new CallLog({ log, clock, next: new NoObserver() });
  calls.refuseConnection('ERR_HTTP_REQUEST_TIMEOUT');
  t.deepEqual(lines, [{ event: 'connection-refused', cause: 'ERR_HTTP_REQUEST_TIMEOUT' }]);
});

test('lines are bounded', (t) => {
  const { lines, clock, log } = startLog();
  const calls = new CallLog({ log, clock, next: new NoObserver() });
  for (let count = 0; count < 1_000; count += 1) calls.endCall(FAILED);
  t.is(lines.length, 50);
  clock.advance(1_000);
  calls.endCall(FAILED);
  t.like(lines.at(-1), { dropped: 950 });
});

test('servers and members: changes only', (t) => {
  const { lines, clock, log } = startLog();
  const members = new MembershipLog('host-0' as HostId, log, clock);
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

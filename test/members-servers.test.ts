/** The local backend servers of one proxy. */
import test from 'ava';
import type { Address, HostId, Instant, ServiceName } from '../src/ids.js';
import { LocalServers } from '../src/members/local-servers.js';
import type { Announcement, CallObservation, ServerState } from '../src/messages/index.js';

const ADDRESS = '10.0.0.1:8000' as Address;
const START = 1_000 as Instant;

function buildAnnouncement(state: ServerState, deadline = 10_000): Announcement {
  return {
    service: 'catalogue' as ServiceName,
    address: ADDRESS,
    slots: 20,
    connections: 100,
    state,
    heartbeatDeadline: deadline as Instant,
  };
}

function buildObservation(outcome: CallObservation['outcome']): CallObservation {
  return { kind: 'observed', host: 'host-0' as HostId, server: ADDRESS, outcome };
}

function listStates(servers: LocalServers, now: Instant): ServerState[] {
  return servers.form(now).map(({ state }) => state);
}

test('leaving is final', (t) => {
  const servers = new LocalServers();
  servers.apply(buildAnnouncement('ready'), START);
  servers.apply(buildAnnouncement('leaving'), START);
  t.false(servers.apply(buildAnnouncement('ready'), START));
  t.false(servers.apply(buildAnnouncement('draining'), START));
  t.deepEqual(listStates(servers, START), ['leaving']);
  t.true(servers.apply(buildAnnouncement('starting'), START));
  t.true(servers.apply(buildAnnouncement('ready'), START));
  t.deepEqual(listStates(servers, START), ['ready']);
});

test('new run after expiry', (t) => {
  const servers = new LocalServers();
  servers.apply(buildAnnouncement('leaving'), START);
  const later = 10_000 as Instant;
  t.is(servers.findDeadline(START), later);
  t.true(servers.apply(buildAnnouncement('ready', 20_000), later));
  t.deepEqual(listStates(servers, later), ['ready']);
});

test('ejection and recovery', (t) => {
  const servers = new LocalServers();
  servers.apply(buildAnnouncement('ready', 100_000), START);
  for (let call = 0; call < 2; call += 1) servers.observe(buildObservation('failed'), START);
  t.deepEqual(listStates(servers, START), ['ready']);
  servers.observe(buildObservation('failed'), START);
  t.deepEqual(listStates(servers, START), ['failing']);
  t.true(servers.apply(buildAnnouncement('ready', 100_000), START));
  t.deepEqual(listStates(servers, START), ['failing']);
  const trial = servers.findDeadline(START);
  t.deepEqual(listStates(servers, trial), ['ready']);
  servers.observe(buildObservation('failed'), trial);
  t.true(servers.findDeadline(trial) - trial > trial - START);
  servers.observe(buildObservation('answered'), trial);
  t.deepEqual(listStates(servers, trial), ['ready']);
});

test('drain persists across heartbeats', (t) => {
  const servers = new LocalServers();
  servers.apply(buildAnnouncement('ready'), START);
  servers.drain();
  servers.apply(buildAnnouncement('ready'), START);
  t.deepEqual(listStates(servers, START), ['draining']);
  servers.apply(buildAnnouncement('leaving'), START);
  t.deepEqual(listStates(servers, START), ['leaving']);
});

test('servers above the maximum are ignored', (t) => {
  const servers = new LocalServers();
  const taken = [0, 1, 2, 3].map((port) =>
    servers.apply(
      { ...buildAnnouncement('ready'), address: `10.0.0.1:800${port}` as Address },
      START,
    ),
  );
  t.deepEqual(taken, [true, true, true, false]);
  t.true(servers.form(START).every(({ heartbeatDeadline }) => heartbeatDeadline === 10_000));
});

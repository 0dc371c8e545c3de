/** The backend servers beside one proxy. */
import test from 'ava';
import type { Address, HostId, Instant, ServiceName } from '../src/ids.js';
import { OwnServers } from '../src/members/local-servers.js';
import type { Announcement, Observation, ServerState } from '../src/messages/index.js';

const ADDRESS = '10.0.0.1:8000' as Address;
const START = 1_000 as Instant;

function formAnnouncement(state: ServerState, deadline = 10_000): Announcement {
  return {
    service: 'catalogue' as ServiceName,
    address: ADDRESS,
    slots: 20,
    connections: 100,
    state,
    heartbeatDeadline: deadline as Instant,
  };
}

function formObservation(outcome: Observation['outcome']): Observation {
  return { kind: 'observed', host: 'host-0' as HostId, server: ADDRESS, outcome };
}

function listStates(servers: OwnServers, now: Instant): ServerState[] {
  return servers.form(now).map(({ state }) => state);
}

test('leaving is final', (t) => {
  const servers = new OwnServers();
  servers.apply(formAnnouncement('ready'), START);
  servers.apply(formAnnouncement('leaving'), START);
  t.false(servers.apply(formAnnouncement('ready'), START));
  t.false(servers.apply(formAnnouncement('draining'), START));
  t.deepEqual(listStates(servers, START), ['leaving']);
  t.true(servers.apply(formAnnouncement('starting'), START));
  t.true(servers.apply(formAnnouncement('ready'), START));
  t.deepEqual(listStates(servers, START), ['ready']);
});

test('new life after lapse', (t) => {
  const servers = new OwnServers();
  servers.apply(formAnnouncement('leaving'), START);
  const later = 10_000 as Instant;
  t.is(servers.findDeadline(START), later);
  t.true(servers.apply(formAnnouncement('ready', 20_000), later));
  t.deepEqual(listStates(servers, later), ['ready']);
});

test('failing and back', (t) => {
  const servers = new OwnServers();
  servers.apply(formAnnouncement('ready', 100_000), START);
  for (let call = 0; call < 2; call += 1) servers.observe(formObservation('failed'), START);
  t.deepEqual(listStates(servers, START), ['ready']);
  servers.observe(formObservation('failed'), START);
  t.deepEqual(listStates(servers, START), ['failing']);
  t.true(servers.apply(formAnnouncement('ready', 100_000), START));
  t.deepEqual(listStates(servers, START), ['failing']);
  const trial = servers.findDeadline(START);
  t.deepEqual(listStates(servers, trial), ['ready']);
  servers.observe(formObservation('failed'), trial);
  t.true(servers.findDeadline(trial) - trial > trial - START);
  servers.observe(formObservation('answered'), trial);
  t.deepEqual(listStates(servers, trial), ['ready']);
});

test('drain outlives beats', (t) => {
  const servers = new OwnServers();
  servers.apply(formAnnouncement('ready'), START);
  servers.drain();
  servers.apply(formAnnouncement('ready'), START);
  t.deepEqual(listStates(servers, START), ['draining']);
  servers.apply(formAnnouncement('leaving'), START);
  t.deepEqual(listStates(servers, START), ['leaving']);
});

test('too many servers', (t) => {
  const servers = new OwnServers();
  const taken = [0, 1, 2, 3].map((port) =>
    servers.apply(
      { ...formAnnouncement('ready'), address: `10.0.0.1:800${port}` as Address },
      START,
    ),
  );
  t.deepEqual(taken, [true, true, true, false]);
  t.true(servers.form(START).every(({ heartbeatDeadline }) => heartbeatDeadline === 10_000));
});

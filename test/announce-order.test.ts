/** Announcements that arrive late, after those of a later life. */
import test from 'ava';
import type { Address, InstanceId, Instant, ServiceName } from '../src/ids.js';
import { OwnServers } from '../src/members/local-servers.js';
import type { Announcement } from '../src/messages/index.js';

const NOW = 1_000 as Instant;

function announce(life: number, sequence: number, fields: Partial<Announcement> = {}) {
  const announcement: Announcement = {
    service: 'catalogue' as ServiceName,
    address: '10.0.0.1:8000' as Address,
    instance: `i-${life}` as InstanceId,
    life,
    sequence,
    slots: 20,
    connections: 100,
    state: 'ready',
    heartbeatDeadline: 10_000 as Instant,
    ...fields,
  };
  return announcement;
}

test('earlier life is ignored', (t) => {
  const servers = new OwnServers();
  t.true(servers.apply(announce(5, 1), NOW));
  t.false(servers.apply(announce(4, 99), NOW));
  t.is(servers.form(NOW)[0]?.instance, 'i-5' as InstanceId);
});

test('earlier announcement is ignored', (t) => {
  const servers = new OwnServers();
  servers.apply(announce(5, 3, { state: 'draining' }), NOW);
  t.false(servers.apply(announce(5, 2), NOW));
  t.is(servers.form(NOW)[0]?.state, 'draining');
});

test('later life replaces a left one', (t) => {
  const servers = new OwnServers();
  servers.apply(announce(5, 3), NOW);
  servers.removeInstance('i-5' as InstanceId, 5);
  t.is(servers.form(NOW)[0]?.state, 'leaving');
  t.false(servers.apply(announce(5, 4), NOW));
  t.true(servers.apply(announce(6, 1), NOW));
  t.is(servers.form(NOW)[0]?.state, 'ready');
});

test('same id in a later life', (t) => {
  const servers = new OwnServers();
  const instance = 'i-same' as InstanceId;
  servers.apply(announce(5, 30, { instance }), NOW);
  t.true(servers.apply(announce(6, 1, { instance }), NOW));
  servers.removeInstance(instance, 5);
  t.is(servers.form(NOW)[0]?.state, 'ready');
});

test('late announcement of a life that left', (t) => {
  const servers = new OwnServers();
  servers.apply(announce(5, 3), NOW);
  servers.removeInstance('i-5' as InstanceId, undefined);
  const lapsed = 20_000 as Instant;
  t.false(servers.apply(announce(5, 4, { heartbeatDeadline: 30_000 as Instant }), lapsed));
  t.deepEqual(servers.form(lapsed), []);
  t.true(servers.apply(announce(6, 1, { heartbeatDeadline: 30_000 as Instant }), lapsed));
});

test('late announcement after a drain lapsed', (t) => {
  const servers = new OwnServers();
  servers.apply(announce(5, 3, { state: 'draining' }), NOW);
  const lapsed = 20_000 as Instant;
  t.false(servers.apply(announce(5, 4, { heartbeatDeadline: 30_000 as Instant }), lapsed));
});

test('left before it was ever heard of', (t) => {
  const servers = new OwnServers();
  servers.removeInstance('i-5' as InstanceId, 5);
  t.false(servers.apply(announce(5, 9), NOW));
  t.true(servers.apply(announce(6, 1), NOW));
});

test('draining is final for a life', (t) => {
  const servers = new OwnServers();
  servers.apply(announce(5, 3, { state: 'draining' }), NOW);
  t.false(servers.apply(announce(5, 4), NOW));
  t.is(servers.form(NOW)[0]?.state, 'draining');
});
